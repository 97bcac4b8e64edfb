#pragma once

#include "mimosahollow/membership/leaderstate.h"
#include "mimosahollow/membership/promise.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace mimosahollow::membership {

/** A promise of this instance to @c owner not to take a pool over. */
struct GivenPromise
{
    InstanceId owner{};
    std::uint64_t ownerIncarnation = 0;
    FencingNumber fencing = 0;
    TimePoint until{};
};

/** Ownership and promises of one pool of the failure domain, as known to this instance. */
struct PoolLeaseState
{
    InstanceId owner{};
    FencingNumber fencing = 0;
    TimePoint learnedAt = neverTime; /**< When this instance applied the assignment with this fencing number. */
    bool released = false; /**< No longer owned under this fencing number: released, refused by a peer, or removed from the control state. */
    bool activated = false; /**< This instance has started to act as the owner. */
    TimePoint activatedAt = neverTime;
    FencingNumber releasedFencing = 0; /**< Newest fencing number under which an owner announced the release of the pool. */
    bool renewedByLeader = false; /**< The leader has renewed the lease of this process under this fencing number at least once. */
    TimePoint leaderLeaseUntil = neverTime;
    std::map<InstanceId, TimePoint> peerPromiseUntil; /**< End of the promise of each peer to this instance as the owner. */
    std::vector<GivenPromise> givenPromises;
};

/** Pool leases of one instance, as an owner and as a peer of owners. Owned by the control thread. */
struct PoolHolder
{
    InstanceId self{};
    std::uint64_t incarnation = 0;
    Duration poolLease = seconds(3);
    TimePoint startedAt{}; /**< Start of the process. Promises given before a restart are lost, so it takes over no pools for one lease time. */
    std::vector<InstanceId> peers; /**< The other registered instances of the failure domain. */
    std::map<PoolId, PoolLeaseState> pools;
};

/** Applies the pool assignments and registered instances of a new control state. */
void applyControlState(
    PoolHolder &holder, DomainId domain, std::span<const RegisteredInstance> registered, std::span<const PoolAssignment> pools, TimePoint now);

/** Records that the leader renewed @p pools; the leases start at @p from. */
void onLeaderRenewal(PoolHolder &holder, std::span<const PoolRenewal> pools, TimePoint from);

/** Pools whose leases this instance asks the leader to renew. */
[[nodiscard]] std::vector<PoolRenewal> poolsToRenew(const PoolHolder &holder);

/** Promise request to all peers for the pools whose renewal by the leader is overdue; nothing if none is. */
[[nodiscard]] std::optional<Promise> promiseRequest(const PoolHolder &holder, TimePoint now);

/** Answers the promise request of an owner with Given, Refused or both. */
[[nodiscard]] std::vector<Promise> onPromiseRequest(PoolHolder &holder, const Promise &request, TimePoint now);

/** Handles Given, Refused and Released. */
void onPromise(PoolHolder &holder, const Promise &promise, TimePoint now);

/** Activates the pools that this instance may now own and returns them. Call it every 100 ms and after each event. */
[[nodiscard]] std::vector<PoolFence> activatePools(PoolHolder &holder, TimePoint now);

/** Whether this instance owns @p pool at @p now. Check it before each grant and order. */
[[nodiscard]] bool ownsPool(const PoolHolder &holder, PoolId pool, TimePoint now) noexcept;

/** Time until which ownsPool() stays true if no further message arrives; neverTime if it is false. */
[[nodiscard]] TimePoint ownedUntil(const PoolHolder &holder, PoolId pool, TimePoint now) noexcept;

/** Releases @p pool for a graceful handover. Returns the message to send to all peers; nothing if the pool is not owned. */
[[nodiscard]] std::optional<Promise> releasePool(PoolHolder &holder, PoolId pool);

/**
 * Earliest time at which the owner may send its first order to a server.
 *
 * If the server ignores fencing numbers and the previous owner has not announced the release of the pool, this is
 * @p maximumOrderLifetime after the activation: an order of the previous owner may be in flight for that long after its
 * lease has expired. TimePoint::max() if the pool is not active.
 */
[[nodiscard]] TimePoint firstOrderAt(const PoolHolder &holder, PoolId pool, bool serverChecksFencing, Duration maximumOrderLifetime) noexcept;

} // namespace mimosahollow::membership
