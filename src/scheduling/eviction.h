#pragma once

#include "mimosahollow/scheduling/poolstate.h"

#include <cstddef>

namespace mimosahollow::scheduling {

/** Server and slot for a load. */
struct LoadTarget
{
    static constexpr std::size_t freeSlot = static_cast<std::size_t>(-1);

    std::uint32_t server = noIndex;
    std::size_t victim = freeSlot; /**< Position of the slot to unload first. */
};

/** True when the adapter is resident, and no request runs, waits or may run unknown to this owner for it (P2). */
[[nodiscard]] bool isEvictable(const PoolState &state, const AdapterSlot &slot) noexcept;

/**
 * The best server for a load. Only adapters with a popularity below @p evictionThreshold (scaled like AdapterState::popularity) are
 * evicted. With @p freeRequestSlot
 * only servers that could start a request at once are considered.
 */
[[nodiscard]] LoadTarget chooseLoadTarget(const PoolState &state, AdapterId adapter, bool freeRequestSlot, double evictionThreshold, TimePoint now) noexcept;

} // namespace mimosahollow::scheduling
