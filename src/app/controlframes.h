#pragma once

#include "mimosahollow/coordination/actions.h"
#include "servingcodec.h"

#include <optional>
#include <span>

namespace mimosahollow::app {

[[nodiscard]] Frame encodeControlMessage(const coordination::Message &message);

/** Message of a frame; nothing when the bytes are not valid. */
[[nodiscard]] std::optional<coordination::Message> decodeControlMessage(link::MessageKind kind, std::span<const std::uint8_t> payload);

} // namespace mimosahollow::app
