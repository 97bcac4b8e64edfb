#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace mimosahollow {

/** Why a backend server did not run a call that was sent to it. */
enum class RejectionCause : std::uint8_t {
    MissingAtLoadEnd, /**< It lacked the adapter, soon after the expected end of its load. */
    MissingLater, /**< It lacked the model or adapter otherwise, or is another backend server. */
    OtherVersion, /**< It holds another version than expected. */
    Full,
    Leaving,
};

/** Names in logs and metrics. */
constexpr std::array<std::string_view, 5> rejectionCauseNames{"missing-at-load-end", "missing-later", "other-version", "full", "leaving"};

[[nodiscard]] constexpr std::string_view toString(RejectionCause cause) noexcept
{
    return rejectionCauseNames[static_cast<std::size_t>(cause)];
}

} // namespace mimosahollow
