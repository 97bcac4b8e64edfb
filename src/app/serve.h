#pragma once

#include <string>

namespace mimosahollow::app {

/** Runs an instance until SIGTERM or SIGINT. Returns the exit code. */
[[nodiscard]] int serve(const std::string &settingsFile);

} // namespace mimosahollow::app
