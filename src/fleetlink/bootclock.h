#pragma once

#include <cstdint>

namespace mimosahollow::fleetlink {

/** Milliseconds of a clock that also counts the time in which the machine was suspended. */
[[nodiscard]] std::int64_t bootMilliseconds() noexcept;

} // namespace mimosahollow::fleetlink
