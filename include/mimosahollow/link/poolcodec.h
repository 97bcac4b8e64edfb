#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/link/poolmessages.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::link {

enum class PoolCodecError : std::uint8_t {
    Malformed, /**< The verifier rejects the bytes. */
    UnknownKind,
    ValueOutOfRange, /**< An enumerator, a weight or a duration. */
};

[[nodiscard]] std::string_view toString(PoolCodecError error) noexcept;

// Deadlines travel as the time that remains. The sender passes its time of sending and the receiver its time of receipt,
// so that a deadline moves back by the time on the way (a few milliseconds).

[[nodiscard]] std::vector<std::uint8_t> encode(const PoolMessage &message, TimePoint now);
[[nodiscard]] std::variant<PoolMessage, PoolCodecError> decodePoolMessage(std::span<const std::uint8_t> bytes, TimePoint now);

} // namespace mimosahollow::link
