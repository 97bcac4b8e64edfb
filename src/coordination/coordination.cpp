#include "internal.h"

#include "mimosahollow/control/snapshot.h"

#include <algorithm>

namespace mimosahollow::coordination {

namespace {

// Base of the pool ids that stand for token buckets. Far above the ids of pools, which the state machine assigns from 1.
constexpr std::uint32_t bucketPoolBase = 0x8000'0000U;

CoordinationState makeState(const Options &options, TimePoint now)
{
    CoordinationState state;
    state.options = options;
    state.random.seed(options.seed);
    state.view.self = {options.name, options.failureDomain, options.linkAddress, options.incarnation};
    state.view.relay = options.name;
    state.renewal.incarnation = options.incarnation;
    state.holder.incarnation = options.incarnation;
    state.holder.poolLease = options.times.poolLease;
    state.holder.startedAt = now;
    state.upstreamHeardAt = now;
    return state;
}

control::Membership initialMembers(const Options &options)
{
    control::Membership members;
    std::uint32_t number = 0;
    for (const std::string &name : options.voters) {
        members.push_back({static_cast<control::VoterId>(++number), name, false});
    }
    return members;
}

} // namespace

PoolId bucketPool(DomainId domain) noexcept
{
    return static_cast<PoolId>(bucketPoolBase + number(domain));
}

bool mayVote(const control::DurableLog &durable, const Options &options, bool isNewFleet) noexcept
{
    const bool empty = durable.term == 0 && durable.entries.empty() && !durable.snapshotData;
    return !empty || isNewFleet || options.voters.size() <= 1;
}

CoordinationState makeNonVoter(const Options &options, TimePoint now)
{
    return makeState(options, now);
}

std::variant<CoordinationState, std::string> makeVoter(const Options &options, control::DurableLog durable, TimePoint now)
{
    CoordinationState state = makeState(options, now);
    VoterState voter;
    if (durable.snapshotData) {
        auto decoded = control::decodeSnapshot(*durable.snapshotData);
        if (const auto *error = std::get_if<control::SnapshotError>(&decoded)) {
            return "the stored snapshot cannot be read: " + error->message;
        }
        voter.control = std::get<control::ControlState>(std::move(decoded));
        voter.snapshotIndex = voter.control.appliedIndex;
    }
    state.voter.emplace(std::move(voter));
    const control::VoterId self = voterId(state, options.name);
    state.voter->consensus = control::makeConsensus(self, {}, std::move(durable), initialMembers(options), options.seed, now);
    state.configuration = control::sharedConfiguration(state.voter->control);
    state.renewal.applied = state.voter->control.appliedIndex;
    return state;
}

void send(CoordinationState &state, const std::string &peer, Message message, Actions &actions)
{
    if (state.peersUp.contains(peer)) {
        actions.push_back(SendMessage{peer, std::move(message)});
    }
}

bool isLeader(const CoordinationState &state) noexcept
{
    return state.voter && state.voter->leader;
}

std::string voterName(const CoordinationState &state, control::VoterId voter)
{
    const auto at = static_cast<std::size_t>(voter);
    return at >= 1 && at <= state.options.voters.size() ? state.options.voters[at - 1] : std::string();
}

control::VoterId voterId(const CoordinationState &state, std::string_view name)
{
    const auto &voters = state.options.voters;
    const auto found = std::find(voters.begin(), voters.end(), name);
    return found == voters.end() ? control::VoterId{} : static_cast<control::VoterId>(found - voters.begin() + 1);
}

void peerUp(CoordinationState &state, const membership::InstanceRecord &peer, TimePoint now, Actions &actions)
{
    state.peersUp.insert(peer.name);
    membership::recordInstance(state.view, peer, now);
    if (peer.name == state.upstream) {
        state.upstream.clear(); // the connection is new, so the subscription must be renewed
    }
    static_cast<void>(actions);
}

void peerDown(CoordinationState &state, const std::string &peer, TimePoint now, Actions &actions)
{
    state.peersUp.erase(peer);
    membership::removeSubscriber(state.feed, peer);
    if (peer == state.view.leader) {
        state.view.leader.clear(); // another voter may become leader; heartbeats and updates carry its name
    }
    if (peer == state.upstream) {
        state.upstream.clear();
        ++state.upstreamFailures;
    }
    static_cast<void>(now);
    static_cast<void>(actions);
}

void receive(CoordinationState &state, const std::string &peer, Message message, TimePoint now, Actions &actions)
{
    if (const auto *heartbeat = std::get_if<membership::Heartbeat>(&message)) {
        membership::onHeartbeat(state.view, peer, *heartbeat, now);
    } else if (const auto *promise = std::get_if<membership::Promise>(&message)) {
        onPromise(state, *promise, now, actions);
    } else if (const auto *subscribe = std::get_if<membership::Subscribe>(&message)) {
        onSubscribe(state, peer, *subscribe, actions);
    } else if (auto *update = std::get_if<membership::Update>(&message)) {
        onUpdate(state, peer, std::move(*update), now, actions);
    } else if (auto *request = std::get_if<membership::RenewRequest>(&message)) {
        onRenewRequest(state, peer, std::move(*request), now);
    } else if (const auto *reply = std::get_if<membership::RenewReply>(&message)) {
        onRenewReply(state, *reply, now, actions);
    } else if (const auto *confirm = std::get_if<membership::Confirm>(&message)) {
        onConfirm(state, *confirm, actions);
    } else if (const auto *command = std::get_if<membership::Command>(&message)) {
        onCommand(state, peer, *command, now, actions);
    } else if (const auto *answer = std::get_if<membership::CommandReply>(&message)) {
        onCommandReply(state, *answer, actions);
    } else if (state.voter) {
        const control::VoterId from = voterId(state, peer);
        if (from != control::VoterId{}) {
            control::ConsensusActions consensusActions;
            control::receive(state.voter->consensus, from, std::get<control::ConsensusMessage>(message), now, consensusActions);
            executeActions(state, consensusActions, now, actions);
        }
    }
}

void tick(CoordinationState &state, TimePoint now, std::int64_t wallClock, Actions &actions)
{
    state.wallClock = wallClock;
    if (now >= state.nextHeartbeat) {
        state.nextHeartbeat = now + state.view.options.heartbeatInterval;
        membership::ViewActions viewActions = membership::tickView(state.view, now, state.random);
        for (membership::OutgoingHeartbeat &heartbeat : viewActions.heartbeats) {
            if (!state.peersUp.contains(heartbeat.to)) {
                const auto known = state.view.known.find(heartbeat.to);
                if (known != state.view.known.end()) {
                    actions.push_back(ConnectTo{known->second.record.linkAddress});
                }
            }
            send(state, heartbeat.to, std::move(heartbeat.heartbeat), actions);
        }
        for (const std::string &name : viewActions.becameSuspect) {
            actions.push_back(Notice{"instance " + name + " is suspected: heartbeats are missing in at least one direction"});
        }
        for (const std::string &name : viewActions.becameAlive) {
            actions.push_back(Notice{"instance " + name + " is alive"});
        }
    }
    if (state.voter) {
        control::ConsensusActions consensusActions;
        control::tick(state.voter->consensus, now, consensusActions);
        executeActions(state, consensusActions, now, actions);
        tickLeader(state, now, actions);
    }
    tickUpstream(state, now, actions);
    tickLeases(state, now, actions);
    tickCommands(state, now, actions);
}

} // namespace mimosahollow::coordination
