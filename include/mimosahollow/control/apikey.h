#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/keyhash.h"

#include <string>

namespace mimosahollow::control {

/** A key that callers of one organisation may show. A withdrawn key is absent from the configuration. */
struct ApiKey
{
    std::string name; /**< For operators and logs; not secret. */
    KeyHash hash{};
    OrganisationId organisation{};

    friend bool operator==(const ApiKey &, const ApiKey &) = default;
};

} // namespace mimosahollow::control
