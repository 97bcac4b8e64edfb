#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>

namespace mimosahollow::membership {

/** Largest rate error of a steady clock that the leases tolerate, in parts per thousand. Oscillators stay far below it. */
constexpr std::int64_t clockRateErrorPermille = 10;

/** "Never" for times that lie in the past. */
constexpr TimePoint neverTime = TimePoint::min();

/**
 * Time that must pass on the granter's clock until a lease of @p lease on the holder's clock has run out for certain.
 *
 * The granter's clock may be fast and the holder's slow by the tolerated error; the extra millisecond covers rounding.
 */
[[nodiscard]] constexpr Duration granterLeaseDuration(Duration lease) noexcept
{
    constexpr std::int64_t whole = 1000;
    return lease * (whole + clockRateErrorPermille) / (whole - clockRateErrorPermille) + milliseconds(1);
}

[[nodiscard]] constexpr std::int64_t nanosecondsOf(TimePoint time) noexcept
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

[[nodiscard]] constexpr TimePoint timeOf(std::int64_t nanoseconds) noexcept
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(nanoseconds)));
}

} // namespace mimosahollow::membership
