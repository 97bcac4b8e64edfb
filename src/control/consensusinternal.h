#pragma once

#include "mimosahollow/control/consensus.h"

// Functions shared by the source files of the consensus implementation.
namespace mimosahollow::control {

[[nodiscard]] const Member *findMember(const ConsensusState &state, VoterId id);
[[nodiscard]] bool isVoter(const ConsensusState &state, VoterId id);
[[nodiscard]] std::size_t majority(const ConsensusState &state);
[[nodiscard]] const LogEntry &entryAt(const ConsensusState &state, LogIndex index);
[[nodiscard]] Membership membersAt(const ConsensusState &state, LogIndex index);

/** Sends @p message as soon as the current term and vote are durable. */
void send(ConsensusState &state, VoterId to, ConsensusMessage message, ConsensusActions &actions);
void saveVote(ConsensusState &state, ConsensusActions &actions);
void appendToLog(ConsensusState &state, std::vector<LogEntry> entries, ConsensusActions &actions);
void truncateLog(ConsensusState &state, LogIndex from, ConsensusActions &actions);
void applyCommitted(ConsensusState &state, ConsensusActions &actions);

void resetElectionDeadline(ConsensusState &state, TimePoint now);
void becomeFollower(ConsensusState &state, Term term, VoterId leader, TimePoint now, ConsensusActions &actions);
void startPreVote(ConsensusState &state, TimePoint now, ConsensusActions &actions);
void countOwnVote(ConsensusState &state, TimePoint now, ConsensusActions &actions);
void receiveVoteRequest(ConsensusState &state, VoterId from, const VoteRequest &request, TimePoint now, ConsensusActions &actions);
void receiveVoteReply(ConsensusState &state, VoterId from, const VoteReply &reply, TimePoint now, ConsensusActions &actions);

/** Common handling of messages from a leader. Returns false if @p term is outdated; the message has then been rejected. */
[[nodiscard]] bool acceptLeader(ConsensusState &state, VoterId from, Term term, std::uint64_t round, TimePoint now, ConsensusActions &actions);
void receiveAppendRequest(ConsensusState &state, VoterId from, const AppendRequest &request, TimePoint now, ConsensusActions &actions);
void receiveSnapshotChunk(ConsensusState &state, VoterId from, const SnapshotChunk &chunk, TimePoint now, ConsensusActions &actions);
/** Reports to the leader up to which index its log is durable on this voter. */
void reportDurableIndex(ConsensusState &state, std::uint64_t round, ConsensusActions &actions);

void becomeLeader(ConsensusState &state, TimePoint now, ConsensusActions &actions);
void tickLeader(ConsensusState &state, TimePoint now, ConsensusActions &actions);
void receiveAppendReply(ConsensusState &state, VoterId from, const AppendReply &reply, TimePoint now, ConsensusActions &actions);
void receiveSnapshotReply(ConsensusState &state, VoterId from, const SnapshotReply &reply, TimePoint now, ConsensusActions &actions);
void sendEntries(ConsensusState &state, VoterId to, TimePoint now, ConsensusActions &actions);
void sendEntriesToAll(ConsensusState &state, TimePoint now, ConsensusActions &actions);
void advanceCommit(ConsensusState &state, TimePoint now, ConsensusActions &actions);
void confirmReads(ConsensusState &state, ConsensusActions &actions);
void rejectReads(ConsensusState &state, ConsensusActions &actions);

/** Adjusts the replication progress to the current membership: adds new members and drops removed ones. */
void updateProgress(ConsensusState &state, TimePoint now);

} // namespace mimosahollow::control
