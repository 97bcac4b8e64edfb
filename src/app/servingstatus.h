#pragma once

#include "mimosahollow/core/time.h"

#include <string>

namespace mimosahollow::serving {
struct ServingState;
}

namespace mimosahollow::app {

/** JSON of the serving part for the status command: pools, their servers, calls. */
[[nodiscard]] std::string describeServing(const serving::ServingState &state, TimePoint now);

} // namespace mimosahollow::app
