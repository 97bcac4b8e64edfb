#pragma once

#include "mimosahollow/control/logentry.h"

#include <variant>

namespace mimosahollow::control {

struct VoteRequest
{
    Term term = 0; /**< Term of the election; in a pre-vote, the term that the election would have. */
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool preVote = false;
};

struct VoteReply
{
    Term term = 0; /**< Granted pre-vote: term of the request. Otherwise: current term of the replying voter. */
    bool preVote = false;
    bool granted = false;
};

struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    std::uint64_t round = 0; /**< Leader's heartbeat round. The reply repeats it, which confirms the leadership for reads. */
    std::vector<LogEntry> entries;
};

struct AppendReply
{
    Term term = 0;
    std::uint64_t round = 0;
    bool accepted = false;
    LogIndex matchIndex = 0; /**< Accepted: last entry that matches the leader's log and is durable. Rejected: next index for the leader to try. */
};

struct SnapshotChunk
{
    Term term = 0;
    std::uint64_t round = 0;
    SnapshotPoint point;
    std::uint64_t size = 0; /**< Size of the whole snapshot, in bytes. */
    std::uint64_t offset = 0;
    Bytes data;
};

/** Reply to a SnapshotChunk that does not complete the snapshot. A completed snapshot is acknowledged by an AppendReply. */
struct SnapshotReply
{
    Term term = 0;
    std::uint64_t round = 0;
    LogIndex index = 0;
    std::uint64_t received = 0; /**< Contiguous bytes received, which is the next offset expected. */
};

using ConsensusMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply>;

} // namespace mimosahollow::control
