#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <string>
#include <vector>

namespace mimosahollow::control {

/** A plain service that is reached by a path prefix. */
struct Route
{
    std::string prefix; /**< For example "/registry/". */
    std::string service; /**< Kind of the backend servers that answer. */
    bool repeatable = false; /**< Whether calls other than GET and HEAD may be sent again. */
    bool open = false; /**< Whether calls need no key. */
    Duration deadline = seconds(30);
    std::vector<OrganisationId> organisations; /**< Empty: every organisation. */

    friend bool operator==(const Route &, const Route &) = default;
};

} // namespace mimosahollow::control
