#pragma once

#include "mimosahollow/control/consensusactions.h"

#include <variant>

namespace mimosahollow::control {

/** A snapshot to store. With @c replacesLog it comes from the leader, and the log continues after it. */
struct StoreSnapshot
{
    WriteNumber write = 0; /**< 0 for a snapshot that this voter made itself. */
    SnapshotPoint point;
    SharedBytes data;
    bool replacesLog = false;
};

/** A write of a voter to its storage; writes are carried out in their order. */
using StorageWrite = std::variant<SaveVote, AppendLog, TruncateLog, CompactLog, StoreSnapshot>;

} // namespace mimosahollow::control
