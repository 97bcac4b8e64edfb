#pragma once

#include <cstdint>

namespace mimosahollow::fleetlink {

/** Milliseconds of a clock that also counts the time in which the machine was suspended. */
[[nodiscard]] std::int64_t bootMilliseconds() noexcept;

/** Time of day of this machine, Unix time. It may be wrong and may jump. */
[[nodiscard]] std::int64_t wallMilliseconds() noexcept;

} // namespace mimosahollow::fleetlink
