#pragma once

#include "mimosahollow/membership/leasetime.h"
#include "mimosahollow/membership/renewal.h"

#include <deque>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace mimosahollow::membership {

/** A request that the instance sent upstream and whose reply may still come. */
struct SentRenewal
{
    std::uint64_t sequence = 0;
    TimePoint sentAt{};
    std::vector<RenewRequest> downstream; /**< Requests of direct followers that it contains; the reply answers them too. */
};

/**
 * Renewals of one instance, follower or relay. A follower is a relay without followers of its own.
 *
 * Owned by the control thread.
 */
struct RenewalState
{
    InstanceId self{};
    std::uint64_t incarnation = 0;
    Version applied = 0;
    LeaderStamp echo;
    std::uint64_t nextSequence = 1;
    std::deque<SentRenewal> sent;
    TimePoint freshUntil = neverTime;
    std::map<InstanceId, RenewRequest> downstream; /**< Newest request of each direct follower since the last request upstream. */
};

/** What a reply from upstream leads to. */
struct RenewalOutcome
{
    std::vector<PoolRenewal> ownPools; /**< Renewed leases of this instance. */
    TimePoint ownPoolsLeaseStart = neverTime; /**< The leases run from here for the pool lease time. */
    std::vector<std::pair<InstanceId, RenewReply>> replies; /**< To direct followers. */
};

/**
 * Time between two renewal requests of an instance: a tenth of the freshness time, but at least 0.1 s and at most 1 s.
 * Pool owners and relays, which carry the requests of owners, ask at least every 0.5 s.
 */
[[nodiscard]] Duration renewalInterval(Duration freshnessTime, bool ownsPoolsOrIsRelay) noexcept;

/** Builds the next request upstream. @p ownPools are the pools that this instance owns. */
[[nodiscard]] RenewRequest makeRenewRequest(RenewalState &state, std::span<const PoolRenewal> ownPools, TimePoint now);

/** Keeps the request of a direct follower for the next request upstream, whose reply answers it. */
void onDownstreamRequest(RenewalState &state, RenewRequest request);

/** Handles the reply of the upstream instance. */
[[nodiscard]] RenewalOutcome onRenewReply(RenewalState &state, const RenewReply &reply, TimePoint now);

/** Collects what a relay passes upstream after an index was applied here or a follower confirmed one. */
[[nodiscard]] Confirm makeConfirm(const RenewalState &state, std::span<const FollowerEntry> followers);

/** Whether the instance may serve routes that need a key. */
[[nodiscard]] bool isFresh(const RenewalState &state, TimePoint now) noexcept;

} // namespace mimosahollow::membership
