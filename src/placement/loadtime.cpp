#include "mimosahollow/placement/loadtime.h"

#include <algorithm>

namespace mimosahollow::placement {

namespace {

constexpr Duration shortestLoadTime = milliseconds(100);
constexpr Duration longestLoadTime = seconds(2);
constexpr Duration countedTime = milliseconds(100); // results of this time are judged together
/** From the expected end of a load until its result is known: the interval of reports and the transit of a call. */
constexpr Duration reportDelay = milliseconds(170);
/** Change when all loads are late: 35 ms at 250 ms, which one change makes up for loads that take 288 ms. */
constexpr double largestRise = 0.15;
constexpr double lateShare = 0.05; // of the loads, at which the estimate stays
/**
 * The same below the specified time. Loads that end as specified keep almost all calls prompt, while few loads are faster; a call that comes
 * too early costs a retry.
 */
constexpr double lateShareBelowSpecified = 0.002;
constexpr double fullWeightResults = 10; // fewer results change the estimate in proportion, since single ones have other causes

} // namespace

bool recordLoadResults(LoadTimeEstimate &estimate, const LoadResults &results, TimePoint now)
{
    if (now < estimate.countedFrom || results.late + results.prompt == 0) {
        return false;
    }
    if (estimate.late + estimate.prompt == 0) {
        estimate.countedFrom = now;
    }
    estimate.late += results.late;
    estimate.prompt += results.prompt;
    if (now - estimate.countedFrom < countedTime) {
        return false;
    }
    const double count = estimate.late + estimate.prompt;
    const double allowedShare = estimate.value > estimate.specified ? lateShare : lateShareBelowSpecified;
    const double excess = (estimate.late - allowedShare * count) / std::max(count, fullWeightResults);
    const Duration before = estimate.value;
    const auto change = std::chrono::duration_cast<Duration>(before * (largestRise * excess));
    estimate.value = std::clamp(before + change, shortestLoadTime, longestLoadTime);
    const bool crossesSpecified = (before - estimate.specified).count() * (estimate.value - estimate.specified).count() < 0;
    if (crossesSpecified) {
        estimate.value = estimate.specified;
    }
    estimate.late = 0;
    estimate.prompt = 0;
    // Loads that were ordered before the change end as late as before it; counted again, they would raise the estimate far above the load time.
    estimate.countedFrom = now + estimate.value + reportDelay;
    return estimate.value > before;
}

Duration cachedLoadTime(const LoadTimeEstimate &estimate) noexcept
{
    return estimate.value / 10;
}

} // namespace mimosahollow::placement
