#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::settings {

struct Settings;
struct SettingsProblem;

using SettingsResult = std::variant<Settings, std::vector<SettingsProblem>>;

/** Reads and checks @p file. Reports all problems together. */
[[nodiscard]] SettingsResult loadFile(const std::string &file);

/** Reads and checks TOML text. */
[[nodiscard]] SettingsResult loadText(std::string_view text);

/** Markdown table of every key with its type, range, default and meaning; the source of the reference in the docs. */
[[nodiscard]] std::string referenceTable();

} // namespace mimosahollow::settings
