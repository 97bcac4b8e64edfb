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
    std::size_t maximumAppendBytes = 1024UL * 1024; /**< Entries in one AppendRequest; a frame holds at most 4 MiB. */
    std::size_t maximumEntryBytes = 3UL * 1024 * 1024; /**< Largest proposal; fits a frame together with its envelope. */
    std::size_t snapshotChunkBytes = 512UL * 1024; /**< Data in one SnapshotChunk. */
    std::size_t maximumUncommittedEntries = 16'384; /**< Further proposals are rejected; bounds the memory of a leader without majority. */
    std::size_t maximumInFlightEntries = 4'096; /**< Entries sent to one voter and not yet confirmed. */
    std::size_t keptEntries = 1'024; /**< Entries kept behind a snapshot, so that a slow voter needs no snapshot. */
    std::uint64_t maximumSnapshotBytes = 1024ULL * 1024 * 1024; /**< Largest snapshot accepted from a leader. */
};

enum class VoterRole : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

/** What the leader knows of another member. */
struct MemberProgress
{
    LogIndex nextIndex = 1; /**< Next entry to send. */
    LogIndex matchIndex = 0; /**< Last entry known to be durable there. */
    std::uint64_t confirmedRound = 0; /**< Last round that it confirmed. */
    TimePoint lastReplyAt{}; /**< When its last reply arrived. */
    bool probing = false; /**< The last match is not known; no entries are sent until an answer confirms it. */
    SnapshotPoint snapshot; /**< Snapshot being sent; its index is 0 when there is none. */
    SharedBytes snapshotData;
    std::uint64_t snapshotOffset = 0; /**< Bytes of it that have arrived. */
    TimePoint chunkSentAt{};
};

struct PendingWrite
{
    WriteNumber write = 0;
    LogIndex lastIndex = 0; /**< Log end that the write makes durable, 0 for writes that append nothing. */
};

struct PendingRead
{
    std::uint64_t readId = 0;
    std::uint64_t round = 0;
    LogIndex index = 0;
};

struct DeferredMessage
{
    WriteNumber write = 0; /**< Vote write that must be durable first. */
    SendToVoter message;
};

struct IncomingSnapshot
{
    VoterId from{};
    SnapshotPoint point;
    std::uint64_t size = 0;
    Bytes data;
    bool installing = false; /**< Complete and handed to the driver. */
    std::uint64_t round = 0;
};

/** Everything one voter knows about the replicated log. Made by makeConsensus(), changed by the functions in consensus.h. */
struct ConsensusState
{
    ConsensusOptions options;
    VoterId self{};
    std::mt19937_64 random;

    Term term = 0;
    VoterId vote{};
    VoterRole role = VoterRole::Follower;
    VoterId leader{}; /**< Leader of the term, 0 when not known. */

    std::deque<LogEntry> log; /**< Entries after logStart. */
    LogIndex logStart = 0; /**< Last entry that is no longer in memory. */
    Term logStartTerm = 0;
    SnapshotPoint snapshot; /**< Newest durable snapshot; its index may be above logStart. */
    SharedBytes snapshotData;
    Membership logStartMembers; /**< Membership at logStart. */
    Membership members; /**< Newest membership in the log, in force at once. */
    LogIndex membersIndex = 0;

    LogIndex commitIndex = 0;
    LogIndex appliedIndex = 0; /**< Last entry handed to the state machine. */
    LogIndex syncedIndex = 0; /**< Last entry that is durable here. */
    LogIndex leaderMatchIndex = 0; /**< Log end that is known to match the leader of the term. */
    LogIndex termStart = 0; /**< First entry of this leader's term. */
    WriteNumber lastWrite = 0;
    WriteNumber voteWrite = 0; /**< Newest write of the vote. */
    WriteNumber syncedWrite = 0;
    std::deque<PendingWrite> pendingWrites;
    std::deque<DeferredMessage> deferredMessages;

    TimePoint electionDeadline{};
    TimePoint lastLeaderContact{};
    TimePoint nextHeartbeat{};
    std::set<VoterId> votes;

    std::map<VoterId, MemberProgress> progress;
    std::uint64_t round = 0;
    std::uint64_t lastReadId = 0;
    bool roundNeeded = false;
    std::deque<PendingRead> pendingReads;

    std::optional<IncomingSnapshot> incomingSnapshot;
};

} // namespace mimosahollow::control
