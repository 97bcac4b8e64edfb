#pragma once

#include "mimosahollow/control/consensusstate.h"

#include <span>
#include <string_view>

namespace mimosahollow::control {

/** Persistent state of a voter, as read from storage at start-up. */
struct DurableLog
{
    Term term = 0;
    VoterId vote{};
    SnapshotPoint snapshot;
    SharedBytes snapshotData; /**< Null if there is no snapshot. */
    std::vector<LogEntry> entries; /**< Consecutive; the first index is at most snapshot.index + 1. */
};

/**
 * Discards the entries if they do not continue the snapshot: they end before its index, or the entry at its index has another term.
 * Returns true if they were discarded; storage must then start a new log after the snapshot.
 */
bool alignWithSnapshot(DurableLog &durable);

enum class ProposalError : std::uint8_t {
    NotLeader,
    TooLarge,
    Overloaded,
    ChangeInProgress, /**< An earlier membership change, or the first entry of the leader's term, is not committed yet. */
    UnknownMember,
    AlreadyMember,
    LastVoter,
};

[[nodiscard]] std::string_view toString(ProposalError error) noexcept;

struct ProposalRejected
{
    ProposalError error{};
    VoterId leader{}; /**< Voter to send the proposal to; 0 if unknown. */
};

/** Log position of a proposal. The proposal is committed once ApplyEntries contains an entry with this index and this term. */
struct ProposalAccepted
{
    LogIndex index = 0; /**< Index of the last entry if several were proposed together. */
    Term term = 0;
};

using ProposalResult = std::variant<ProposalAccepted, ProposalRejected>;

/**
 * Creates the state of a voter from its persistent state. @p firstMembers is the initial membership of a new fleet; a voter
 * that joins an existing fleet starts with an empty membership and waits for the leader to contact it.
 */
[[nodiscard]] ConsensusState
makeConsensus(VoterId self, const ConsensusOptions &options, DurableLog durable, Membership firstMembers, std::uint64_t seed, TimePoint now);

/** Handles a message received from voter @p from. */
void receive(ConsensusState &state, VoterId from, const ConsensusMessage &message, TimePoint now, ConsensusActions &actions);

/** Runs election and heartbeat timers. Call about every 10 ms. */
void tick(ConsensusState &state, TimePoint now, ConsensusActions &actions);

/** If this voter has no contact with a leader, moves its election deadline forward to a random time within @p maximumDelay. */
void expediteElection(ConsensusState &state, Duration maximumDelay, TimePoint now);

/** Reports that all connections to @p voter are closed. If it is the leader, contact with it counts as lost and the election is expedited. */
void voterDisconnected(ConsensusState &state, VoterId voter, Duration maximumDelay, TimePoint now);

/** Proposes one Command entry per payload. */
[[nodiscard]] ProposalResult propose(ConsensusState &state, std::span<const SharedBytes> payloads, TimePoint now, ConsensusActions &actions);

/** Proposes a new member. It joins as a learner; the leader promotes it to a voter once it has caught up. */
[[nodiscard]] ProposalResult proposeMember(ConsensusState &state, Member member, TimePoint now, ConsensusActions &actions);
[[nodiscard]] ProposalResult proposeRemoval(ConsensusState &state, VoterId member, TimePoint now, ConsensusActions &actions);

/** Reports that all storage writes up to @p write are durable. */
void logSynced(ConsensusState &state, WriteNumber write, TimePoint now, ConsensusActions &actions);

/**
 * Reports that storage refuses writes, or has failed. This voter gives up leading and doesn't stand for election until storageResumed(); it
 * acknowledges only what is durable. Orders given to storage stay valid.
 */
void storageSuspended(ConsensusState &state, TimePoint now, ConsensusActions &actions);
/** Reports that all writes that storage had refused are durable. */
void storageResumed(ConsensusState &state, TimePoint now);

/**
 * Starts a linearizable read: a majority must confirm this leader by replies to messages sent after this call.
 * Returns the read's id, which ReadConfirmed or ReadRejected repeats.
 */
[[nodiscard]] std::uint64_t requestRead(ConsensusState &state, ConsensusActions &actions);

/** Reports that a snapshot of the state machine after entry @p index is durable. Entries that it replaces are dropped. */
void snapshotTaken(ConsensusState &state, LogIndex index, SharedBytes data, ConsensusActions &actions);

/** Returns the term and membership at @p index, for a new snapshot. @p index must not exceed appliedIndex. */
[[nodiscard]] SnapshotPoint snapshotPoint(const ConsensusState &state, LogIndex index);

/** Reports that the snapshot of an InstallSnapshot action is durable and loaded. */
void snapshotInstalled(ConsensusState &state, LogIndex index, TimePoint now, ConsensusActions &actions);

/** Reports that the snapshot of an InstallSnapshot action is damaged; the leader sends it again. */
void snapshotRejected(ConsensusState &state);

[[nodiscard]] LogIndex lastIndex(const ConsensusState &state) noexcept;

/** Returns the term of the entry at @p index; 0 if the term is not in memory. */
[[nodiscard]] Term termAt(const ConsensusState &state, LogIndex index) noexcept;

} // namespace mimosahollow::control
