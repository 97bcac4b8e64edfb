#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Marks that every remaining grant of earlier owners is known, and frees what was reserved for unknown ones. */
void clearUnknownGrants(PoolState &state) noexcept;

} // namespace mimosahollow::scheduling
