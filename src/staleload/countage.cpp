#include "mimosahollow/staleload/countage.h"

#include <algorithm>
#include <cmath>

namespace mimosahollow::staleload {

namespace {

constexpr double smoothing = 0.05; // weight of the newest call: an instance with 8 calls/s covers 2 to 3 s
constexpr double shortestCall = 0.001; // seconds
/** Part of a server that calls fill which nobody has counted there. The counts of a lost leader must not make all servers pass for full. */
constexpr double mostRenewedPart = 0.8;

} // namespace

void recordCall(CallTime &callTime, Duration taken) noexcept
{
    const double value = std::max(toSeconds(taken), shortestCall);
    callTime.seconds += (value - callTime.seconds) * (callTime.seconds > 0 ? smoothing : 1);
}

CountAge ageOf(double counted, unsigned slots, Duration age, const CallTime &callTime) noexcept
{
    if (callTime.seconds <= 0 || slots == 0) {
        return {};
    }
    // Calls end at any time, the same share of them in each moment, and as many begin.
    const double remaining = std::exp(-std::max(0.0, toSeconds(age)) / callTime.seconds);
    return {remaining, counted * (1 - remaining) / slots};
}

double expectedCalls(const CountAge &age, unsigned counted, unsigned slots) noexcept
{
    return age.remaining * counted + std::min(age.renewedPerSlot, mostRenewedPart) * slots;
}

} // namespace mimosahollow::staleload
