#pragma once

#include "mimosahollow/control/controlstate.h"

#include <span>
#include <string>
#include <variant>

namespace mimosahollow::control {

/** Incremented by layout changes that older releases cannot read. */
inline constexpr std::uint16_t snapshotFormatVersion = 1;

enum class SnapshotErrorKind : std::uint8_t {
    NotASnapshot,
    UnknownFormat,
    ChecksumMismatch,
    Malformed,
};

struct SnapshotError
{
    SnapshotErrorKind kind{};
    std::string message;
};

/** Encodes the whole state machine. The encoding is deterministic: equal states produce equal bytes. */
[[nodiscard]] Bytes encodeSnapshot(const ControlState &state);

/** Decodes a snapshot after verifying its format version, checksum and structure. @p limits become the limits of the decoded state. */
[[nodiscard]] std::variant<ControlState, SnapshotError> decodeSnapshot(std::span<const std::uint8_t> bytes, const ControlLimits &limits = {});

} // namespace mimosahollow::control
