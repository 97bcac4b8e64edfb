#pragma once

#include "mimosahollow/core/keyhash.h"

#include <optional>
#include <string>

namespace mimosahollow::control {
struct Configuration;
}

namespace mimosahollow::app {

/** JSON body of GET /v1/models with what @p key may use; nothing for an unknown key. */
[[nodiscard]] std::optional<std::string> modelList(const control::Configuration &configuration, const KeyHash &key);

} // namespace mimosahollow::app
