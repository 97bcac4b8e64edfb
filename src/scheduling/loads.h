#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Starts the loads that are worth a token now and updates PoolState::loadTokenDemand. */
void planLoads(PoolState &state, TimePoint now, Actions &actions);

/** Turns loads and unloads that exceeded their time into unknown slots. */
void expireOrders(PoolState &state, TimePoint now);

/** A load or unload ended without a clear result or failed; delays the next load of the adapter. */
void recordLoadFailure(PoolState &state, AdapterId adapter, std::uint32_t server, TimePoint now);

/** Time until the adapter is loaded if the organisation asks for it now; waiting loads of others count fairly. */
[[nodiscard]] Duration expectedLoadWait(const PoolState &state, AdapterId adapter, OrganisationId organisation, TimePoint now) noexcept;

/** Number of usable servers on which the adapter is resident. */
[[nodiscard]] std::uint32_t usableHolders(const PoolState &state, const AdapterState &adapter) noexcept;

} // namespace mimosahollow::scheduling
