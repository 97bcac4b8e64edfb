#include "leasesimulation.h"

#include <algorithm>

namespace mimosahollow::membership::test {

namespace {

InstanceId idOf(std::size_t node)
{
    return InstanceId(static_cast<std::uint32_t>(node));
}

constexpr std::int64_t second = 1'000'000'000;

} // namespace

LeaseSimulation::LeaseSimulation(std::uint64_t seed, std::size_t instances, Mutation mutation) : random(seed), nodes(instances + 1), m_mutation(mutation)
{
    // Rate errors of up to 1% and offsets of up to an hour, in both directions.
    const auto drawClock = [this] {
        const double rate = 1 + 0.01 * (static_cast<double>(randomBelow(2001)) - 1000) / 1000;
        return DriftingClock{rate, static_cast<std::int64_t>(randomBelow(7200)) * second - 3600 * second};
    };
    for (Node &node : nodes) {
        node.clock = drawClock();
    }
    m_leaderClocks = {drawClock(), drawClock(), drawClock()};
    for (std::uint32_t pool = 1; pool <= poolCount; ++pool) {
        m_committed.pools.push_back({PoolId(pool), domain, InstanceId{}, 0, 1, 0});
    }
    m_leader = makeLeaderState(1, {}, m_index, m_committed.registered, m_committed.pools, m_leaderClocks[0].at(0));
}

std::uint64_t LeaseSimulation::randomBelow(std::uint64_t range)
{
    return random() % range;
}

void LeaseSimulation::send(std::size_t from, std::size_t to, std::function<void()> deliver)
{
    if (cuts.contains({from, to}) || (from != to && static_cast<double>(randomBelow(1000)) < lossRate * 1000)) {
        return;
    }
    const auto bound = static_cast<std::uint64_t>(std::chrono::nanoseconds(maximumDelay).count());
    // With long delays enabled, one message in 50 takes up to 5 s, which is longer than a pool lease.
    const bool late = maximumDelay > milliseconds(20) && randomBelow(50) == 0;
    const auto delay = static_cast<std::int64_t>(late ? randomBelow(5 * static_cast<std::uint64_t>(second)) : randomBelow(bound + 1));
    m_messages.emplace(now + delay, Message{from, to, nodes[to].incarnation, std::move(deliver)});
}

void LeaseSimulation::deliverDue()
{
    while (!m_messages.empty() && m_messages.begin()->first <= now) {
        const Message message = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        const Node &node = nodes[message.to];
        if (message.to != 0 && node.pausedUntil > now) {
            m_messages.emplace(node.pausedUntil, message);
        } else if (message.to == 0 || (node.running && node.incarnation == message.incarnation)) {
            message.deliver();
        }
    }
}

void LeaseSimulation::startNode(std::size_t index)
{
    Node &node = nodes[index];
    const TimePoint local = node.clock.at(now);
    node.running = true;
    node.startAt = 0;
    ++node.incarnation;
    node.holder = PoolHolder{};
    node.holder.self = idOf(index);
    node.holder.incarnation = node.incarnation;
    node.holder.startedAt = m_mutation == Mutation::NoWaitAfterRestart ? local - seconds(60) : local;
    node.renewal = RenewalState{};
    node.renewal.self = idOf(index);
    node.renewal.incarnation = node.incarnation;
    node.state = {};
    node.nextRenewal = local;
}

void LeaseSimulation::crash(std::size_t node, Duration downtime)
{
    nodes[node].running = false;
    nodes[node].startAt = now + std::chrono::nanoseconds(downtime).count();
}

void LeaseSimulation::registerNode(std::size_t node, std::uint64_t incarnation)
{
    auto &registered = m_committed.registered;
    const auto same = [node](const RegisteredInstance &instance) {
        return instance.id == idOf(node);
    };
    const auto old = std::find_if(registered.begin(), registered.end(), same);
    const bool known = std::any_of(registered.begin(), registered.end(), [&](const RegisteredInstance &instance) {
        return same(instance) && instance.incarnation >= incarnation;
    });
    if (!known) {
        Version registeredSince = old == registered.end() ? m_index + 1 : old->registeredSince;
        if (m_mutation == Mutation::AnyInstanceSucceeds) {
            registeredSince = 0;
        }
        commit([&](ControlState &state) {
            state.registered.push_back({idOf(node), "n" + std::to_string(node), domain, incarnation, registeredSince, true});
        });
        setRegisteredInstances(m_leader, m_committed.registered);
    }
}

void LeaseSimulation::commit(const std::function<void(ControlState &)> &change)
{
    change(m_committed);
    onCommitted(m_leader, ++m_index, m_leaderClocks[m_leaderClock].at(now));
    for (std::size_t node = 1; node < nodes.size(); ++node) {
        sendState(0, node, m_committed, m_index);
    }
}

void LeaseSimulation::stopAccepting(std::size_t node)
{
    commit([node](ControlState &state) {
        for (RegisteredInstance &instance : state.registered) {
            instance.acceptsPools = instance.acceptsPools && instance.id != idOf(node);
        }
    });
    setRegisteredInstances(m_leader, m_committed.registered);
}

void LeaseSimulation::commitChange()
{
    commit([](ControlState &) {});
}

void LeaseSimulation::sendState(std::size_t from, std::size_t to, const ControlState &state, Version index)
{
    send(from, to, [this, to, state, index] {
        Node &node = nodes[to];
        if (index > node.renewal.applied) {
            node.state = state;
            applyControlState(node.holder, domain, state.registered, state.pools, node.clock.at(now));
            node.renewal.applied = index;
            const Confirm confirm = makeConfirm(node.renewal, {});
            send(to, 0, [this, confirm] {
                onConfirm(m_leader, confirm);
            });
        }
    });
}

void LeaseSimulation::sendRenewRequest(std::size_t from)
{
    Node &node = nodes[from];
    const RenewRequest request = makeRenewRequest(node.renewal, poolsToRenew(node.holder), node.clock.at(now));
    const std::size_t to = throughRelay && from != 1 ? 1 : 0;
    send(from, to, [this, from, to, request] {
        if (to == 0) {
            receiveRequest(from, request);
        } else {
            onDownstreamRequest(nodes[to].renewal, request);
            sendState(to, from, nodes[to].state, nodes[to].renewal.applied);
            if (m_mutation == Mutation::RelayRenewsAlone && isFresh(nodes[to].renewal, nodes[to].clock.at(now))) {
                RenewReply reply;
                reply.sequence = request.sequence;
                reply.incarnation = request.self.incarnation;
                reply.remaining = LeaseTimes{}.freshness;
                receiveReply(from, reply);
            }
        }
    });
}

void LeaseSimulation::receiveRequest(std::size_t from, const RenewRequest &request)
{
    registerNode(from, request.self.incarnation);
    for (const FollowerEntry &entry : request.followers) {
        registerNode(number(entry.instance), entry.incarnation);
    }
    if (request.self.applied < m_index) {
        sendState(0, from, m_committed, m_index);
    }
    const TimePoint local = m_leaderClocks[m_leaderClock].at(now);
    static_cast<void>(onRenewRequest(m_leader, std::to_string(from), request, local));
    for (const OutgoingRenewReply &outgoing : answerRenewals(m_leader, m_committed.pools, local, local)) {
        send(0, from, [this, from, reply = outgoing.reply] {
            receiveReply(from, reply);
        });
    }
}

void LeaseSimulation::receiveReply(std::size_t index, RenewReply reply)
{
    Node &node = nodes[index];
    const TimePoint local = node.clock.at(now);
    if (m_mutation == Mutation::LeaseFromReceipt) {
        for (SentRenewal &sent : node.renewal.sent) {
            sent.sentAt = local;
        }
    }
    RenewalOutcome outcome = onRenewReply(node.renewal, reply, local);
    onLeaderRenewal(node.holder, outcome.ownPools, outcome.ownPoolsLeaseStart);
    for (auto &[follower, followerReply] : outcome.replies) {
        send(index, number(follower), [this, to = number(follower), passed = followerReply] {
            receiveReply(to, passed);
        });
    }
}

void LeaseSimulation::sendPromise(std::size_t from, std::size_t to, const Promise &promise)
{
    send(from, to, [this, to, promise] {
        receivePromise(to, promise);
    });
}

void LeaseSimulation::receivePromise(std::size_t index, Promise promise)
{
    Node &node = nodes[index];
    const TimePoint local = node.clock.at(now);
    if (promise.kind != PromiseKind::Request) {
        if (m_mutation == Mutation::PromiseFromReceipt) {
            promise.ownerTime = toNanoseconds(local);
        }
        onPromise(node.holder, promise, local);
        return;
    }
    for (const Promise &answer : onPromiseRequest(node.holder, promise, local)) {
        sendPromise(index, number(promise.from), answer);
    }
    if (m_mutation == Mutation::PromisesIgnored) {
        for (auto &[id, pool] : node.holder.pools) {
            pool.givenPromises.clear();
        }
    }
}

void LeaseSimulation::tickNode(std::size_t index)
{
    Node &node = nodes[index];
    const TimePoint local = node.clock.at(now);
    if (!node.running || node.pausedUntil > now) {
        return;
    }
    static_cast<void>(activatePools(node.holder, local));
    if (local < node.nextRenewal) {
        return;
    }
    node.nextRenewal = local + renewalInterval(LeaseTimes{}.freshness, (throughRelay && index == 1) || !poolsToRenew(node.holder).empty());
    sendRenewRequest(index);
    if (const auto request = promiseRequest(node.holder, local)) {
        for (const InstanceId peer : node.holder.peers) {
            sendPromise(index, number(peer), *request);
        }
    }
}

void LeaseSimulation::tickLeader()
{
    const TimePoint local = m_leaderClocks[m_leaderClock].at(now);
    updateReachability(m_leader, local);
    for (const PlannedAssignment &planned : planAssignments(m_leader, m_committed.pools, local)) {
        if (planned.action == AssignmentAction::RequestRelease) {
            const auto owner = number(m_committed.pools[number(planned.pool) - 1].owner);
            send(0, owner, [this, owner] {
                release(owner);
            });
            continue;
        }
        commit([&](ControlState &state) {
            PoolAssignment &pool = state.pools[number(planned.pool) - 1];
            reassignments += pool.owner == InstanceId{} ? 0 : 1;
            pool = {planned.pool, domain, planned.owner, planned.fencing, m_index + 1, 0};
        });
    }
    if (m_index > acknowledged && isInForce(m_leader, m_index, local)) {
        acknowledged = m_index;
    }
}

void LeaseSimulation::release(std::size_t index)
{
    Node &node = nodes[index];
    for (const PoolRenewal &held : poolsToRenew(node.holder)) {
        const auto released = releasePool(node.holder, held.pool);
        for (const InstanceId peer : node.holder.peers) {
            sendPromise(index, number(peer), *released);
        }
        send(index, 0, [this, held, incarnation = node.incarnation] {
            PoolAssignment &pool = m_committed.pools[number(held.pool) - 1];
            if (pool.fencing == held.fencing && pool.owner == held.owner && pool.releasedByIncarnation == 0) {
                commit([&](ControlState &) {
                    pool.releasedByIncarnation = incarnation;
                });
            }
        });
        return; // release one pool per call
    }
}

void LeaseSimulation::changeLeader()
{
    m_leaderClock = (m_leaderClock + 1) % m_leaderClocks.size();
    commitChange(); // the first entry of the new term
    const TimePoint local = m_leaderClocks[m_leaderClock].at(now);
    m_leader = makeLeaderState(m_leader.term + 1, {}, m_index, m_committed.registered, m_committed.pools, local);
    if (m_mutation == Mutation::NewLeaderForgetsLeases) {
        m_leader.freshness.clear();
        for (auto &[id, lease] : m_leader.pools) {
            lease.mayOwnUntil = neverTime;
        }
    }
}

void LeaseSimulation::setLinkCut(std::size_t a, std::size_t b, bool cut)
{
    for (const auto &direction : {std::pair{a, b}, std::pair{b, a}}) {
        if (cut) {
            cuts.insert(direction);
        } else {
            cuts.erase(direction);
        }
    }
}

std::size_t LeaseSimulation::ownerOf(std::size_t pool) const
{
    for (std::size_t index = 1; index < nodes.size(); ++index) {
        const Node &node = nodes[index];
        if (node.running && ownsPool(node.holder, PoolId(static_cast<std::uint32_t>(pool)), node.clock.at(now))) {
            return index;
        }
    }
    return 0;
}

void LeaseSimulation::check()
{
    bool allOwned = true;
    for (std::uint32_t pool = 1; pool <= poolCount; ++pool) {
        // A paused process counts: it may resume at any time and act on the leases that it holds.
        const auto owners = std::count_if(nodes.begin() + 1, nodes.end(), [&](const Node &node) {
            return node.running && ownsPool(node.holder, PoolId(pool), node.clock.at(now));
        });
        doubleOwners += owners > 1 ? 1 : 0;
        allOwned = allOwned && owners == 1;
    }
    ownedSteps += allOwned ? 1 : 0;
    for (std::size_t index = 1; index < nodes.size(); ++index) {
        const Node &node = nodes[index];
        if (node.running && isFresh(node.renewal, node.clock.at(now))) {
            ++freshSteps;
            staleWithLease += node.renewal.applied < acknowledged ? 1 : 0;
        }
    }
}

void LeaseSimulation::run(Duration duration, const std::function<void()> &faults)
{
    const std::int64_t end = now + std::chrono::nanoseconds(duration).count();
    while (now < end) {
        now += step;
        if (faults) {
            faults();
        }
        for (std::size_t node = 1; node < nodes.size(); ++node) {
            if (nodes[node].startAt != 0 && nodes[node].startAt <= now) {
                startNode(node);
            }
        }
        deliverDue();
        for (std::size_t node = 1; node < nodes.size(); ++node) {
            tickNode(node);
        }
        if (now % (10 * step) == 0) {
            tickLeader();
        }
        check();
    }
}

void LeaseSimulation::startAndStabilize()
{
    for (std::size_t node = 1; node < nodes.size(); ++node) {
        startNode(node);
    }
    run(seconds(20));
    ownedSteps = 0;
    freshSteps = 0;
    reassignments = 0;
}

} // namespace mimosahollow::membership::test
