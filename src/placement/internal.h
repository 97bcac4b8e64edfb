#pragma once

#include "mimosahollow/placement/placementstate.h"

namespace mimosahollow::placement {

/** Records the use of @p version of adapter @p key on @p engine, which keeps it in host memory; evicts the least recently used one above the limit. */
void touchHostCache(const PlacementState &state, EngineState &engine, const AdapterKey &key, std::uint64_t version);

} // namespace mimosahollow::placement
