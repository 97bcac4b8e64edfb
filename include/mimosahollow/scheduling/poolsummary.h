#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** A resident adapter whose servers are all busy. */
struct AdapterWait
{
    AdapterId adapter{};
    Duration wait{}; /**< Expected for one more request. */

    friend bool operator==(const AdapterWait &, const AdapterWait &) = default;
};

/** What other instances need to know about a pool to choose one. */
struct PoolSummary
{
    PoolId pool{};
    FencingNumber fencing = 0;
    bool inService = false; /**< At least one server takes new work. */
    std::uint32_t freeSlots = 0;
    std::uint32_t totalSlots = 0; /**< Sum of the limits of the servers in service. */
    std::uint32_t waiting = 0;
    Duration expectedWait{}; /**< For a request without an adapter. */
    Duration expectedLoadWait{}; /**< Until a load that is asked for now is finished. */
    std::vector<AdapterId> adapters; /**< Resident or being loaded, in ascending order. */
    std::vector<AdapterWait> waits; /**< Of resident adapters that requests wait for, in ascending order; the others can start at once. */

    friend bool operator==(const PoolSummary &, const PoolSummary &) = default;
};

} // namespace mimosahollow::scheduling
