#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

// Adapter slots of the servers. Invariant: AdapterState::holders lists exactly the servers with a slot in phase Resident.

[[nodiscard]] AdapterSlot *findSlot(ServerState &server, AdapterId adapter) noexcept;

/** Adds a slot in phase Loading. The adapter must have no slot on the server. */
AdapterSlot &addSlot(PoolState &state, std::uint32_t server, AdapterId adapter, TimePoint now);
void makeResident(PoolState &state, std::uint32_t server, AdapterSlot &slot, TimePoint now);
void dropHolder(PoolState &state, std::uint32_t server, AdapterId adapter) noexcept;

/** Removes the slot at @p position and ends its load, if any. The last slot moves to @p position. */
void eraseSlot(PoolState &state, std::uint32_t server, std::size_t position, TimePoint now);

/** In phase Unloading the adapter to load next (0: none), otherwise the adapter of the slot. */
[[nodiscard]] AdapterId loadingAdapter(const AdapterSlot &slot) noexcept;

/** Stops counting the load in AdapterState::pendingLoads. Its permit stays in use until the order ends. */
void abandonLoad(PoolState &state, AdapterSlot &slot) noexcept;

/** Releases the permit of an ended load in PoolState::loadsInFlight. */
void releaseLoadPermit(PoolState &state, AdapterSlot &slot) noexcept;

/** Updates the slots from the adapters that the server lists. Changes within SchedulingSettings::reportLag are kept. */
void applyResidentList(PoolState &state, std::uint32_t server, const std::vector<AdapterId> &listed, TimePoint now);

} // namespace mimosahollow::scheduling
