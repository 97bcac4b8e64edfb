#include "internal.h"

#include "mimosahollow/link/controlcodec.h"

#include <algorithm>

namespace mimosahollow::coordination {

namespace {

// An election takes up to about 600 ms, so a shorter interval would only add messages.
constexpr Duration resendInterval = milliseconds(300);
constexpr Duration registrationInterval = seconds(1);
constexpr Duration registrationTimeout = seconds(10);
// First byte of a reply payload if every instance has applied the change or has an expired freshness lease; 0 otherwise.
constexpr std::uint8_t inForceEverywhereFlag = 1;

void finishCommand(
    CoordinationState &state, std::uint64_t sequence, CommandState finalState, const control::CommandResult &result, bool inForceEverywhere, Actions &actions)
{
    const auto found = state.commands.find(sequence);
    if (found == state.commands.end()) {
        return;
    }
    actions.push_back(CommandDone{found->second.ticket, finalState, result, inForceEverywhere});
    state.commands.erase(found);
}

/** Whether a command is already in the log of this leader. Commands that are resent during a long wait must not fill the log. */
bool isPending(const VoterState &voter, std::string_view peer, std::uint64_t sequence)
{
    const auto matches = [&](const auto &awaited) {
        return awaited.peer == peer && awaited.sequence == sequence;
    };
    const bool proposed = std::any_of(voter.proposals.begin(), voter.proposals.end(), [&](const auto &entry) {
        return matches(entry.second);
    });
    return proposed || std::any_of(voter.unacknowledgedChanges.begin(), voter.unacknowledgedChanges.end(), matches);
}

/** Proposes the command if this voter is the leader; otherwise sends it towards the leader. */
void sendCommand(CoordinationState &state, std::uint64_t sequence, TimePoint now, Actions &actions)
{
    OutstandingCommand &outstanding = state.commands.at(sequence);
    outstanding.sendAt = now + resendInterval;
    if (isLeader(state)) {
        if (isPending(*state.voter, state.options.name, sequence)) {
            return;
        }
        outstanding.sent = true;
        const control::Command command = outstanding.command;
        const auto position = proposeCommand(state, command, now, actions);
        if (position) {
            state.voter->proposals[position->index] = {position->term, state.options.name, sequence};
        }
        return;
    }
    const std::string peer = upstreamPeer(state);
    if (!peer.empty() && state.peersUp.contains(peer)) {
        outstanding.sent = true;
        send(state, peer, membership::Command{sequence, state.self, link::encode(outstanding.command)}, actions);
    }
}

void registerInstance(CoordinationState &state, TimePoint now, Actions &actions)
{
    if (state.self != InstanceId{} || state.leaving || now < state.nextRegistration) {
        return;
    }
    state.nextRegistration = now + registrationInterval;
    control::Command command;
    command.id = makeCommandId(state);
    command.sender = state.options.name;
    command.body = control::RegisterInstance{state.options.name, state.options.failureDomain, state.options.linkAddress, state.options.incarnation};
    submit(state, 0, std::move(command), registrationTimeout, now, actions);
}

} // namespace

void submit(CoordinationState &state, std::uint64_t ticket, control::Command command, Duration timeout, TimePoint now, Actions &actions)
{
    const std::uint64_t sequence = state.nextSequence++;
    state.commands[sequence] = {ticket, std::move(command), now + timeout, now, false};
    sendCommand(state, sequence, now, actions);
}

void onCommand(CoordinationState &state, const std::string &peer, const membership::Command &command, TimePoint now, Actions &actions)
{
    if (!isLeader(state) || isPending(*state.voter, peer, command.sequence)) {
        return; // the sender resends it until its deadline
    }
    auto decoded = link::decodeCommand(command.payload);
    auto *content = std::get_if<control::Command>(&decoded);
    if (content == nullptr) {
        replyToCommand(state, peer, command.sequence, {control::CommandOutcome::Invalid, "the command cannot be decoded", 0, ""}, false, actions);
        return;
    }
    const auto position = proposeCommand(state, std::move(*content), now, actions);
    if (position) {
        state.voter->proposals[position->index] = {position->term, peer, command.sequence};
    }
}

void replyToCommand(
    CoordinationState &state, const std::string &peer, std::uint64_t sequence, const control::CommandResult &result, bool inForceEverywhere, Actions &actions)
{
    if (peer == state.options.name) {
        finishCommand(state, sequence, CommandState::Done, result, inForceEverywhere, actions);
        return;
    }
    control::Bytes payload{inForceEverywhere ? inForceEverywhereFlag : std::uint8_t{0}};
    const control::Bytes encoded = link::encode(result);
    payload.insert(payload.end(), encoded.begin(), encoded.end());
    send(state, peer, membership::CommandReply{sequence, std::move(payload)}, actions);
}

void onCommandReply(CoordinationState &state, const membership::CommandReply &reply, Actions &actions)
{
    if (reply.payload.empty()) {
        return;
    }
    const std::vector<std::uint8_t> encoded(reply.payload.begin() + 1, reply.payload.end());
    const auto decoded = link::decodeCommandResult(encoded);
    if (const auto *result = std::get_if<control::CommandResult>(&decoded)) {
        finishCommand(state, reply.sequence, CommandState::Done, *result, reply.payload.front() == inForceEverywhereFlag, actions);
    }
}

void tickCommands(CoordinationState &state, TimePoint now, Actions &actions)
{
    registerInstance(state, now, actions);
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> due;
    for (const auto &[sequence, outstanding] : state.commands) {
        if (now >= outstanding.deadline) {
            expired.push_back(sequence);
        } else if (now >= outstanding.sendAt) {
            due.push_back(sequence);
        }
    }
    for (const std::uint64_t sequence : expired) {
        const bool sent = state.commands.at(sequence).sent;
        finishCommand(state, sequence, sent ? CommandState::Unknown : CommandState::NotSent, {}, false, actions);
    }
    for (const std::uint64_t sequence : due) {
        sendCommand(state, sequence, now, actions);
    }
}

} // namespace mimosahollow::coordination
