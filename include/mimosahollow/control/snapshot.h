#pragma once

#include "mimosahollow/control/controlstate.h"

#include <span>
#include <string>
#include <variant>

namespace mimosahollow::control {

/** Raised when the layout changes in a way that older programs cannot read. */
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

/** The whole state machine; equal states give equal bytes. */
[[nodiscard]] Bytes encodeSnapshot(const ControlState &state);

/** Checks format, checksum and structure before anything is used. @p limits are those of this voter. */
[[nodiscard]] std::variant<ControlState, SnapshotError> decodeSnapshot(std::span<const std::uint8_t> bytes, const ControlLimits &limits = {});

} // namespace mimosahollow::control
