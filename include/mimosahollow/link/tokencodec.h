#pragma once

#include "mimosahollow/admission/tokenmessages.h"
#include "mimosahollow/admission/transfermessages.h"

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace mimosahollow::link {

enum class TokenCodecError : std::uint8_t {
    Malformed, /**< Not a buffer of the schema. */
    InvalidAmount, /**< An amount is negative or not finite. */
    InvalidDuration, /**< The validity is longer than a quota lease. */
};

[[nodiscard]] std::vector<std::uint8_t> encode(const admission::TokenRequest &request);
[[nodiscard]] std::vector<std::uint8_t> encode(const admission::TokenReport &report);
[[nodiscard]] std::vector<std::uint8_t> encode(const admission::TokenGrant &grant);
[[nodiscard]] std::vector<std::uint8_t> encode(const admission::TransferRequest &request);
[[nodiscard]] std::vector<std::uint8_t> encode(const admission::TransferReply &reply);

[[nodiscard]] std::variant<admission::TokenRequest, TokenCodecError> decodeTokenRequest(std::span<const std::uint8_t> bytes);
[[nodiscard]] std::variant<admission::TokenReport, TokenCodecError> decodeTokenReport(std::span<const std::uint8_t> bytes);
[[nodiscard]] std::variant<admission::TokenGrant, TokenCodecError> decodeTokenGrant(std::span<const std::uint8_t> bytes);
[[nodiscard]] std::variant<admission::TransferRequest, TokenCodecError> decodeTransferRequest(std::span<const std::uint8_t> bytes);
[[nodiscard]] std::variant<admission::TransferReply, TokenCodecError> decodeTransferReply(std::span<const std::uint8_t> bytes);

} // namespace mimosahollow::link
