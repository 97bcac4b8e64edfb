#include "internal.h"

#include "mimosahollow/membership/assignment.h"

#include <algorithm>

namespace mimosahollow::coordination {

namespace {

constexpr Duration assignmentInterval = milliseconds(100);

/**
 * Whether @p command is acknowledged only after every instance has applied it or has an expired freshness lease. Not required for
 * records of calls, which do not change the configuration, nor for registrations and assignments.
 */
bool mustBeInForceEverywhere(const control::Command &command)
{
    return !std::holds_alternative<control::BeginCall>(command.body) && !std::holds_alternative<control::CompleteCall>(command.body)
           && !std::holds_alternative<control::AbandonCall>(command.body) && !std::holds_alternative<control::RegisterInstance>(command.body)
           && !std::holds_alternative<control::RemoveInstance>(command.body) && !std::holds_alternative<control::AssignPool>(command.body)
           && !std::holds_alternative<control::AssignBucketOwner>(command.body);
}

void proposeInitialBundle(CoordinationState &state, TimePoint now, Actions &actions)
{
    const bool empty = state.voter->control.configuration.version == 0;
    if (!empty || !state.options.initialBundle) {
        return;
    }
    control::Command command;
    // Every leader uses the same id, so that the second leader of a new fleet cannot apply the bundle again.
    command.id = {0, 1};
    command.sender = "bootstrap";
    command.body = control::ApplyBundle{0, state.options.initialBundle, "bootstrap", "bootstrap", {}};
    static_cast<void>(proposeCommand(state, std::move(command), now, actions));
}

void assignPools(CoordinationState &state, TimePoint now, Actions &actions)
{
    VoterState &voter = *state.voter;
    const auto assignments = poolAssignments(voter.control.configuration);
    for (const membership::PlannedAssignment &planned : membership::planAssignments(*voter.leader, assignments, now)) {
        if (planned.action != membership::AssignmentAction::Assign || voter.pendingAssignments.contains(planned.pool)) {
            continue;
        }
        const auto present = std::find_if(assignments.begin(), assignments.end(), [&](const membership::PoolAssignment &assignment) {
            return assignment.pool == planned.pool;
        });
        control::Command command;
        command.id = makeCommandId(state);
        command.sender = state.options.name;
        if (planned.pool == bucketPool(present->domain)) {
            command.body = control::AssignBucketOwner{present->domain, planned.owner, present->fencing};
        } else {
            command.body = control::AssignPool{planned.pool, planned.owner, present->fencing};
        }
        voter.pendingAssignments.insert(planned.pool);
        if (!proposeCommand(state, std::move(command), now, actions)) {
            voter.pendingAssignments.erase(planned.pool);
            return;
        }
    }
}

} // namespace

control::CommandId makeCommandId(CoordinationState &state)
{
    return {state.random(), state.random()};
}

void becomeLeader(CoordinationState &state, control::Term term, TimePoint now, Actions &actions)
{
    VoterState &voter = *state.voter;
    const auto registered = registeredInstances(voter.control.configuration);
    const auto assignments = poolAssignments(voter.control.configuration);
    voter.leader = membership::makeLeaderState(term, state.options.times, voter.control.appliedIndex, registered, assignments, now);
    voter.pendingAssignments.clear();
    state.view.leader = state.options.name;
    actions.push_back(Notice{"became leader of the replicated log in term " + std::to_string(term)});
    proposeInitialBundle(state, now, actions);
}

void loseLeadership(CoordinationState &state)
{
    VoterState &voter = *state.voter;
    voter.leader.reset();
    // The senders resend these commands to the next leader with the same command ids.
    voter.proposals.clear();
    voter.unacknowledgedChanges.clear();
    voter.reads.clear();
    voter.pendingAssignments.clear();
    if (state.view.leader == state.options.name) {
        state.view.leader.clear();
    }
}

void onReadConfirmed(CoordinationState &state, std::uint64_t read, TimePoint now, Actions &actions)
{
    VoterState &voter = *state.voter;
    const auto found = voter.reads.find(read);
    if (found == voter.reads.end() || !voter.leader) {
        return;
    }
    const TimePoint startedAt = found->second;
    voter.reads.erase(found);
    const auto assignments = poolAssignments(voter.control.configuration);
    for (membership::OutgoingRenewReply &answer : membership::answerRenewals(*voter.leader, assignments, startedAt, now)) {
        if (answer.to == state.options.name) {
            onRenewReply(state, answer.reply, now, actions);
        } else {
            send(state, answer.to, std::move(answer.reply), actions);
        }
    }
}

void onCommandApplied(CoordinationState &state,
                      control::LogIndex index,
                      control::Term term,
                      const control::Command &command,
                      const control::CommandResult &result,
                      TimePoint now,
                      Actions &actions)
{
    VoterState &voter = *state.voter;
    if (!voter.leader) {
        return;
    }
    if (const auto *pool = std::get_if<control::AssignPool>(&command.body)) {
        voter.pendingAssignments.erase(pool->pool);
    } else if (const auto *buckets = std::get_if<control::AssignBucketOwner>(&command.body)) {
        voter.pendingAssignments.erase(bucketPool(buckets->domain));
    }
    if (voter.control.configuration.logIndex == index) {
        membership::setRegisteredInstances(*voter.leader, registeredInstances(voter.control.configuration));
    }
    const auto found = voter.proposals.find(index);
    if (found == voter.proposals.end()) {
        return;
    }
    const PendingProposal proposal = found->second;
    voter.proposals.erase(found);
    if (proposal.term != term) {
        return; // an entry of another leader was committed at this index; the sender resends its command
    }
    if (result.outcome == control::CommandOutcome::Accepted && mustBeInForceEverywhere(command)) {
        voter.unacknowledgedChanges.push_back({index, proposal.peer, proposal.sequence, result});
        acknowledgeChanges(state, now, actions);
    } else {
        replyToCommand(state, proposal.peer, proposal.sequence, result, false, actions);
    }
}

void acknowledgeChanges(CoordinationState &state, TimePoint now, Actions &actions)
{
    VoterState &voter = *state.voter;
    while (voter.leader && !voter.unacknowledgedChanges.empty() && membership::isInForce(*voter.leader, voter.unacknowledgedChanges.front().index, now)) {
        const UnacknowledgedChange change = std::move(voter.unacknowledgedChanges.front());
        voter.unacknowledgedChanges.pop_front();
        replyToCommand(state, change.peer, change.sequence, change.result, true, actions);
    }
}

void tickLeader(CoordinationState &state, TimePoint now, Actions &actions)
{
    VoterState &voter = *state.voter;
    if (!voter.leader) {
        return;
    }
    membership::updateReachability(*voter.leader, now);
    if (!voter.leader->pendingRenewals.empty() && voter.reads.empty()) {
        control::ConsensusActions consensusActions;
        const std::uint64_t read = control::requestRead(voter.consensus, consensusActions);
        voter.reads[read] = now;
        executeActions(state, consensusActions, now, actions);
    }
    if (!voter.leader) {
        return;
    }
    acknowledgeChanges(state, now, actions);
    if (now >= state.nextAssignment) {
        state.nextAssignment = now + assignmentInterval;
        assignPools(state, now, actions);
    }
}

} // namespace mimosahollow::coordination
