#pragma once

#include <chrono>

namespace mimosahollow {

/** Monotonic time. Decision code receives it as an argument and never reads a clock. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Length of @p duration in seconds as a floating point number. */
[[nodiscard]] constexpr double toSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

/** Duration of @p value seconds. */
[[nodiscard]] constexpr Duration fromSeconds(double value) noexcept
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace mimosahollow
