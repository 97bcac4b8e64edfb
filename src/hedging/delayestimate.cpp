#include "mimosahollow/hedging/delayestimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mimosahollow::hedging {

namespace {

/** Samples count for one to two generations. An instance with two calls per second on a route sees 20 to 40 of them in that time. */
constexpr Duration generationTime = seconds(10);
constexpr double bucketsPerDoubling = 4; // steps of 19%; 56 buckets cover 1 ms to 16 s

std::size_t bucketOf(Duration delay)
{
    const double position = std::ceil(std::log2(std::max(toSeconds(delay) * 1000, 1.0)) * bucketsPerDoubling);
    return std::min(static_cast<std::size_t>(position), delayBuckets - 1);
}

Duration upperBound(std::size_t bucket)
{
    return fromSeconds(std::exp2(static_cast<double>(bucket) / bucketsPerDoubling) / 1000);
}

} // namespace

void recordDelay(DelayEstimate &estimate, Duration delay, TimePoint now)
{
    if (now - estimate.currentSince >= generationTime) {
        const bool isRecent = now - estimate.currentSince < 2 * generationTime;
        estimate.previous = isRecent ? estimate.current : DelayEstimate::Buckets{};
        estimate.current.fill(0);
        estimate.currentSince = now;
    }
    ++estimate.current[bucketOf(delay)];
}

std::optional<Duration> delayQuantile(const DelayEstimate &estimate, double share, unsigned minimumSamples, TimePoint now)
{
    const Duration age = now - estimate.currentSince;
    if (estimate.currentSince == TimePoint{} || age >= 2 * generationTime) {
        return std::nullopt;
    }
    DelayEstimate::Buckets counts = estimate.current;
    if (age < generationTime) {
        std::transform(counts.begin(), counts.end(), estimate.previous.begin(), counts.begin(), std::plus<>());
    }
    const std::uint32_t total = std::accumulate(counts.begin(), counts.end(), 0U);
    if (total < std::max(1U, minimumSamples)) {
        return std::nullopt;
    }
    const double wanted = share * total;
    std::size_t bucket = 0;
    for (double seen = counts[0]; seen < wanted && bucket + 1 < delayBuckets; seen += counts[bucket]) {
        ++bucket;
    }
    return upperBound(bucket);
}

} // namespace mimosahollow::hedging
