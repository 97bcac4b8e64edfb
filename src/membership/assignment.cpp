#include "mimosahollow/membership/assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <tuple>

namespace mimosahollow::membership {

namespace {

/** An instance that was lost more often waits no longer than after this many losses: 60 s x 2^6 is about an hour. */
constexpr std::uint32_t maximumStabilizationDoublings = 6;
/** A pool moves for balance only when its owner has this many more pools than the new one, so that it cannot move back. */
constexpr std::size_t minimumImbalance = 2;

const RegisteredInstance *findRegistration(const LeaderState &state, InstanceId instance)
{
    const auto found = std::find_if(state.registered.begin(), state.registered.end(), [instance](const RegisteredInstance &registered) {
        return registered.id == instance;
    });
    return found == state.registered.end() ? nullptr : &*found;
}

bool isStable(const LeaderState &state, InstanceId instance, TimePoint now)
{
    const auto found = state.reachability.find(instance);
    if (found == state.reachability.end()) {
        return false;
    }
    const Reachability &reachability = found->second;
    if (reachability.failureCount == 0) {
        return true;
    }
    const std::uint32_t doublings = std::min(reachability.failureCount - 1, maximumStabilizationDoublings);
    return now - reachability.reachableSince >= state.times.stabilizationTime * (1U << doublings);
}

std::size_t poolsOf(std::span<const PoolAssignment> pools, InstanceId owner)
{
    return static_cast<std::size_t>(std::count_if(pools.begin(), pools.end(), [owner](const PoolAssignment &pool) {
        return pool.owner == owner && pool.releasedByIncarnation == 0;
    }));
}

bool isCandidate(const LeaderState &state, const RegisteredInstance &instance, DomainId domain)
{
    return instance.domain == domain && instance.acceptsPools && isReachable(state, instance.id);
}

/** Equal part of the pools of @p domain for each candidate, rounded up. */
std::size_t fairShare(const LeaderState &state, std::span<const PoolAssignment> pools, DomainId domain)
{
    std::set<InstanceId> candidates;
    for (const RegisteredInstance &instance : state.registered) {
        if (isCandidate(state, instance, domain)) {
            candidates.insert(instance.id);
        }
    }
    const auto count = static_cast<std::size_t>(std::count_if(pools.begin(), pools.end(), [domain](const PoolAssignment &pool) {
        return pool.domain == domain;
    }));
    return candidates.empty() ? count : (count + candidates.size() - 1) / candidates.size();
}

/**
 * Best instance for @p pool that @p isEligible accepts: settled ones first, then those below their equal part.
 *
 * The bound keeps a pool that was moved for balance from unbalancing its new owner, which would move pools without end.
 */
template<typename Eligible>
const RegisteredInstance *
bestCandidate(const LeaderState &state, const PoolAssignment &pool, std::span<const PoolAssignment> pools, TimePoint now, Eligible isEligible)
{
    const std::size_t fair = fairShare(state, pools, pool.domain);
    const RegisteredInstance *best = nullptr;
    std::tuple<bool, bool, std::uint64_t> bestRank;
    for (const RegisteredInstance &instance : state.registered) {
        if (!isCandidate(state, instance, pool.domain) || !isEligible(instance)) {
            continue;
        }
        const std::tuple<bool, bool, std::uint64_t> rank{isStable(state, instance.id, now),
                                                         poolsOf(pools, instance.id) < fair,
                                                         rendezvousWeight("pool " + std::to_string(number(pool.pool)), instance.name)};
        if (best == nullptr || rank > bestRank) {
            best = &instance;
            bestRank = rank;
        }
    }
    return best;
}

PoolLease leaseOf(const LeaderState &state, const PoolAssignment &pool)
{
    const auto found = state.pools.find(pool.pool);
    if (found == state.pools.end() || found->second.fencing != pool.fencing) {
        return {neverTime, pool.index, pool.fencing, 0, neverTime};
    }
    return found->second;
}

/** Starts the wait for the first renewal of assignments that are new. */
void startRenewalDeadlines(LeaderState &state, std::span<const PoolAssignment> pools, TimePoint now)
{
    for (const PoolAssignment &pool : pools) {
        PoolLease lease = leaseOf(state, pool);
        if (lease.renewalDeadline == neverTime) {
            lease.renewalDeadline = now + renewalTimeout(state.times);
            state.pools[pool.pool] = lease;
        }
    }
}

bool hasWorkingOwner(const LeaderState &state, const PoolAssignment &pool, TimePoint now)
{
    return pool.owner != InstanceId{} && pool.releasedByIncarnation == 0 && findRegistration(state, pool.owner) != nullptr && isReachable(state, pool.owner)
           && now < leaseOf(state, pool).renewalDeadline;
}

/** New owner for a pool without a working one; none while the old owner may still be valid. */
const RegisteredInstance *successor(const LeaderState &state, const PoolAssignment &pool, std::span<const PoolAssignment> pools, TimePoint now)
{
    if (pool.owner == InstanceId{}) {
        return bestCandidate(state, pool, pools, now, [](const RegisteredInstance &) {
            return true;
        });
    }
    const PoolLease lease = leaseOf(state, pool);
    const bool released = pool.releasedByIncarnation != 0;
    if (now < lease.mayOwnUntil && !(released && pool.releasedByIncarnation == lease.incarnation)) {
        return nullptr;
    }
    // The old owner may live on by the promises of the instances that it knows, so the new one must be among them.
    // An owner that was removed from the control state has ended.
    const bool anyCandidate = released || findRegistration(state, pool.owner) == nullptr;
    return bestCandidate(state, pool, pools, now, [&](const RegisteredInstance &instance) {
        return (anyCandidate || instance.registeredSince <= lease.ownerAppliedIndex) && (released || instance.id != pool.owner);
    });
}

/** Instance that should take @p pool over from its working owner; none as long as the owner is good enough. */
const RegisteredInstance *betterOwner(const LeaderState &state, const PoolAssignment &pool, std::span<const PoolAssignment> pools, TimePoint now)
{
    const RegisteredInstance *owner = findRegistration(state, pool.owner);
    const std::size_t owned = poolsOf(pools, pool.owner);
    return bestCandidate(state, pool, pools, now, [&](const RegisteredInstance &instance) {
        if (instance.id == pool.owner) {
            return false;
        }
        return !owner->acceptsPools || (isStable(state, instance.id, now) && owned >= poolsOf(pools, instance.id) + minimumImbalance);
    });
}

} // namespace

std::vector<PlannedAssignment> planAssignments(LeaderState &state, std::span<const PoolAssignment> pools, TimePoint now)
{
    startRenewalDeadlines(state, pools, now);
    std::vector<PlannedAssignment> planned;
    std::vector<PoolAssignment> next(pools.begin(), pools.end()); // with what is planned already
    std::set<DomainId> handoverDomains; // one graceful handover at a time in each failure domain
    for (PoolAssignment &pool : next) {
        if (!hasWorkingOwner(state, pool, now)) {
            if (const RegisteredInstance *owner = successor(state, pool, next, now)) {
                planned.push_back({AssignmentAction::Assign, pool.pool, owner->id, pool.fencing + 1});
                pool.owner = owner->id;
                pool.releasedByIncarnation = 0;
            }
        } else if (!handoverDomains.contains(pool.domain)) {
            if (const RegisteredInstance *owner = betterOwner(state, pool, next, now)) {
                planned.push_back({AssignmentAction::RequestRelease, pool.pool, owner->id, pool.fencing});
                handoverDomains.insert(pool.domain);
            }
        }
    }
    return planned;
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view instance) noexcept
{
    return XXH3_64bits_withSeed(instance.data(), instance.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace mimosahollow::membership
