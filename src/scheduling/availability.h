#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** After a change of which servers take new work: moves loads and waiting requests to others or refuses them. */
void applyAvailability(PoolState &state, TimePoint now, Actions &actions);

/** Marks servers that have not been heard of for too long. Returns whether one is new. */
bool markSilentServers(PoolState &state, TimePoint now) noexcept;

} // namespace mimosahollow::scheduling
