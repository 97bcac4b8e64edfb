#pragma once

#include <cstdint>
#include <string>

namespace mimosahollow::settings {

/** One finding of the settings check. */
struct SettingsProblem
{
    std::uint32_t line = 0; /**< 0: no single line is at fault. */
    std::string key;
    std::string value;
    std::string message; /**< What is wrong and what is allowed. */
};

/** "file:line: key = value: message". */
[[nodiscard]] std::string describe(const SettingsProblem &problem, const std::string &file);

} // namespace mimosahollow::settings
