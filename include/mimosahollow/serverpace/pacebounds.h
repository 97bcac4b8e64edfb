#pragma once

namespace mimosahollow::serverpace {

/** However fast its figures are, a backend server counts as at most 1.5 times as fast as the median, so that false ones draw few calls. */
inline constexpr double fastestPace = 1 / 1.5;
inline constexpr double slowestPace = 10; /**< Above 7.5, the slowest that a backend server is expected to become while it still answers. */

/** @p pace within the bounds; 1 if it is not a positive number. */
[[nodiscard]] double boundedPace(double pace) noexcept;

} // namespace mimosahollow::serverpace
