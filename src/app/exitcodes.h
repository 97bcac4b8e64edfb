#pragma once

namespace mimosahollow::app {

/** Exit codes of the program; listed in docs/OPERATIONS.md. */
enum ExitCode : int {
    Success = 0,
    NotDone = 1, /**< An operator command was refused or could not be sent; it has no effect. */
    UsageError = 2,
    InvalidSettings = 3,
    StartFailed = 4,
    DrainTimedOut = 5,
    OutcomeUnknown = 6, /**< The answer to an operator command was lost; it may have taken effect. */
};

} // namespace mimosahollow::app
