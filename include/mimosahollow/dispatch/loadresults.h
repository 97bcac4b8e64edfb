#pragma once

#include "mimosahollow/core/rejection.h"
#include "mimosahollow/dispatch/dispatch.h"

#include <cstdint>
#include <string>

namespace mimosahollow::dispatch {

/** What is known of a copy of which the leader tells at @p now that it is @p version and can be used after @p remaining. */
[[nodiscard]] AdapterView placedCopy(const AdapterView *known, std::uint64_t version, Duration remaining, TimePoint now);

/**
 * Counts the result of the load of the copy on @p server for @p call, which was sent at @p sentAt. Only the first call soon after the end of
 * a load counts, since a later one may find the copy evicted.
 */
void recordLoadResult(DispatchState &state, const std::string &server, const Call &call, bool isFound, TimePoint sentAt);

/** Why the backend server of @p sent, a call sent at @p sentAt, says that it lacks the model or adapter; to be asked before handleMissingModel(). */
[[nodiscard]] RejectionCause missingCause(const DispatchState &state, const Send &sent, const Call &call, TimePoint sentAt);

} // namespace mimosahollow::dispatch
