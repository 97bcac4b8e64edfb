#include "mimosahollow/membership/renewalstate.h"

#include <algorithm>

namespace mimosahollow::membership {

namespace {

/** A follower that is silent for this long is no longer reported upstream: four renewal intervals of 0.5 s. */
constexpr Duration downstreamTimeout = seconds(2);
/** Replies later than this many requests are useless, because the leases they renew have been renewed since. */
constexpr std::size_t maximumSentRenewals = 32;
constexpr Duration shortestRenewalInterval = milliseconds(100);
/** Pool leases need a renewal every 500 ms. */
constexpr Duration longestRenewalInterval = milliseconds(500);
constexpr int renewalsInFreshnessTime = 10;

ProcessId processOf(const FollowerEntry &entry)
{
    return {entry.instance, entry.incarnation};
}

bool contains(const std::vector<ProcessId> &processes, const ProcessId &process)
{
    return std::find(processes.begin(), processes.end(), process) != processes.end();
}

bool comesThrough(const RenewRequest &request, InstanceId instance)
{
    return request.self.instance == instance || std::any_of(request.followers.begin(), request.followers.end(), [instance](const FollowerEntry &entry) {
               return entry.instance == instance;
           });
}

RenewReply replyTo(const RenewalState &state, const RenewRequest &request, const RenewReply &upstream, TimePoint now)
{
    RenewReply reply;
    reply.sequence = request.sequence;
    reply.incarnation = request.self.incarnation;
    reply.stamp = upstream.stamp;
    if (now < state.coveredUntil && contains(state.covered, processOf(request.self))) {
        reply.remaining = state.coveredUntil - now;
        for (const FollowerEntry &entry : request.followers) {
            if (contains(state.covered, processOf(entry))) {
                reply.covered.push_back(processOf(entry));
            }
        }
    }
    for (const PoolRenewal &pool : upstream.pools) {
        if (comesThrough(request, pool.owner)) {
            reply.pools.push_back(pool);
        }
    }
    return reply;
}

} // namespace

Duration renewalInterval(Duration freshnessTime) noexcept
{
    return std::clamp<Duration>(freshnessTime / renewalsInFreshnessTime, shortestRenewalInterval, longestRenewalInterval);
}

RenewRequest makeRenewRequest(RenewalState &state, std::span<const PoolRenewal> ownPools, TimePoint now)
{
    std::erase_if(state.downstream, [now](const auto &item) {
        return now - item.second.heardAt >= downstreamTimeout;
    });
    RenewRequest request;
    request.sequence = state.nextSequence++;
    request.self = {state.self, state.incarnation, state.applied, state.echo};
    request.pools.assign(ownPools.begin(), ownPools.end());
    SentRenewal sent{request.sequence, now, {}};
    for (const auto &[instance, downstream] : state.downstream) {
        const RenewRequest &theirs = downstream.request;
        request.followers.push_back(theirs.self);
        request.followers.insert(request.followers.end(), theirs.followers.begin(), theirs.followers.end());
        request.pools.insert(request.pools.end(), theirs.pools.begin(), theirs.pools.end());
        sent.downstream.push_back(theirs);
    }
    state.sent.push_back(std::move(sent));
    if (state.sent.size() > maximumSentRenewals) {
        state.sent.pop_front();
    }
    return request;
}

void onDownstreamRequest(RenewalState &state, const RenewRequest &request, TimePoint now)
{
    if (request.self.instance == state.self) {
        return;
    }
    Downstream &downstream = state.downstream[request.self.instance];
    const bool known = downstream.request.self.instance == request.self.instance;
    const ProcessId old = processOf(downstream.request.self);
    const bool outdated =
        known && (request.self.incarnation < old.incarnation || (processOf(request.self) == old && request.sequence <= downstream.request.sequence));
    if (!outdated) {
        downstream = {request, now};
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
    if (reply.remaining > Duration::zero()) {
        // The lease runs from the send time: the leader was certainly still the leader then, whatever the way back took.
        const TimePoint until = sent->sentAt + reply.remaining;
        state.freshUntil = std::max(state.freshUntil, until);
        if (until > state.coveredUntil) {
            state.covered = reply.covered;
            state.coveredUntil = until;
        }
    }
    outcome.ownPoolsFrom = sent->sentAt;
    for (const PoolRenewal &pool : reply.pools) {
        if (pool.owner == state.self) {
            outcome.ownPools.push_back(pool);
        }
    }
    for (const RenewRequest &request : sent->downstream) {
        outcome.replies.emplace_back(request.self.instance, replyTo(state, request, reply, now));
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
