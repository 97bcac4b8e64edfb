#include "internal.h"

#include "mimosahollow/link/controlcodec.h"

#include <algorithm>

namespace mimosahollow::coordination {

namespace {

// An upstream instance that forwards neither lease renewals nor updates for this long is replaced: three renewal intervals of 1 s.
// Heartbeats do not count, since two instances that subscribe to each other would never detect the cycle.
constexpr Duration upstreamTimeout = seconds(3);

const control::Instance *ownRegistration(const CoordinationState &state, const control::Configuration &configuration)
{
    const auto &instances = configuration.instances;
    const auto found = std::find_if(instances.begin(), instances.end(), [&](const control::Instance &instance) {
        return instance.name == state.options.name && instance.incarnation == state.options.incarnation;
    });
    return found == instances.end() ? nullptr : &*found;
}

DomainId homeDomain(const CoordinationState &state, const control::Configuration &configuration)
{
    for (const control::FailureDomain &domain : configuration.domains) {
        if (domain.name == state.options.failureDomain) {
            return domain.id;
        }
    }
    return DomainId{};
}

std::string preferredUpstream(const CoordinationState &state, TimePoint now)
{
    if (state.voter) {
        return state.view.leader == state.options.name ? std::string() : state.view.leader;
    }
    std::string relay = membership::chooseRelay(state.view, now);
    if (relay != state.options.name && state.peersUp.contains(relay)) {
        return relay;
    }
    return membership::chooseUpstream(state.view, state.options.voters, state.upstreamFailures);
}

void subscribe(CoordinationState &state, TimePoint now, Actions &actions)
{
    if (isLeader(state)) {
        state.upstream.clear();
        state.upstreamHeardAt = now;
        return;
    }
    const bool isSilent = now >= state.upstreamHeardAt + upstreamTimeout;
    const std::string wanted = preferredUpstream(state, now);
    if (wanted == state.upstream && !isSilent) {
        return;
    }
    if (isSilent) {
        ++state.upstreamFailures;
        if (state.view.leader == state.upstream && !state.voter) {
            state.view.leader.clear();
        }
    }
    state.upstream = wanted;
    state.upstreamHeardAt = now;
    if (!wanted.empty() && !state.voter) {
        const Version next = state.reader.applied == 0 ? 0 : state.reader.applied + 1;
        send(state, wanted, membership::Subscribe{state.self, state.options.incarnation, next}, actions);
    }
}

void requestRenewal(CoordinationState &state, TimePoint now, Actions &actions)
{
    if (now < state.nextRenewal || state.self == InstanceId{}) {
        return;
    }
    const auto pools = membership::poolsToRenew(state.holder);
    const bool isFrequent = !pools.empty() || state.view.relay == state.options.name || !state.renewal.downstream.empty();
    state.nextRenewal = now + membership::renewalInterval(state.options.times.freshness, isFrequent);
    membership::RenewRequest request = membership::makeRenewRequest(state.renewal, pools, now);
    if (isLeader(state)) {
        static_cast<void>(membership::onRenewRequest(*state.voter->leader, state.options.name, std::move(request), now));
    } else if (!state.upstream.empty()) {
        send(state, state.upstream, std::move(request), actions);
    }
}

void reportFreshness(CoordinationState &state, Actions &actions)
{
    if (state.renewal.freshUntil != state.reportedFreshUntil) {
        state.reportedFreshUntil = state.renewal.freshUntil;
        actions.push_back(FreshnessChanged{state.renewal.freshUntil});
    }
}

void resubscribe(CoordinationState &state, Version next, Actions &actions)
{
    send(state, state.upstream, membership::Subscribe{state.self, state.options.incarnation, next}, actions);
}

/** Reads all from the start, after an update that could not be applied. The reader must not take it for applied when it comes again. */
void readAgain(CoordinationState &state, Actions &actions)
{
    state.reader = {};
    resubscribe(state, 0, actions);
}

/** Applies one increment of the feed. Returns false if it does not follow on the current configuration. */
bool applyIncrement(CoordinationState &state, const membership::Increment &increment, TimePoint now, Actions &actions)
{
    if (increment.payload.empty()) {
        return true; // the log entry did not change the configuration
    }
    const auto decoded = link::decodeIncrement(increment.payload);
    const auto *change = std::get_if<control::Increment>(&decoded);
    if (change == nullptr || !state.configuration) {
        return false;
    }
    auto next = control::applyIncrement(*state.configuration, *change);
    auto *configuration = std::get_if<std::shared_ptr<const control::Configuration>>(&next);
    if (configuration == nullptr) {
        return false;
    }
    activateConfiguration(state, std::move(*configuration), now, actions);
    return true;
}

bool applySnapshot(CoordinationState &state, const membership::ApplySnapshot &snapshot, TimePoint now, Actions &actions)
{
    auto decoded = link::decodeConfiguration(snapshot.payload);
    auto *configuration = std::get_if<std::shared_ptr<const control::Configuration>>(&decoded);
    if (configuration == nullptr) {
        return false;
    }
    membership::setSnapshot(state.feed, snapshot.index, snapshot.payload);
    // A restarted relay may be behind this instance; the current configuration never reverts to an older one.
    if (!state.configuration || (*configuration)->logIndex >= state.configuration->logIndex) {
        activateConfiguration(state, std::move(*configuration), now, actions);
    }
    return true;
}

} // namespace

std::string upstreamPeer(const CoordinationState &state)
{
    const std::string &leader = state.view.leader;
    return !leader.empty() && state.peersUp.contains(leader) ? leader : state.upstream;
}

void activateConfiguration(CoordinationState &state, std::shared_ptr<const control::Configuration> configuration, TimePoint now, Actions &actions)
{
    state.configuration = std::move(configuration);
    const control::Configuration &current = *state.configuration;
    const control::Instance *own = ownRegistration(state, current);
    state.self = own != nullptr ? own->id : InstanceId{};
    state.home = homeDomain(state, current);
    state.renewal.self = state.self;
    state.holder.self = state.self;
    const auto registered = registeredInstances(current);
    const auto assignments = poolAssignments(current);
    membership::applyControlState(state.holder, state.home, registered, assignments, now);
    actions.push_back(ConfigurationChanged{state.configuration, state.self, state.home});
}

void reportApplied(CoordinationState &state, Version index, TimePoint now, Actions &actions)
{
    state.renewal.applied = index;
    state.reader.applied = index;
    if (isLeader(state)) {
        membership::onConfirm(*state.voter->leader, membership::makeConfirm(state.renewal, {}));
        acknowledgeChanges(state, now, actions);
    } else if (!state.upstream.empty() && state.self != InstanceId{}) {
        send(state, state.upstream, membership::makeConfirm(state.renewal, {}), actions);
    }
    sendFeedUpdates(state, actions);
}

void sendFeedUpdates(CoordinationState &state, Actions &actions)
{
    if (membership::needsSnapshot(state.feed) && state.configuration) {
        membership::setSnapshot(state.feed, state.reader.applied, link::encode(*state.configuration));
    }
    std::vector<std::string> peers;
    for (const auto &[peer, subscriber] : state.feed.subscribers) {
        peers.push_back(peer);
    }
    for (const std::string &peer : peers) {
        while (auto update = membership::nextUpdate(state.feed, peer, state.view.leader)) {
            membership::markSent(state.feed, peer, *update);
            send(state, peer, std::move(*update), actions);
        }
    }
}

void onSubscribe(CoordinationState &state, const std::string &peer, const membership::Subscribe &subscribe, Actions &actions)
{
    membership::onSubscribe(state.feed, peer, subscribe);
    sendFeedUpdates(state, actions);
}

void onUpdate(CoordinationState &state, const std::string &peer, membership::Update update, TimePoint now, Actions &actions)
{
    if (peer != state.upstream || state.voter) {
        return;
    }
    state.upstreamHeardAt = now;
    if (!update.leader.empty()) {
        state.view.leader = update.leader;
    }
    membership::ReadResult result = membership::onUpdate(state.reader, std::move(update));
    if (const auto *snapshot = std::get_if<membership::ApplySnapshot>(&result)) {
        if (!applySnapshot(state, *snapshot, now, actions)) {
            readAgain(state, actions);
            return;
        }
        reportApplied(state, snapshot->index, now, actions);
    } else if (auto *increments = std::get_if<membership::ApplyIncrements>(&result)) {
        for (membership::Increment &increment : increments->increments) {
            if (!applyIncrement(state, increment, now, actions)) {
                readAgain(state, actions);
                return;
            }
            if (!membership::append(state.feed, increment)) {
                membership::setSnapshot(state.feed, increment.index, link::encode(*state.configuration));
            }
        }
        reportApplied(state, increments->lastIndex, now, actions);
    } else if (const auto *gap = std::get_if<membership::Resubscribe>(&result)) {
        resubscribe(state, gap->nextIndex, actions);
    }
}

void onRenewRequest(CoordinationState &state, const std::string &peer, membership::RenewRequest request, TimePoint now)
{
    if (isLeader(state)) {
        static_cast<void>(membership::onRenewRequest(*state.voter->leader, peer, std::move(request), now));
    } else {
        membership::onDownstreamRequest(state.renewal, std::move(request));
    }
}

void onRenewReply(CoordinationState &state, const membership::RenewReply &reply, TimePoint now, Actions &actions)
{
    membership::RenewalOutcome outcome = membership::onRenewReply(state.renewal, reply, now);
    if (reply.remaining > Duration::zero()) {
        state.upstreamHeardAt = now;
    }
    membership::onLeaderRenewal(state.holder, outcome.ownPools, outcome.ownPoolsLeaseStart);
    for (auto &[instance, downstreamReply] : outcome.replies) {
        for (const control::Instance &candidate : state.configuration->instances) {
            if (candidate.id == instance) {
                send(state, candidate.name, std::move(downstreamReply), actions);
                break;
            }
        }
    }
    reportFreshness(state, actions);
    tickLeases(state, now, actions);
}

void onConfirm(CoordinationState &state, const membership::Confirm &confirm, Actions &actions)
{
    if (isLeader(state)) {
        membership::onConfirm(*state.voter->leader, confirm);
    } else if (!state.upstream.empty()) {
        send(state, state.upstream, confirm, actions);
    }
}

void tickUpstream(CoordinationState &state, TimePoint now, Actions &actions)
{
    subscribe(state, now, actions);
    requestRenewal(state, now, actions);
    sendFeedUpdates(state, actions);
}

} // namespace mimosahollow::coordination
