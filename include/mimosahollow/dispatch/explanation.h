#pragma once

#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/dispatch/serverexplanation.h"

#include <vector>

namespace mimosahollow::dispatch {

/** Where a call would go, and why. */
struct Explanation
{
    Decision decision;
    std::vector<ServerExplanation> servers; /**< All of the service, by id. */
};

/** Explains what decide() would return for @p call. Counts nothing and changes nothing. */
[[nodiscard]] Explanation explain(const DispatchState &state, const Call &call, TimePoint now);

} // namespace mimosahollow::dispatch
