#pragma once

#include "mimosahollow/control/consensusstate.h"

#include <span>
#include <string_view>

namespace mimosahollow::control {

/** What storage holds when a voter starts. */
struct DurableLog
{
    Term term = 0;
    VoterId vote{};
    SnapshotPoint snapshot;
    SharedBytes snapshotData; /**< Null when there is no snapshot. */
    std::vector<LogEntry> entries; /**< In order; the first one is at most snapshot.index + 1. */
};

/**
 * Drops the entries when they do not continue the snapshot: they end before it, or have another term at its index.
 * Returns whether it dropped them; storage then starts a new log after the snapshot.
 */
bool alignWithSnapshot(DurableLog &durable);

enum class ProposalError : std::uint8_t {
    NotLeader,
    TooLarge,
    Overloaded,
    ChangeInProgress, /**< Another membership change is not committed yet. */
    UnknownMember,
    AlreadyMember,
    LastVoter,
};

[[nodiscard]] std::string_view toString(ProposalError error) noexcept;

struct ProposalRejected
{
    ProposalError error{};
    VoterId leader{}; /**< Where to send the proposal, 0 when not known. */
};

/** Place of the proposal in the log. It has succeeded when ApplyEntries has an entry with this index and this term. */
struct ProposalAccepted
{
    LogIndex index = 0; /**< Of the last one when several were proposed together. */
    Term term = 0;
};

using ProposalResult = std::variant<ProposalAccepted, ProposalRejected>;

/**
 * Starts a voter from what storage holds. @p firstMembers is the membership of a new fleet; a voter that is to join an
 * existing fleet starts without members and waits for the leader.
 */
[[nodiscard]] ConsensusState
makeConsensus(VoterId self, const ConsensusOptions &options, DurableLog durable, Membership firstMembers, std::uint64_t seed, TimePoint now);

/** Handles @p message of @p from. */
void receive(ConsensusState &state, VoterId from, const ConsensusMessage &message, TimePoint now, ConsensusActions &actions);

/** Handles the passing of time. Call about every 10 ms. */
void tick(ConsensusState &state, TimePoint now, ConsensusActions &actions);

/** Brings the next election of a voter that hears no leader forward, to a random time within @p maximumDelay. */
void expediteElection(ConsensusState &state, Duration maximumDelay, TimePoint now);

/** All connections to @p voter are closed. When it leads, this voter no longer counts as one that hears it. */
void voterDisconnected(ConsensusState &state, VoterId voter, Duration maximumDelay, TimePoint now);

/** Appends one Command entry for each payload. */
[[nodiscard]] ProposalResult propose(ConsensusState &state, std::span<const SharedBytes> payloads, TimePoint now, ConsensusActions &actions);

/** Adds a member as a learner; the leader gives it a vote once it has caught up. */
[[nodiscard]] ProposalResult proposeMember(ConsensusState &state, Member member, TimePoint now, ConsensusActions &actions);
[[nodiscard]] ProposalResult proposeRemoval(ConsensusState &state, VoterId member, TimePoint now, ConsensusActions &actions);

/** Storage reports that all writes up to @p write are durable. */
void logSynced(ConsensusState &state, WriteNumber write, TimePoint now, ConsensusActions &actions);

/**
 * Asks for a confirmation that this voter still leads, by replies to messages sent after this call.
 * The returned number comes back in ReadConfirmed or ReadRejected.
 */
[[nodiscard]] std::uint64_t requestRead(ConsensusState &state, ConsensusActions &actions);

/** A snapshot of the state machine after entry @p index is durable; drops the entries that it replaces. */
void snapshotTaken(ConsensusState &state, LogIndex index, SharedBytes data, ConsensusActions &actions);

/** Membership and term at @p index, for a snapshot that is being made. @p index is at most appliedIndex. */
[[nodiscard]] SnapshotPoint snapshotPoint(const ConsensusState &state, LogIndex index);

/** The snapshot of InstallSnapshot is durable and loaded. */
void snapshotInstalled(ConsensusState &state, LogIndex index, TimePoint now, ConsensusActions &actions);

/** The snapshot of InstallSnapshot is damaged; the leader sends it again. */
void snapshotRejected(ConsensusState &state);

[[nodiscard]] LogIndex lastIndex(const ConsensusState &state) noexcept;

/** Term of the entry at @p index; 0 when the entry is not in memory. */
[[nodiscard]] Term termAt(const ConsensusState &state, LogIndex index) noexcept;

} // namespace mimosahollow::control
