#pragma once

#include <string>
#include <vector>

namespace mimosahollow::app {

// Subcommands for operators. Each returns the exit code of the program.

[[nodiscard]] int runBundle(const std::vector<std::string> &arguments);
[[nodiscard]] int runKey(const std::vector<std::string> &arguments);
[[nodiscard]] int runDomain(const std::vector<std::string> &arguments);
[[nodiscard]] int runBackend(const std::vector<std::string> &arguments);
[[nodiscard]] int runStatus(const std::vector<std::string> &arguments);
[[nodiscard]] int runOperator(const std::vector<std::string> &arguments);

} // namespace mimosahollow::app
