#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/scheduling/crashevidence.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** A resident adapter whose servers are all busy. */
struct AdapterWait
{
    AdapterId adapter{};
    Duration wait{}; /**< Expected wait of one more request. */

    friend bool operator==(const AdapterWait &, const AdapterWait &) = default;
};

/** State of a pool that other instances use to choose a pool. */
struct PoolSummary
{
    PoolId pool{};
    FencingNumber fencing = 0;
    bool inService = false; /**< At least one server takes new work. */
    std::uint32_t freeSlots = 0;
    std::uint32_t totalSlots = 0; /**< Sum of the slow-start limits of the servers in service. */
    std::uint32_t waiting = 0;
    Duration expectedWait{}; /**< For a request without an adapter. */
    Duration expectedLoadWait{}; /**< Until a load that is requested now has finished. */
    std::vector<AdapterId> adapters; /**< Resident or being loaded, in ascending order. */
    std::vector<AdapterWait> waits; /**< Resident adapters with waiting requests, in ascending order; requests for others start at once. */
    CrashEvidence crashEvidence; /**< Only in summaries to the owners of other pools of the same kind. */

    friend bool operator==(const PoolSummary &, const PoolSummary &) = default;
};

} // namespace mimosahollow::scheduling
