#include "mimosahollow/membership/assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <tuple>

namespace mimosahollow::membership {

namespace {

/** Caps the exponential backoff of the stabilization time: 60 s x 2^6 is about an hour. */
constexpr std::uint32_t maximumStabilizationDoublings = 6;
/** Rebalancing moves a pool only if its owner has at least this many more pools than the new one; otherwise it could move back. */
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

/** Number of pools of @p domain per candidate, rounded up. */
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
 * Best eligible instance for @p pool. Prefers stable instances, then those below their fair share, then the highest
 * rendezvous weight.
 *
 * Without the fair share, a pool that is moved for balance could overload its new owner, and pools would move forever.
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

/** Sets the deadline for the first renewal of each new assignment. */
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

/** New owner for a pool without a working owner; null while the lease of the previous owner may still be valid. */
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
    // The previous owner may extend its lease by the promises of all peers that it knows. The new owner must be one of
    // these peers, because its own promise then keeps it from taking over too early. An owner that was removed from the
    // control state has terminated, so any instance may follow it.
    const bool anyCandidate = released || findRegistration(state, pool.owner) == nullptr;
    return bestCandidate(state, pool, pools, now, [&](const RegisteredInstance &instance) {
        return (anyCandidate || instance.registeredSince <= lease.ownerAppliedIndex) && (released || instance.id != pool.owner);
    });
}

/** Instance to which the working owner of @p pool should hand it over; null if the pool should stay. */
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
    std::vector<PoolAssignment> next(pools.begin(), pools.end()); // includes the assignments planned so far
    std::set<DomainId> handoverDomains; // limits each failure domain to one graceful handover at a time
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
