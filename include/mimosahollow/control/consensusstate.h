#pragma once

#include "mimosahollow/control/consensusactions.h"
#include "mimosahollow/core/time.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace mimosahollow::control {

struct ConsensusOptions
{
    Duration electionTimeoutMinimum = milliseconds(300);
    Duration electionTimeoutMaximum = milliseconds(600);
    Duration heartbeatInterval = milliseconds(50);
    std::size_t maximumAppendBytes = 1024UL * 1024; /**< Payload bytes in one AppendRequest, unless a single entry is larger; a frame holds at most 4 MiB. */
    std::size_t maximumEntryBytes = 3UL * 1024 * 1024; /**< Largest payload of a proposal; fits into a frame with its envelope. */
    std::size_t snapshotChunkBytes = 512UL * 1024; /**< Data bytes in one SnapshotChunk. */
    std::size_t maximumUncommittedEntries = 16'384; /**< Proposals beyond this are rejected; bounds the memory of a leader without a majority. */
    std::size_t maximumInFlightEntries = 4'096; /**< Entries sent to one member and not yet acknowledged. */
    std::size_t keptEntries = 1'024; /**< Entries kept in the log before the snapshot index, so that a slow voter can catch up without a snapshot. */
    std::uint64_t maximumSnapshotBytes = 1024ULL * 1024 * 1024; /**< Largest snapshot accepted from a leader, in bytes. */
};

enum class VoterRole : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/** Replication progress of another member, tracked by the leader. */
struct MemberProgress
{
    LogIndex nextIndex = 1; /**< Next entry to send. */
    LogIndex matchIndex = 0; /**< Last entry known to match this log and to be durable on the member. */
    std::uint64_t confirmedRound = 0; /**< Latest heartbeat round that it replied to. */
    TimePoint lastReplyAt{}; /**< Arrival of its last reply; initially, when tracking began. */
    bool probing = false; /**< The last matching entry is unknown; no entries are sent until a reply confirms it. */
    SnapshotPoint snapshot; /**< Snapshot being sent; its index is 0 if there is none. */
    SharedBytes snapshotData;
    std::uint64_t snapshotOffset = 0; /**< Snapshot bytes that the member has confirmed. */
    TimePoint chunkSentAt{};
};

struct PendingWrite
{
    WriteNumber write = 0;
    LogIndex lastIndex = 0; /**< Last log index that the write makes durable; 0 for writes that append nothing. */
};

struct PendingRead
{
    std::uint64_t readId = 0;
    std::uint64_t round = 0; /**< A majority must reply to this heartbeat round or a later one. */
    LogIndex index = 0; /**< Must be applied before the read is confirmed. */
};

/** Message that must not be sent before the current term and vote are durable. */
struct DeferredMessage
{
    WriteNumber write = 0; /**< Vote write to wait for. */
    SendToVoter message;
};

/** Snapshot that is being received from the leader. */
struct IncomingSnapshot
{
    VoterId from{};
    SnapshotPoint point;
    std::uint64_t size = 0;
    Bytes data;
    bool installing = false; /**< Complete; an InstallSnapshot action is in progress. */
    std::uint64_t round = 0; /**< Heartbeat round of the latest chunk. */
};

/** Consensus state of one voter. Created by makeConsensus() and changed only by the functions in consensus.h. */
struct ConsensusState
{
    ConsensusOptions options;
    VoterId self{};
    std::mt19937_64 random;

    Term term = 0;
    VoterId vote{}; /**< Candidate voted for in the term; 0 if none. */
    VoterRole role = VoterRole::Follower;
    VoterId leader{}; /**< Leader of the term; 0 if unknown. */

    std::deque<LogEntry> log; /**< Entries after logStart. */
    LogIndex logStart = 0; /**< Index of the last entry that is no longer in memory. */
    Term logStartTerm = 0;
    SnapshotPoint snapshot; /**< Latest durable snapshot; its index may exceed logStart. */
    SharedBytes snapshotData;
    Membership logStartMembers; /**< Membership at logStart. */
    Membership members; /**< Latest membership in the log; takes effect when it is appended, not when committed. */
    LogIndex membersIndex = 0; /**< Index of the entry that set members. */

    LogIndex commitIndex = 0;
    LogIndex appliedIndex = 0; /**< Last entry passed to the state machine in ApplyEntries. */
    LogIndex syncedIndex = 0; /**< Last entry that is durable on this voter. */
    LogIndex leaderMatchIndex = 0; /**< Last entry known to match the log of the term's leader. */
    LogIndex termStart = 0; /**< Leader only: index of the first entry of its term. */
    WriteNumber lastWrite = 0;
    WriteNumber voteWrite = 0; /**< Latest write of term and vote. */
    WriteNumber syncedWrite = 0; /**< Latest durable write. */
    std::deque<PendingWrite> pendingWrites;
    std::deque<DeferredMessage> deferredMessages;
    bool isStorageSuspended = false; /**< Writes are refused: neither leads nor stands for election. */

    TimePoint electionDeadline{};
    TimePoint lastLeaderContact{};
    TimePoint nextHeartbeat{};
    std::set<VoterId> votes; /**< Voters that granted the current pre-vote or vote. */

    std::map<VoterId, MemberProgress> progress;
    std::uint64_t round = 0; /**< Latest heartbeat round sent. */
    std::uint64_t lastReadId = 0;
    bool roundNeeded = false; /**< A read waits for a new heartbeat round; the next tick sends it. */
    std::deque<PendingRead> pendingReads;

    std::optional<IncomingSnapshot> incomingSnapshot;
};

} // namespace mimosahollow::control
