#pragma once

#include "mimosahollow/core/time.h"

namespace mimosahollow::placement {

/** How long an adapter takes to load from the weight store, as the results of loads tell. */
struct LoadTimeEstimate
{
    Duration specified = milliseconds(250); /**< Assumed until results tell. */
    Duration value = specified;
    unsigned late = 0; /**< Results since @c countedFrom. */
    unsigned prompt = 0;
    TimePoint countedFrom{}; /**< Earlier results are those of loads from before the last change. */
};

/** Results of loads that entry instances have reported. */
struct LoadResults
{
    unsigned late = 0; /**< Copies that were missing at the expected end of their load. */
    unsigned prompt = 0; /**< Copies that were found there. */
};

/** Adapts @p estimate to @p results. Returns whether it has risen. */
bool recordLoadResults(LoadTimeEstimate &estimate, const LoadResults &results, TimePoint now);

/** The same for an adapter in the host memory of the engine. */
[[nodiscard]] Duration cachedLoadTime(const LoadTimeEstimate &estimate) noexcept;

} // namespace mimosahollow::placement
