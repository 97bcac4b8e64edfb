#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Time until one more waiting request gets a permit if all usable servers have named limits; zero otherwise. */
[[nodiscard]] Duration limitedWait(const PoolState &state) noexcept;

} // namespace mimosahollow::scheduling
