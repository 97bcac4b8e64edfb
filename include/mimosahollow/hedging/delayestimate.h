#pragma once

#include "mimosahollow/core/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace mimosahollow::hedging {

inline constexpr std::size_t delayBuckets = 56;

/** Distribution of times over the last seconds, in buckets of equal ratio: one generation being filled and the one before it. */
struct DelayEstimate
{
    using Buckets = std::array<std::uint32_t, delayBuckets>;
    Buckets current{};
    Buckets previous{};
    TimePoint currentSince{}; /**< Unset: no sample yet. */
};

void recordDelay(DelayEstimate &estimate, Duration delay, TimePoint now);

/** Time within which the part @p share of the newest samples lies; nothing if there are fewer than @p minimumSamples. */
[[nodiscard]] std::optional<Duration> delayQuantile(const DelayEstimate &estimate, double share, unsigned minimumSamples, TimePoint now);

} // namespace mimosahollow::hedging
