#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Time until one more waiting request gets a permit if all usable servers have named limits; zero otherwise. */
[[nodiscard]] Duration limitedWait(const PoolState &state, TimePoint now);

/**
 * Refuses the waiting requests that would start too late for their deadlines if all usable servers have named limits. Each gets
 * the time of a permit of its own, after those of the requests that stay.
 */
void refuseBeyondLimits(PoolState &state, TimePoint now, Actions &actions);

} // namespace mimosahollow::scheduling
