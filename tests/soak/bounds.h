#pragma once

namespace mimosahollow::soak {

// Bounds that the processes are given in their settings, and that the checks hold them to.
inline constexpr double contactSeconds = 3; // without a disturbance, after which an instance counts as in touch
inline constexpr double graceSeconds = 8; // from SIGTERM to SIGKILL
inline constexpr double budgetSeconds = 10; // window of the retry budget
inline constexpr double budgetRatio = 0.2;
inline constexpr double budgetSlack = 54;

} // namespace mimosahollow::soak
