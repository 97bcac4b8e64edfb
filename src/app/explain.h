#pragma once

#include <string>
#include <vector>

namespace mimosahollow::app {

/** The subcommand `explain`. Asks a running entry instance, which sends nothing. Returns an exit code. */
int runExplain(const std::vector<std::string> &arguments);

} // namespace mimosahollow::app
