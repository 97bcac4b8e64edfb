#pragma once

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/settings/settingsproblem.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::settings {

using BundleResult = std::variant<control::Configuration, std::vector<SettingsProblem>>;

/** Parses and checks the TOML text of a bundle. Ids are assigned in file order; the control state reassigns them. */
[[nodiscard]] BundleResult parseBundle(std::string_view text);

} // namespace mimosahollow::settings
