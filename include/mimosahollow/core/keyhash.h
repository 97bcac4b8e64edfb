#pragma once

#include <array>
#include <cstdint>

namespace mimosahollow {

/** Keyed BLAKE2b hash of an API key. The key itself is never stored. */
using KeyHash = std::array<std::uint8_t, 32>;

} // namespace mimosahollow
