#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Starts loads while tokens and permits last; updates PoolState::loadTokenDemand and urgentLoadTokenDemand. */
void planLoads(PoolState &state, TimePoint now, Actions &actions);

/** Sets slots whose load or unload exceeded its timeout to phase Unknown. */
void expireOrders(PoolState &state, TimePoint now);

/** Records that a load, or the unload before it, failed or has no known result. Delays the next load of the adapter. */
void recordLoadFailure(PoolState &state, AdapterId adapter, std::uint32_t server, TimePoint now);

/** Expected time until a load requested now by the organisation has finished, including its fair share of the load queue. */
[[nodiscard]] Duration expectedLoadWait(const PoolState &state, AdapterId adapter, OrganisationId organisation, TimePoint now) noexcept;

/** Number of usable servers on which the adapter is resident. */
[[nodiscard]] std::uint32_t usableHolders(const PoolState &state, const AdapterState &adapter) noexcept;

} // namespace mimosahollow::scheduling
