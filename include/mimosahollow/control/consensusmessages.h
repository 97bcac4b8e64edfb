#pragma once

#include "mimosahollow/control/logentry.h"

#include <variant>

namespace mimosahollow::control {

struct VoteRequest
{
    Term term = 0; /**< Term of the election; for a pre-vote the term that would follow. */
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool preVote = false;
};

struct VoteReply
{
    Term term = 0; /**< Term of the request when granted, otherwise the term of the voter. */
    bool preVote = false;
    bool granted = false;
};

struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    std::uint64_t round = 0; /**< Echoed by the reply; confirms the leadership for reads. */
    std::vector<LogEntry> entries;
};

struct AppendReply
{
    Term term = 0;
    std::uint64_t round = 0;
    bool accepted = false;
    LogIndex matchIndex = 0; /**< Accepted: last matching entry that is durable. Otherwise: where the leader should try next. */
};

struct SnapshotChunk
{
    Term term = 0;
    std::uint64_t round = 0;
    SnapshotPoint point;
    std::uint64_t size = 0; /**< Bytes of the whole snapshot. */
    std::uint64_t offset = 0;
    Bytes data;
};

/** Answer to a SnapshotChunk that does not complete the snapshot; the last one is answered by an AppendReply. */
struct SnapshotReply
{
    Term term = 0;
    std::uint64_t round = 0;
    LogIndex index = 0;
    std::uint64_t received = 0; /**< Bytes received without a gap; the next offset. */
};

using ConsensusMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply>;

} // namespace mimosahollow::control
