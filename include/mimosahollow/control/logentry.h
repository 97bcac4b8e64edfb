#pragma once

#include "mimosahollow/control/voter.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace mimosahollow::control {

using LogIndex = std::uint64_t; /**< Position in the log; the first entry has index 1. */
using Term = std::uint64_t; /**< Election term; the first is 1. */
using WriteNumber = std::uint64_t; /**< Sequence number of a storage write; the first is 1. */

using Bytes = std::vector<std::uint8_t>;
using SharedBytes = std::shared_ptr<const Bytes>; /**< Shared by messages, the log in memory and storage writes to avoid copies. */

enum class EntryKind : std::uint8_t {
    Empty, /**< First entry of a term; committing it commits the entries of earlier terms. */
    Command, /**< The payload is an encoded control::Command. */
    Members, /**< Sets the membership, effective from this entry on. */
};

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Empty;
    SharedBytes payload; /**< Null unless kind is Command. */
    Membership members; /**< Empty unless kind is Members. */
};

/** Log position and membership that a snapshot of the state machine represents. */
struct SnapshotPoint
{
    LogIndex index = 0; /**< Last entry that the snapshot contains. */
    Term term = 0;
    Membership members;
};

} // namespace mimosahollow::control
