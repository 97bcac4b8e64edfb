#pragma once

namespace mimosahollow::app {

/** Exit codes of the program; listed in docs/operations.md. */
enum ExitCode : int {
    Success = 0,
    UsageError = 2,
    InvalidSettings = 3,
    StartFailed = 4,
    DrainTimedOut = 5,
};

} // namespace mimosahollow::app
