#pragma once

#include "mimosahollow/core/keyhash.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::settings {

/** Secret of the fleet with which API keys are hashed. */
using KeySecret = std::array<std::uint8_t, 32>;

/** Reads 64 hexadecimal digits from @p file. Empty when the file is missing or malformed. */
[[nodiscard]] std::optional<KeySecret> readKeySecret(const std::string &file);

[[nodiscard]] KeyHash hashKey(const KeySecret &secret, std::string_view key);

/** A new random API key. */
[[nodiscard]] std::string makeKey();

[[nodiscard]] std::string toHex(const KeyHash &hash);
[[nodiscard]] std::optional<KeyHash> hashFromHex(std::string_view text);

} // namespace mimosahollow::settings
