#pragma once

#include "mimosahollow/core/ids.h"

#include <string>
#include <vector>

namespace mimosahollow::control {

/** One version of a LoRA adapter. */
struct Adapter
{
    AdapterId id{};
    std::string baseModel;
    std::string name;
    std::string version;
    bool isDefault = false; /**< The version that serves requests without an explicit version. */
    std::vector<OrganisationId> organisations; /**< Organisations that are authorised to use the adapter. */

    friend bool operator==(const Adapter &, const Adapter &) = default;
};

} // namespace mimosahollow::control
