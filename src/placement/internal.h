#pragma once

#include "mimosahollow/placement/placementstate.h"

namespace mimosahollow::placement {

/** Records the use of @p version of adapter @p key on @p engine, which keeps it in host memory; evicts the least recently used one above the limit. */
void touchHostCache(EngineState &engine, const AdapterKey &key, std::uint64_t version);

/** Whether calls for @p key may begin at @p now on copies that are older than required. */
[[nodiscard]] bool hasOlderVersions(const PlacementState &state, const AdapterKey &key, TimePoint now);
/** Whether calls may begin at @p now on a copy of @p key of @p version. */
[[nodiscard]] bool acceptsVersion(const PlacementState &state, const AdapterKey &key, std::uint64_t version, TimePoint now);

} // namespace mimosahollow::placement
