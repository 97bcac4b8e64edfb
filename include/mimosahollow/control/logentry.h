#pragma once

#include "mimosahollow/control/voter.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace mimosahollow::control {

using LogIndex = std::uint64_t; /**< Position in the log, from 1. */
using Term = std::uint64_t; /**< Number of an election, from 1. */
using WriteNumber = std::uint64_t; /**< Order number of a write to storage, from 1. */

using Bytes = std::vector<std::uint8_t>;
using SharedBytes = std::shared_ptr<const Bytes>; /**< Messages, memory and storage share one copy of an entry. */

enum class EntryKind : std::uint8_t {
    Empty, /**< First entry of a term; commits the entries of earlier terms. */
    Command, /**< Encoded control::Command. */
    Members, /**< The membership from this entry on. */
};

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Empty;
    SharedBytes payload; /**< Null unless kind is Command. */
    Membership members; /**< Empty unless kind is Members. */
};

/** What a snapshot of the state machine stands for. */
struct SnapshotPoint
{
    LogIndex index = 0; /**< Last entry that the snapshot contains. */
    Term term = 0;
    Membership members;
};

} // namespace mimosahollow::control
