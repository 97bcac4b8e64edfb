#pragma once

#include "mimosahollow/control/consensusactions.h"

#include <variant>

namespace mimosahollow::control {

/** Stores a snapshot. If @c replacesLog is set, the snapshot was received from the leader and a new log starts after it. */
struct StoreSnapshot
{
    WriteNumber write = 0; /**< 0 for a snapshot that this voter took itself. */
    SnapshotPoint point;
    SharedBytes data;
    bool replacesLog = false;
};

/** A write to the storage of a voter. Storage carries out writes in the order in which they were issued. */
using StorageWrite = std::variant<SaveVote, AppendLog, TruncateLog, CompactLog, StoreSnapshot>;

} // namespace mimosahollow::control
