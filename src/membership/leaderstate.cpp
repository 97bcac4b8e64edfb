#include "mimosahollow/membership/leaderstate.h"

#include <algorithm>

namespace mimosahollow::membership {

namespace {

/** Limit of the requests queued for one majority round. Relays send two per second, so a few dozen are usual. */
constexpr std::size_t maximumPendingRenewals = 1024;
/** The failure count is reset after an instance has been reachable for this long. */
constexpr Duration failureResetTime = seconds(3600);

bool isRegistered(const LeaderState &state, const ProcessId &process)
{
    return std::any_of(state.registered.begin(), state.registered.end(), [&process](const RegisteredInstance &instance) {
        return instance.id == process.instance && instance.incarnation == process.incarnation;
    });
}

void advanceRequiredIndex(LeaderState &state, TimePoint now)
{
    while (!state.notYetRequired.empty() && now - state.notYetRequired.front().committedAt >= state.times.applyGracePeriod) {
        state.requiredIndex = std::max(state.requiredIndex, state.notYetRequired.front().index);
        state.notYetRequired.pop_front();
    }
}

void recordEcho(LeaderState &state, const FollowerEntry &entry, TimePoint now)
{
    if (!isRegistered(state, {entry.instance, entry.incarnation})) {
        return; // unregistered processes would grow the map without bound
    }
    Reachability &reachability = state.reachability[entry.instance];
    if (entry.echo.term == state.term && fromNanoseconds(entry.echo.time) >= state.leaderSince && fromNanoseconds(entry.echo.time) <= now) {
        reachability.lastEchoAt = std::max(reachability.lastEchoAt, fromNanoseconds(entry.echo.time));
    }
    if (!reachability.reachable && reachability.lastEchoAt != neverTime && now - reachability.lastEchoAt < state.times.poolLease) {
        reachability.reachable = true;
        reachability.reachableSince = now;
    }
}

/** Renews the freshness lease of a registered process that has applied the required index. */
bool renewFreshness(LeaderState &state, const FollowerEntry &entry, TimePoint receivedAt)
{
    const ProcessId process{entry.instance, entry.incarnation};
    if (entry.applied < state.requiredIndex || !isRegistered(state, process)) {
        return false;
    }
    FreshnessLease &freshness = state.freshness[process];
    freshness.confirmedIndex = std::max(freshness.confirmedIndex, entry.applied);
    freshness.mayServeUntil = std::max(freshness.mayServeUntil, receivedAt + granterLeaseDuration(state.times.freshness));
    return true;
}

const FollowerEntry *findEntry(const RenewRequest &request, InstanceId instance)
{
    if (request.self.instance == instance) {
        return &request.self;
    }
    const auto found = std::find_if(request.followers.begin(), request.followers.end(), [instance](const FollowerEntry &entry) {
        return entry.instance == instance;
    });
    return found == request.followers.end() ? nullptr : &*found;
}

bool renewPool(LeaderState &state, const PendingRenewal &pending, const PoolRenewal &renewal, std::span<const PoolAssignment> pools)
{
    const auto assignment = std::find_if(pools.begin(), pools.end(), [&renewal](const PoolAssignment &pool) {
        return pool.pool == renewal.pool;
    });
    if (assignment == pools.end() || assignment->owner != renewal.owner || assignment->fencing != renewal.fencing || assignment->releasedByIncarnation != 0) {
        return false;
    }
    const FollowerEntry *owner = findEntry(pending.request, renewal.owner);
    // Without bidirectional contact the reply may not reach the owner, and renewing would keep the pool from a working instance.
    if (owner == nullptr || !isReachable(state, renewal.owner) || !isRegistered(state, {owner->instance, owner->incarnation})) {
        return false;
    }
    PoolLease &lease = state.pools[renewal.pool];
    if (lease.fencing != assignment->fencing) {
        lease = {neverTime, assignment->index, assignment->fencing, 0, neverTime};
    }
    if (owner->applied < std::max(lease.ownerAppliedIndex, assignment->index)) {
        return false;
    }
    lease.ownerAppliedIndex = owner->applied;
    lease.incarnation = owner->incarnation;
    lease.renewalDeadline = pending.receivedAt + renewalTimeout(state.times);
    lease.mayOwnUntil = std::max(lease.mayOwnUntil, pending.receivedAt + granterLeaseDuration(state.times.poolLease));
    return true;
}

OutgoingRenewReply answer(LeaderState &state, const PendingRenewal &pending, std::span<const PoolAssignment> pools, TimePoint now)
{
    const RenewRequest &request = pending.request;
    OutgoingRenewReply outgoing{pending.from, {}};
    RenewReply &reply = outgoing.reply;
    reply.sequence = request.sequence;
    reply.incarnation = request.self.incarnation;
    reply.stamp = {state.term, toNanoseconds(now)};
    recordEcho(state, request.self, now);
    for (const FollowerEntry &entry : request.followers) {
        recordEcho(state, entry, now);
    }
    if (renewFreshness(state, request.self, pending.receivedAt)) {
        reply.remaining = state.times.freshness;
        for (const FollowerEntry &entry : request.followers) {
            if (renewFreshness(state, entry, pending.receivedAt)) {
                reply.covered.push_back({entry.instance, entry.incarnation});
            }
        }
    }
    for (const PoolRenewal &renewal : request.pools) {
        if (renewPool(state, pending, renewal, pools)) {
            reply.pools.push_back(renewal);
        }
    }
    return outgoing;
}

} // namespace

Duration renewalTimeout(const LeaseTimes &times) noexcept
{
    return times.poolLease * 2;
}

LeaderState makeLeaderState(std::uint64_t term,
                            const LeaseTimes &times,
                            Version commitIndex,
                            std::span<const RegisteredInstance> registered,
                            std::span<const PoolAssignment> pools,
                            TimePoint now)
{
    LeaderState state;
    state.term = term;
    state.leaderSince = now;
    state.times = times;
    state.requiredIndex = commitIndex;
    state.registered.assign(registered.begin(), registered.end());
    for (const RegisteredInstance &instance : registered) {
        state.freshness[{instance.id, instance.incarnation}] = {0, now + granterLeaseDuration(times.freshness)};
        state.reachability[instance.id] = {now, now, 0, true};
    }
    for (const PoolAssignment &pool : pools) {
        state.pools[pool.pool] = {now + granterLeaseDuration(times.poolLease), pool.index, pool.fencing, 0, now + renewalTimeout(times)};
    }
    return state;
}

void setRegisteredInstances(LeaderState &state, std::span<const RegisteredInstance> registered)
{
    state.registered.assign(registered.begin(), registered.end());
}

void onCommitted(LeaderState &state, Version index, TimePoint now)
{
    state.notYetRequired.push_back({index, now});
    advanceRequiredIndex(state, now);
}

bool onRenewRequest(LeaderState &state, std::string from, RenewRequest request, TimePoint now)
{
    if (state.pendingRenewals.size() >= maximumPendingRenewals) {
        return false;
    }
    state.pendingRenewals.push_back({std::move(request), std::move(from), now});
    return true;
}

std::vector<OutgoingRenewReply> answerRenewals(LeaderState &state, std::span<const PoolAssignment> pools, TimePoint roundStartedAt, TimePoint now)
{
    advanceRequiredIndex(state, now);
    std::vector<OutgoingRenewReply> answers;
    std::vector<PendingRenewal> later;
    for (PendingRenewal &pending : state.pendingRenewals) {
        if (pending.receivedAt <= roundStartedAt) {
            answers.push_back(answer(state, pending, pools, now));
        } else {
            later.push_back(std::move(pending));
        }
    }
    state.pendingRenewals = std::move(later);
    return answers;
}

void onConfirm(LeaderState &state, const Confirm &confirm)
{
    for (const FollowerEntry &entry : confirm.entries) {
        const auto found = state.freshness.find({entry.instance, entry.incarnation});
        if (found == state.freshness.end()) {
            continue;
        }
        found->second.confirmedIndex = std::max(found->second.confirmedIndex, entry.applied);
        if (confirm.leaving) {
            state.freshness.erase(found);
        }
    }
}

bool isInForce(LeaderState &state, Version index, TimePoint now)
{
    if (inForceAt(state, index, now) > now) {
        return false;
    }
    state.requiredIndex = std::max(state.requiredIndex, index);
    std::erase_if(state.freshness, [now](const auto &item) {
        return item.second.mayServeUntil <= now;
    });
    return true;
}

TimePoint inForceAt(const LeaderState &state, Version index, TimePoint now)
{
    TimePoint at = now;
    for (const auto &[process, freshness] : state.freshness) {
        if (freshness.confirmedIndex < index) {
            at = std::max(at, freshness.mayServeUntil);
        }
    }
    return at;
}

void updateReachability(LeaderState &state, TimePoint now)
{
    for (auto &[instance, reachability] : state.reachability) {
        if (!reachability.reachable) {
            continue;
        }
        if (now - reachability.lastEchoAt >= state.times.poolLease) {
            reachability.reachable = false;
            ++reachability.failureCount;
        } else if (now - reachability.reachableSince >= failureResetTime) {
            reachability.failureCount = 0;
        }
    }
}

bool isReachable(const LeaderState &state, InstanceId instance) noexcept
{
    const auto found = state.reachability.find(instance);
    return found != state.reachability.end() && found->second.reachable;
}

} // namespace mimosahollow::membership
