#pragma once

#include "mimosahollow/serverpace/statedload.h"

#include <optional>
#include <string_view>

namespace mimosahollow::httpio {

/**
 * Calls running, calls waiting and slots, separated by commas, and optionally how long work takes at the moment, with 100 as usual. Blanks may stand
 * around each figure. Nothing for any other text, for counts above a million and without slots.
 */
[[nodiscard]] std::optional<serverpace::StatedLoad> parseServerLoad(std::string_view text) noexcept;

} // namespace mimosahollow::httpio
