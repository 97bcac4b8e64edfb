#pragma once

#include "mimosahollow/placement/placementstate.h"

namespace mimosahollow::placement {

/** @p engine holds, or has held just now, the adapter @p key: it reloads it quickly. */
void touchHostCache(const PlacementState &state, EngineState &engine, const AdapterKey &key);

} // namespace mimosahollow::placement
