#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/keyhash.h"

#include <string>

namespace mimosahollow::control {

/** An API key of one organisation. Withdrawn keys are not part of the configuration. */
struct ApiKey
{
    std::string name; /**< Identifies the key to operators and in logs; not secret. */
    KeyHash hash{};
    OrganisationId organisation{};

    friend bool operator==(const ApiKey &, const ApiKey &) = default;
};

} // namespace mimosahollow::control
