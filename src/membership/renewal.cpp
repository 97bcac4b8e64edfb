#include "mimosahollow/membership/renewalstate.h"

#include <algorithm>

namespace mimosahollow::membership {

namespace {

/** Limit of the unanswered requests. Replies to older ones are useless, because newer requests have renewed the same leases. */
constexpr std::size_t maximumSentRenewals = 32;
/** Bounds the request of a relay; exceeds the number of instances in a fleet of the expected size. */
constexpr std::size_t maximumDownstreamRequests = 1024;
constexpr Duration shortestRenewalInterval = milliseconds(100);
/** Well below the pool lease of 3 s, after which the leader counts an instance without renewal requests as unreachable. */
constexpr Duration longestRenewalInterval = seconds(1);
/** Tolerates the loss of five renewals of a pool lease of 3 s. */
constexpr Duration poolRenewalInterval = milliseconds(500);
constexpr int renewalsInFreshnessTime = 10;

ProcessId processOf(const FollowerEntry &entry)
{
    return {entry.instance, entry.incarnation};
}

bool contains(const std::vector<ProcessId> &processes, const ProcessId &process)
{
    return std::find(processes.begin(), processes.end(), process) != processes.end();
}

bool includesInstance(const RenewRequest &request, InstanceId instance)
{
    return request.self.instance == instance || std::any_of(request.followers.begin(), request.followers.end(), [instance](const FollowerEntry &entry) {
               return entry.instance == instance;
           });
}

/** Reply to a downstream request. @p until is the end of this instance's own freshness lease from @p upstream. */
RenewReply replyTo(const RenewRequest &request, const RenewReply &upstream, TimePoint until, TimePoint now)
{
    RenewReply reply;
    reply.sequence = request.sequence;
    reply.incarnation = request.self.incarnation;
    reply.stamp = upstream.stamp;
    if (now < until && contains(upstream.covered, processOf(request.self))) {
        reply.remaining = until - now;
        for (const FollowerEntry &entry : request.followers) {
            if (contains(upstream.covered, processOf(entry))) {
                reply.covered.push_back(processOf(entry));
            }
        }
    }
    for (const PoolRenewal &pool : upstream.pools) {
        if (includesInstance(request, pool.owner)) {
            reply.pools.push_back(pool);
        }
    }
    return reply;
}

/**
 * Merges the followers and pools of an earlier request of the same instance. Without this, if a relay sends more often than
 * its upstream instance, a request without the followers that send less often would replace one that contains them.
 */
void mergeEarlierRequest(RenewRequest &request, const RenewRequest &earlier)
{
    for (const FollowerEntry &entry : earlier.followers) {
        if (!includesInstance(request, entry.instance)) {
            request.followers.push_back(entry);
        }
    }
    for (const PoolRenewal &pool : earlier.pools) {
        const bool known = std::any_of(request.pools.begin(), request.pools.end(), [&pool](const PoolRenewal &other) {
            return other.pool == pool.pool;
        });
        if (!known) {
            request.pools.push_back(pool);
        }
    }
}

} // namespace

Duration renewalInterval(Duration freshnessTime, bool ownsPoolsOrIsRelay) noexcept
{
    const Duration longest = ownsPoolsOrIsRelay ? poolRenewalInterval : longestRenewalInterval;
    return std::clamp<Duration>(freshnessTime / renewalsInFreshnessTime, shortestRenewalInterval, longest);
}

RenewRequest makeRenewRequest(RenewalState &state, std::span<const PoolRenewal> ownPools, TimePoint now)
{
    RenewRequest request;
    request.sequence = state.nextSequence++;
    request.self = {state.self, state.incarnation, state.applied, state.echo};
    request.pools.assign(ownPools.begin(), ownPools.end());
    SentRenewal sent{request.sequence, now, {}};
    for (auto &[instance, downstreamRequest] : state.downstream) {
        request.followers.push_back(downstreamRequest.self);
        request.followers.insert(request.followers.end(), downstreamRequest.followers.begin(), downstreamRequest.followers.end());
        request.pools.insert(request.pools.end(), downstreamRequest.pools.begin(), downstreamRequest.pools.end());
        sent.downstream.push_back(std::move(downstreamRequest));
    }
    state.downstream.clear();
    state.sent.push_back(std::move(sent));
    if (state.sent.size() > maximumSentRenewals) {
        state.sent.pop_front();
    }
    return request;
}

void onDownstreamRequest(RenewalState &state, RenewRequest request)
{
    if (request.self.instance == state.self) {
        return;
    }
    const auto found = state.downstream.find(request.self.instance);
    if (found == state.downstream.end()) {
        if (state.downstream.size() < maximumDownstreamRequests) {
            state.downstream.emplace(request.self.instance, std::move(request));
        }
        return;
    }
    const RenewRequest &known = found->second;
    const bool older =
        request.self.incarnation < known.self.incarnation || (request.self.incarnation == known.self.incarnation && request.sequence <= known.sequence);
    if (!older) {
        mergeEarlierRequest(request, known);
        found->second = std::move(request);
    }
}

RenewalOutcome onRenewReply(RenewalState &state, const RenewReply &reply, TimePoint now)
{
    RenewalOutcome outcome;
    const auto sent = std::find_if(state.sent.begin(), state.sent.end(), [&reply](const SentRenewal &renewal) {
        return renewal.sequence == reply.sequence;
    });
    if (reply.incarnation != state.incarnation || sent == state.sent.end()) {
        return outcome;
    }
    state.echo = std::max(state.echo, reply.stamp);
    TimePoint until = neverTime;
    if (reply.remaining > Duration::zero()) {
        // The lease starts at the send time: the leader confirmed its leadership after that, however long the reply took.
        until = sent->sentAt + reply.remaining;
        state.freshUntil = std::max(state.freshUntil, until);
    }
    outcome.ownPoolsLeaseStart = sent->sentAt;
    for (const PoolRenewal &pool : reply.pools) {
        if (pool.owner == state.self) {
            outcome.ownPools.push_back(pool);
        }
    }
    // Earlier requests that got no reply were merged into this one by an upstream relay.
    for (auto renewal = state.sent.begin(); renewal != std::next(sent); ++renewal) {
        for (const RenewRequest &request : renewal->downstream) {
            outcome.replies.emplace_back(request.self.instance, replyTo(request, reply, until, now));
        }
    }
    state.sent.erase(state.sent.begin(), std::next(sent));
    return outcome;
}

Confirm makeConfirm(const RenewalState &state, std::span<const FollowerEntry> followers)
{
    Confirm confirm;
    confirm.entries.push_back({state.self, state.incarnation, state.applied, state.echo});
    confirm.entries.insert(confirm.entries.end(), followers.begin(), followers.end());
    return confirm;
}

bool isFresh(const RenewalState &state, TimePoint now) noexcept
{
    return now < state.freshUntil;
}

} // namespace mimosahollow::membership
