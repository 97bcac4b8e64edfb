#pragma once

#include <string>

namespace mimosahollow::app {

/** Runs an instance; @p founding: it starts a new fleet. until SIGTERM or SIGINT. Returns the exit code. */
[[nodiscard]] int serve(const std::string &settingsFile, bool founding);

} // namespace mimosahollow::app
