#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** No grant of an earlier owner can exist any more that is not known. */
void clearUnknownGrants(PoolState &state) noexcept;

} // namespace mimosahollow::scheduling
