#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>

namespace mimosahollow::membership {

/** Largest rate error of a steady clock that leases tolerate, in parts per thousand. Real oscillators stay far below it. */
constexpr std::int64_t clockRateErrorPermille = 10;

/** Marks an event that has not happened, or a lease that was never granted. */
constexpr TimePoint neverTime = TimePoint::min();

/**
 * Time on the granter's clock after which a lease of length @p lease on the holder's clock has certainly expired.
 *
 * Assumes that the granter's clock is fast and the holder's slow by clockRateErrorPermille; 1 ms is added for rounding.
 */
[[nodiscard]] constexpr Duration granterLeaseDuration(Duration lease) noexcept
{
    constexpr std::int64_t whole = 1000;
    return lease * (whole + clockRateErrorPermille) / (whole - clockRateErrorPermille) + milliseconds(1);
}

[[nodiscard]] constexpr std::int64_t toNanoseconds(TimePoint time) noexcept
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

[[nodiscard]] constexpr TimePoint fromNanoseconds(std::int64_t nanoseconds) noexcept
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(nanoseconds)));
}

} // namespace mimosahollow::membership
