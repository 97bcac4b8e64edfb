#include "mimosahollow/membership/poolholder.h"

#include <algorithm>
#include <array>

namespace mimosahollow::membership {

namespace {

/** Promises are requested after a third of the pool lease without a renewal by the leader; two renewals are missing by then. */
constexpr int renewalGapDivisor = 3;
/** Bounds the entries that peers can create. A failure domain has one pool for each base model, plain service and bucket. */
constexpr std::size_t maximumTrackedPools = 1024;

bool hasGivenPromise(const PoolLeaseState &pool, TimePoint now) noexcept
{
    return std::any_of(pool.givenPromises.begin(), pool.givenPromises.end(), [now](const GivenPromise &promise) {
        return now < promise.until;
    });
}

/** End of the lease that rests on promises: the earliest end, because every peer must have promised. */
TimePoint promiseLeaseUntil(const PoolHolder &holder, const PoolLeaseState &pool) noexcept
{
    TimePoint until = TimePoint::max();
    for (const InstanceId peer : holder.peers) {
        const auto found = pool.peerPromiseUntil.find(peer);
        until = std::min(until, found == pool.peerPromiseUntil.end() ? neverTime : found->second);
    }
    return until;
}

/**
 * End of the lease from the leader or from the promises of the peers. Promises count only after the leader has renewed the lease of
 * this process, because the leader then knows which peers this process knows.
 */
TimePoint leaseUntil(const PoolHolder &holder, const PoolLeaseState &pool) noexcept
{
    return pool.renewedByLeader ? std::max(pool.leaderLeaseUntil, promiseLeaseUntil(holder, pool)) : neverTime;
}

/**
 * Whether a promise that this instance gave before a restart, and no longer knows, may still be valid.
 *
 * A forgotten promise to an owner under a newer fencing number is harmless, because the leader no longer renews the lease of this
 * instance under the older number. Under fencing number 1 there was no previous owner.
 */
bool mayHaveForgottenPromise(const PoolHolder &holder, const PoolLeaseState &pool, TimePoint now) noexcept
{
    return pool.fencing > 1 && now < holder.startedAt + granterLeaseDuration(holder.poolLease);
}

bool mayOwn(const PoolHolder &holder, const PoolLeaseState &pool, TimePoint now) noexcept
{
    return pool.owner == holder.self && !pool.released && now < leaseUntil(holder, pool) && !hasGivenPromise(pool, now);
}

PoolLeaseState *find(PoolHolder &holder, const PoolFence &fence)
{
    const auto found = holder.pools.find(fence.pool);
    return found == holder.pools.end() || found->second.fencing != fence.fencing ? nullptr : &found->second;
}

const PoolLeaseState *find(const PoolHolder &holder, PoolId pool) noexcept
{
    const auto found = holder.pools.find(pool);
    return found == holder.pools.end() ? nullptr : &found->second;
}

void applyAssignment(PoolHolder &holder, const PoolAssignment &assignment, TimePoint now)
{
    PoolLeaseState &pool = holder.pools[assignment.pool];
    if (assignment.fencing > pool.fencing) {
        PoolLeaseState next;
        next.owner = assignment.owner;
        next.fencing = assignment.fencing;
        next.learnedAt = now;
        next.releasedFencing = pool.releasedFencing;
        next.givenPromises = std::move(pool.givenPromises);
        pool = std::move(next);
    }
    if (assignment.fencing == pool.fencing && assignment.releasedByIncarnation != 0) {
        pool.released = true;
    }
}

void receivePromise(PoolHolder &holder, const Promise &promise, TimePoint now)
{
    const TimePoint sentAt = fromNanoseconds(promise.ownerTime);
    if (promise.owner != holder.self || promise.ownerIncarnation != holder.incarnation || sentAt > now) {
        return;
    }
    for (const PoolFence &fence : promise.pools) {
        if (PoolLeaseState *pool = find(holder, fence)) {
            // Measured from the send time of the request. The peer starts its promise later, so the promise ends later.
            TimePoint &until = pool->peerPromiseUntil.try_emplace(promise.from, neverTime).first->second;
            until = std::max(until, sentAt + holder.poolLease);
        }
    }
}

void receiveRefusal(PoolHolder &holder, const Promise &promise)
{
    for (const PoolFence &fence : promise.pools) {
        const auto found = holder.pools.find(fence.pool);
        if (promise.owner == holder.self && found != holder.pools.end() && found->second.fencing < fence.fencing) {
            found->second.released = true;
        }
    }
}

void receiveRelease(PoolHolder &holder, const Promise &promise)
{
    for (const PoolFence &fence : promise.pools) {
        const auto found = holder.pools.find(fence.pool);
        if (found == holder.pools.end()) {
            continue;
        }
        PoolLeaseState &pool = found->second;
        std::erase_if(pool.givenPromises, [&](const GivenPromise &given) {
            return given.owner == promise.from && given.ownerIncarnation == promise.ownerIncarnation && given.fencing == fence.fencing;
        });
        pool.releasedFencing = std::max(pool.releasedFencing, fence.fencing);
    }
}

bool hasRoomFor(const PoolHolder &holder, PoolId pool)
{
    return holder.pools.contains(pool) || holder.pools.size() < maximumTrackedPools;
}

void givePromise(PoolLeaseState &pool, const Promise &request, const PoolFence &fence, TimePoint until, TimePoint now)
{
    std::erase_if(pool.givenPromises, [&](const GivenPromise &given) {
        return now >= given.until || (given.owner == request.from && given.ownerIncarnation == request.ownerIncarnation && given.fencing == fence.fencing);
    });
    pool.givenPromises.push_back({request.from, request.ownerIncarnation, fence.fencing, until});
}

} // namespace

void applyControlState(
    PoolHolder &holder, DomainId domain, std::span<const RegisteredInstance> registered, std::span<const PoolAssignment> pools, TimePoint now)
{
    holder.peers.clear();
    for (const RegisteredInstance &instance : registered) {
        const bool known = std::find(holder.peers.begin(), holder.peers.end(), instance.id) != holder.peers.end();
        if (instance.domain == domain && instance.id != holder.self && !known) {
            holder.peers.push_back(instance.id);
        }
    }
    for (const PoolAssignment &assignment : pools) {
        if (assignment.domain == domain) {
            applyAssignment(holder, assignment, now);
        }
    }
    for (auto &[id, pool] : holder.pools) {
        const bool exists = std::any_of(pools.begin(), pools.end(), [id = id](const PoolAssignment &assignment) {
            return assignment.pool == id;
        });
        if (!exists) {
            pool.released = true;
        }
    }
}

void onLeaderRenewal(PoolHolder &holder, std::span<const PoolRenewal> pools, TimePoint from)
{
    for (const PoolRenewal &renewal : pools) {
        PoolLeaseState *pool = find(holder, {renewal.pool, renewal.fencing});
        if (pool != nullptr && pool->owner == holder.self && renewal.owner == holder.self) {
            pool->renewedByLeader = true;
            pool->leaderLeaseUntil = std::max(pool->leaderLeaseUntil, from + holder.poolLease);
        }
    }
}

std::vector<PoolRenewal> poolsToRenew(const PoolHolder &holder)
{
    std::vector<PoolRenewal> renewals;
    for (const auto &[id, pool] : holder.pools) {
        if (pool.owner == holder.self && !pool.released) {
            renewals.push_back({id, holder.self, pool.fencing});
        }
    }
    return renewals;
}

std::optional<Promise> promiseRequest(const PoolHolder &holder, TimePoint now)
{
    if (holder.peers.empty()) {
        return std::nullopt;
    }
    Promise request{PromiseKind::Request, holder.self, holder.self, holder.incarnation, toNanoseconds(now), {}};
    for (const auto &[id, pool] : holder.pools) {
        const bool renewalOverdue = pool.renewedByLeader && now >= pool.leaderLeaseUntil - holder.poolLease + holder.poolLease / renewalGapDivisor;
        if (pool.owner == holder.self && pool.activated && !pool.released && renewalOverdue) {
            request.pools.push_back({id, pool.fencing});
        }
    }
    return request.pools.empty() ? std::nullopt : std::optional(std::move(request));
}

std::vector<Promise> onPromiseRequest(PoolHolder &holder, const Promise &request, TimePoint now)
{
    Promise given{PromiseKind::Given, holder.self, request.from, request.ownerIncarnation, request.ownerTime, {}};
    Promise refused = given;
    refused.kind = PromiseKind::Refused;
    const TimePoint until = now + granterLeaseDuration(holder.poolLease);
    for (const PoolFence &fence : request.pools) {
        if (!hasRoomFor(holder, fence.pool)) {
            continue;
        }
        PoolLeaseState &pool = holder.pools[fence.pool];
        const bool own = pool.owner == holder.self && pool.fencing == fence.fencing;
        if (pool.fencing > fence.fencing || own) {
            refused.pools.push_back({fence.pool, pool.fencing});
        } else {
            givePromise(pool, request, fence, until, now);
            given.pools.push_back(fence);
        }
    }
    std::vector<Promise> answers;
    for (Promise &answer : std::array{std::move(given), std::move(refused)}) {
        if (!answer.pools.empty()) {
            answers.push_back(std::move(answer));
        }
    }
    return answers;
}

void onPromise(PoolHolder &holder, const Promise &promise, TimePoint now)
{
    switch (promise.kind) {
    case PromiseKind::Given:
        receivePromise(holder, promise, now);
        break;
    case PromiseKind::Refused:
        receiveRefusal(holder, promise);
        break;
    case PromiseKind::Released:
        receiveRelease(holder, promise);
        break;
    case PromiseKind::Request:
        break;
    }
}

std::vector<PoolFence> activatePools(PoolHolder &holder, TimePoint now)
{
    std::vector<PoolFence> newlyActive;
    for (auto &[id, pool] : holder.pools) {
        if (!pool.activated && !mayHaveForgottenPromise(holder, pool, now) && mayOwn(holder, pool, now)) {
            pool.activated = true;
            pool.activatedAt = now;
            newlyActive.push_back({id, pool.fencing});
        }
    }
    return newlyActive;
}

bool ownsPool(const PoolHolder &holder, PoolId pool, TimePoint now) noexcept
{
    const PoolLeaseState *held = find(holder, pool);
    return held != nullptr && held->activated && mayOwn(holder, *held, now);
}

TimePoint ownedUntil(const PoolHolder &holder, PoolId pool, TimePoint now) noexcept
{
    return ownsPool(holder, pool, now) ? leaseUntil(holder, *find(holder, pool)) : neverTime;
}

std::optional<Promise> releasePool(PoolHolder &holder, PoolId pool)
{
    const auto found = holder.pools.find(pool);
    if (found == holder.pools.end() || found->second.owner != holder.self || found->second.released) {
        return std::nullopt;
    }
    found->second.released = true;
    return Promise{PromiseKind::Released, holder.self, holder.self, holder.incarnation, 0, {{pool, found->second.fencing}}};
}

TimePoint firstOrderAt(const PoolHolder &holder, PoolId pool, bool serverChecksFencing, Duration maximumOrderLifetime) noexcept
{
    const PoolLeaseState *held = find(holder, pool);
    if (held == nullptr || !held->activated) {
        return TimePoint::max();
    }
    // Assumes that the fencing numbers of a pool increase by one: a release under the preceding number is then that of the previous owner.
    const bool noOldOrders = held->fencing == 1 || held->releasedFencing + 1 == held->fencing;
    return serverChecksFencing || noOldOrders ? held->activatedAt : held->activatedAt + maximumOrderLifetime;
}

} // namespace mimosahollow::membership
