#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Applies a change of the usable servers: plans loads and grants on the others, or refuses waiting requests. */
void applyAvailability(PoolState &state, TimePoint now, Actions &actions);

/** Marks servers that exceeded SchedulingSettings::silenceTimeout. Returns whether a server was newly marked. */
bool markSilentServers(PoolState &state, TimePoint now) noexcept;

} // namespace mimosahollow::scheduling
