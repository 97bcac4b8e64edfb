#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

// Which adapters are on which server. AdapterState::holders lists exactly the servers with a slot in phase Resident.

[[nodiscard]] AdapterSlot *findSlot(ServerState &server, AdapterId adapter) noexcept;

/** Takes a slot in phase Loading for the adapter, which has none on the server yet. */
AdapterSlot &addSlot(PoolState &state, std::uint32_t server, AdapterId adapter, TimePoint now);
void makeResident(PoolState &state, std::uint32_t server, AdapterSlot &slot, TimePoint now);
void dropHolder(PoolState &state, std::uint32_t server, AdapterId adapter) noexcept;

/** Removes the slot at @p position; ends its load, if any. */
void eraseSlot(PoolState &state, std::uint32_t server, std::size_t position, TimePoint now);

/** The adapter that the slot is loading or will load after its unload; 0: none. */
[[nodiscard]] AdapterId loadingAdapter(const AdapterSlot &slot) noexcept;

/** The load no longer serves waiting requests; its place in flight stays taken. */
void abandonLoad(PoolState &state, AdapterSlot &slot) noexcept;

/** Returns the place in flight of a load that ended. */
void releaseLoadPermit(PoolState &state, AdapterSlot &slot) noexcept;

/** Compares what the server lists with what is known; lagging lists do not undo newer knowledge. */
void applyResidentList(PoolState &state, std::uint32_t server, const std::vector<AdapterId> &listed, TimePoint now);

} // namespace mimosahollow::scheduling
