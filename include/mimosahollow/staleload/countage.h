#pragma once

#include "mimosahollow/core/time.h"

namespace mimosahollow::staleload {

/** Calls of the other instances at the servers of one service, as counted some time ago. */
struct CountAge
{
    double remaining = 1; /**< Part of the counted calls that still run. */
    double renewedPerSlot = 0; /**< Calls that the other instances have begun since and that still run, for each slot of the servers. */
};

/** Moving average of the time that calls take. */
struct CallTime
{
    double seconds = 0; /**< 0: none has ended yet. */
};

void recordCall(CallTime &callTime, Duration taken) noexcept;

/**
 * What became of @p counted calls of other instances within @p age, if their number stays the same.
 *
 * @param slots of all servers at which they were counted.
 */
[[nodiscard]] CountAge ageOf(double counted, unsigned slots, Duration age, const CallTime &callTime) noexcept;

/** Calls of other instances that are expected at a server with @p slots slots, of which @p counted were counted. */
[[nodiscard]] double expectedCalls(const CountAge &age, unsigned counted, unsigned slots) noexcept;

} // namespace mimosahollow::staleload
