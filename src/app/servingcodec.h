#pragma once

#include "mimosahollow/link/messagekind.h"
#include "mimosahollow/serving/peermessage.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace mimosahollow::app {

struct Frame
{
    link::MessageKind kind{};
    std::vector<std::uint8_t> payload;
};

/** Frame of a message of the serving part; nothing for a message that only has a meaning within the instance. */
[[nodiscard]] std::optional<Frame> encodeServingMessage(const serving::PeerMessage &message, TimePoint now);

/** Message of a frame; nothing when the bytes are not valid. */
[[nodiscard]] std::optional<serving::PeerMessage> decodeServingMessage(link::MessageKind kind, std::span<const std::uint8_t> payload, TimePoint now);

/** Whether frames of @p kind concern the serving part; the others concern the control part. */
[[nodiscard]] bool isServingKind(link::MessageKind kind) noexcept;

} // namespace mimosahollow::app
