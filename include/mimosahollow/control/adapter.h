#pragma once

#include "mimosahollow/core/ids.h"

#include <string>
#include <vector>

namespace mimosahollow::control {

/** One LoRA adapter at one version. */
struct Adapter
{
    AdapterId id{};
    std::string baseModel;
    std::string name;
    std::string version;
    bool isDefault = false; /**< Used when a request names no version. */
    std::vector<OrganisationId> organisations; /**< Who may use it. */

    friend bool operator==(const Adapter &, const Adapter &) = default;
};

} // namespace mimosahollow::control
