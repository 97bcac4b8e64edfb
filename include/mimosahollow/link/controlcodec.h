#pragma once

#include "mimosahollow/control/command.h"
#include "mimosahollow/control/consensusmessages.h"
#include "mimosahollow/control/increment.h"

#include <memory>
#include <span>
#include <string>
#include <variant>

namespace mimosahollow::link {

/** Bytes that are not a valid message. */
struct CodecError
{
    std::string message;
};

template<typename T>
using Decoded = std::variant<T, CodecError>;

[[nodiscard]] control::Bytes encode(const control::ConsensusMessage &message);
[[nodiscard]] Decoded<control::ConsensusMessage> decodeConsensusMessage(std::span<const std::uint8_t> bytes);

[[nodiscard]] control::Bytes encode(const control::Command &command);
[[nodiscard]] Decoded<control::Command> decodeCommand(std::span<const std::uint8_t> bytes);

[[nodiscard]] control::Bytes encode(const control::CommandResult &result);
[[nodiscard]] Decoded<control::CommandResult> decodeCommandResult(std::span<const std::uint8_t> bytes);

/** The whole configuration, for a follower that starts or is too far behind. */
[[nodiscard]] control::Bytes encode(const control::Configuration &configuration);
[[nodiscard]] Decoded<std::shared_ptr<const control::Configuration>> decodeConfiguration(std::span<const std::uint8_t> bytes);

[[nodiscard]] control::Bytes encode(const control::Increment &increment);
[[nodiscard]] Decoded<control::Increment> decodeIncrement(std::span<const std::uint8_t> bytes);

} // namespace mimosahollow::link
