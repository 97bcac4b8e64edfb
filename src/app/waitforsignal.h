#pragma once

namespace mimosahollow::app {

/** Returns when the process is asked to end by SIGTERM or SIGINT. */
void waitForSignal();

} // namespace mimosahollow::app
