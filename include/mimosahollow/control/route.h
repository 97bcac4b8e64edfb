#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <string>
#include <vector>

namespace mimosahollow::control {

/** Maps a path prefix to a plain service. */
struct Route
{
    std::string prefix; /**< For example "/registry/". */
    std::string service; /**< Kind of the backend servers that serve the route. */
    bool repeatable = false; /**< Whether calls other than GET and HEAD may be retried. */
    bool open = false; /**< Whether calls are accepted without an API key. */
    Duration deadline = seconds(30);
    std::vector<OrganisationId> organisations; /**< Organisations that may use the route; empty means all. */

    friend bool operator==(const Route &, const Route &) = default;
};

} // namespace mimosahollow::control
