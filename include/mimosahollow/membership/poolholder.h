#pragma once

#include "mimosahollow/membership/leaderstate.h"
#include "mimosahollow/membership/promise.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace mimosahollow::membership {

/** A promise of this instance not to accept a pool. */
struct GivenPromise
{
    InstanceId owner{};
    std::uint64_t ownerIncarnation = 0;
    FencingNumber fencing = 0;
    TimePoint until{};
};

/** What an instance knows and has promised about one pool of its failure domain. */
struct PoolLeaseState
{
    InstanceId owner{};
    FencingNumber fencing = 0;
    TimePoint learnedAt = neverTime;
    bool released = false; /**< This instance was the owner and has given the pool up. */
    bool activated = false; /**< This instance has started as the owner. */
    TimePoint activatedAt = neverTime;
    FencingNumber releasedFencing = 0; /**< Newest number under which an owner has said that it gave the pool up. */
    bool renewedByLeader = false; /**< The leader has renewed this fencing number for this process. */
    TimePoint leaderLeaseUntil = neverTime;
    std::map<InstanceId, TimePoint> peerPromiseUntil; /**< Promises of others to this owner. */
    std::vector<GivenPromise> givenPromises;
};

/** Pool leases of one instance, in every role. Owned by the control thread. */
struct PoolHolder
{
    InstanceId self{};
    std::uint64_t incarnation = 0;
    Duration poolLease = seconds(3);
    TimePoint startedAt{}; /**< Start of the process. Promises before a restart are unknown, so it accepts nothing for one lease. */
    std::vector<InstanceId> peers; /**< The other registered instances of the failure domain. */
    std::map<PoolId, PoolLeaseState> pools;
};

/** Takes over the assignments and registered instances of the control state that this instance applies. */
void applyControlState(
    PoolHolder &holder, DomainId domain, std::span<const RegisteredInstance> registered, std::span<const PoolAssignment> pools, TimePoint now);

/** The leader has renewed @p pools; the leases run from @p from. */
void onLeaderRenewal(PoolHolder &holder, std::span<const PoolRenewal> pools, TimePoint from);

/** Pools that this instance asks the leader to renew. */
[[nodiscard]] std::vector<PoolRenewal> poolsToRenew(const PoolHolder &holder);

/** A request to every peer for the pools that the leader has not renewed for a while; nothing while renewals arrive. */
[[nodiscard]] std::optional<Promise> promiseRequest(const PoolHolder &holder, TimePoint now);

/** Answers the request of an owner with Given, Refused or both. */
[[nodiscard]] std::vector<Promise> onPromiseRequest(PoolHolder &holder, const Promise &request, TimePoint now);

/** Handles Given, Refused and Released. */
void onPromise(PoolHolder &holder, const Promise &promise, TimePoint now);

/** Starts the pools whose conditions are met. Returns the pools started now. Call it every 100 ms and after each event. */
[[nodiscard]] std::vector<PoolFence> activatePools(PoolHolder &holder, TimePoint now);

/** Whether this instance is the owner of @p pool at @p now. Check it before each grant and order. */
[[nodiscard]] bool ownsPool(const PoolHolder &holder, PoolId pool, TimePoint now) noexcept;

/** Time until which ownsPool() stays true without a further message; neverTime when it is false. */
[[nodiscard]] TimePoint ownedUntil(const PoolHolder &holder, PoolId pool, TimePoint now) noexcept;

/** Gives @p pool up for a graceful handover. The answer goes to every peer. */
[[nodiscard]] std::optional<Promise> releasePool(PoolHolder &holder, PoolId pool);

/**
 * When the owner may give its first order to a server that ignores fencing numbers.
 *
 * An order of the old owner may be in flight for @p longestOrder after its lease has run out.
 */
[[nodiscard]] TimePoint firstOrderAt(const PoolHolder &holder, PoolId pool, bool serverChecksFencing, Duration maximumOrderLifetime) noexcept;

} // namespace mimosahollow::membership
