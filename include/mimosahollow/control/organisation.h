#pragma once

#include "mimosahollow/core/ids.h"

#include <string>

namespace mimosahollow::control {

/** An organisation and its fleet-wide rate limit. */
struct Organisation
{
    OrganisationId id{};
    std::string name;
    double rate = 0; /**< Tokens per second. */
    double burst = 0; /**< Tokens. */
    double weight = 1; /**< Relative share under overload. */

    friend bool operator==(const Organisation &, const Organisation &) = default;
};

} // namespace mimosahollow::control
