#pragma once

#include "mimosahollow/membership/distribution.h"
#include "mimosahollow/membership/heartbeat.h"
#include "mimosahollow/membership/hello.h"
#include "mimosahollow/membership/promise.h"
#include "mimosahollow/membership/renewal.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace mimosahollow::link {

enum class FleetCodecError : std::uint8_t {
    Malformed, /**< The FlatBuffers verifier refuses the bytes. */
    InvalidValue, /**< An enumeration or a number is out of range. */
};

template<typename Message>
using FleetDecoded = std::variant<Message, FleetCodecError>;

[[nodiscard]] std::vector<std::uint8_t> encode(const membership::Hello &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::Heartbeat &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::Promise &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::Subscribe &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::Update &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::RenewRequest &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::RenewReply &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::Confirm &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::Command &message);
[[nodiscard]] std::vector<std::uint8_t> encode(const membership::CommandReply &message);

[[nodiscard]] FleetDecoded<membership::Hello> decodeHello(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::Heartbeat> decodeHeartbeat(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::Promise> decodePromise(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::Subscribe> decodeSubscribe(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::Update> decodeUpdate(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::RenewRequest> decodeRenewRequest(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::RenewReply> decodeRenewReply(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::Confirm> decodeConfirm(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::Command> decodeForwardedCommand(std::span<const std::uint8_t> bytes);
[[nodiscard]] FleetDecoded<membership::CommandReply> decodeCommandReply(std::span<const std::uint8_t> bytes);

} // namespace mimosahollow::link
