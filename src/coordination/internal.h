#pragma once

#include "mimosahollow/coordination/coordination.h"

// Functions shared by the sources of the coordination module.

namespace mimosahollow::coordination {

/** Sends @p message if @p peer is connected; drops it otherwise. */
void send(CoordinationState &state, const std::string &peer, Message message, Actions &actions);
[[nodiscard]] bool isLeader(const CoordinationState &state) noexcept;

/** Name of a voter; empty for an unknown id. */
[[nodiscard]] std::string voterName(const CoordinationState &state, control::VoterId voter);
[[nodiscard]] control::VoterId voterId(const CoordinationState &state, std::string_view name);

/** Executes the actions that the consensus module has requested. */
void executeActions(CoordinationState &state, control::ConsensusActions &consensusActions, TimePoint now, Actions &actions);
/** Proposes @p command. Returns its log index and term, or nothing if the proposal was not accepted. */
[[nodiscard]] std::optional<control::ProposalAccepted> proposeCommand(CoordinationState &state, control::Command command, TimePoint now, Actions &actions);
[[nodiscard]] control::CommandId makeCommandId(CoordinationState &state);

void becomeLeader(CoordinationState &state, control::Term term, TimePoint now, Actions &actions);
void loseLeadership(CoordinationState &state);
void tickLeader(CoordinationState &state, TimePoint now, Actions &actions);
/** A majority has confirmed the leadership: answers the renewal requests that arrived before @p read began. */
void onReadConfirmed(CoordinationState &state, std::uint64_t read, TimePoint now, Actions &actions);
/** The entry at @p index was applied. On a leader, replies to its sender or queues the acknowledgement. */
void onCommandApplied(CoordinationState &state,
                      control::LogIndex index,
                      control::Term term,
                      const control::Command &command,
                      const control::CommandResult &result,
                      TimePoint now,
                      Actions &actions);
/** Acknowledges changes that every instance has applied, apart from those whose freshness lease has expired. */
void acknowledgeChanges(CoordinationState &state, TimePoint now, Actions &actions);

/** Makes @p configuration the current configuration of this instance. */
void activateConfiguration(CoordinationState &state, std::shared_ptr<const control::Configuration> configuration, TimePoint now, Actions &actions);
/** Confirms the applied log index to the leader and forwards new updates to the subscribers. */
void reportApplied(CoordinationState &state, Version index, TimePoint now, Actions &actions);
/** Sends pending snapshots and increments to the subscribers. */
void sendFeedUpdates(CoordinationState &state, Actions &actions);
void onUpdate(CoordinationState &state, const std::string &peer, membership::Update update, TimePoint now, Actions &actions);
void onSubscribe(CoordinationState &state, const std::string &peer, const membership::Subscribe &subscribe, Actions &actions);
void onRenewRequest(CoordinationState &state, const std::string &peer, membership::RenewRequest request, TimePoint now);
void onRenewReply(CoordinationState &state, const membership::RenewReply &reply, TimePoint now, Actions &actions);
void onConfirm(CoordinationState &state, const membership::Confirm &confirm, Actions &actions);
void tickUpstream(CoordinationState &state, TimePoint now, Actions &actions);

void onPromise(CoordinationState &state, const membership::Promise &promise, TimePoint now, Actions &actions);
void tickLeases(CoordinationState &state, TimePoint now, Actions &actions);
[[nodiscard]] std::vector<membership::RegisteredInstance> registeredInstances(const control::Configuration &configuration);
[[nodiscard]] std::vector<membership::PoolAssignment> poolAssignments(const control::Configuration &configuration);

void onCommand(CoordinationState &state, const std::string &peer, const membership::Command &command, TimePoint now, Actions &actions);
void onCommandReply(CoordinationState &state, const membership::CommandReply &reply, Actions &actions);
void tickCommands(CoordinationState &state, TimePoint now, Actions &actions);
void replyToCommand(
    CoordinationState &state, const std::string &peer, std::uint64_t sequence, const control::CommandResult &result, bool inForceEverywhere, Actions &actions);

/** Next hop towards the leader: the leader itself if connected, otherwise the upstream instance. */
[[nodiscard]] std::string upstreamPeer(const CoordinationState &state);

} // namespace mimosahollow::coordination
