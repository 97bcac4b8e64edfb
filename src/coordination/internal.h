#pragma once

#include "mimosahollow/coordination/coordination.h"

// Functions shared by the sources of this module.

namespace mimosahollow::coordination {

void send(CoordinationState &state, const std::string &peer, Message message, Actions &actions);
[[nodiscard]] bool isLeader(const CoordinationState &state) noexcept;

/** Name of a voter; empty for an unknown number. */
[[nodiscard]] std::string voterName(const CoordinationState &state, control::VoterId voter);
[[nodiscard]] control::VoterId voterId(const CoordinationState &state, std::string_view name);

/** Carries out what the replicated log asks for. */
void executeActions(CoordinationState &state, control::ConsensusActions &consensusActions, TimePoint now, Actions &actions);
/** Proposes @p command; returns where it stands in the log, or nothing when this voter does not lead. */
[[nodiscard]] std::optional<control::ProposalAccepted> proposeCommand(CoordinationState &state, control::Command command, TimePoint now, Actions &actions);
[[nodiscard]] control::CommandId makeCommandId(CoordinationState &state);

void becomeLeader(CoordinationState &state, control::Term term, TimePoint now, Actions &actions);
void loseLeadership(CoordinationState &state);
void tickLeader(CoordinationState &state, TimePoint now, Actions &actions);
void onReadConfirmed(CoordinationState &state, std::uint64_t read, TimePoint now, Actions &actions);
/** A command was applied at @p index by this leader. */
void onCommandApplied(CoordinationState &state,
                      control::LogIndex index,
                      control::Term term,
                      const control::Command &command,
                      const control::CommandResult &result,
                      TimePoint now,
                      Actions &actions);
void acknowledgeChanges(CoordinationState &state, TimePoint now, Actions &actions);

/** Puts a configuration in force here. */
void activateConfiguration(CoordinationState &state, std::shared_ptr<const control::Configuration> configuration, TimePoint now, Actions &actions);
/** Tells the leader which log index is applied here, and passes the feed on. */
void reportApplied(CoordinationState &state, Version index, TimePoint now, Actions &actions);
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

/** Peer that leads to the control leader: itself, the leader, or the instance that this one subscribes to. */
[[nodiscard]] std::string upstreamPeer(const CoordinationState &state);

} // namespace mimosahollow::coordination
