#pragma once

#include "mimosahollow/membership/leasetime.h"
#include "mimosahollow/membership/renewal.h"

#include <deque>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace mimosahollow::membership {

/** A renewal request sent upstream that may still be answered. */
struct SentRenewal
{
    std::uint64_t sequence = 0;
    TimePoint sentAt{};
    std::vector<RenewRequest> downstream; /**< Requests of direct followers merged into it; the reply answers them too. */
};

/**
 * Lease renewals of one instance. A follower is treated as a relay without followers.
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

/** Result of a reply from upstream. */
struct RenewalOutcome
{
    std::vector<PoolRenewal> ownPools; /**< Renewed pool leases of this instance. */
    TimePoint ownPoolsLeaseStart = neverTime; /**< Start of the leases of ownPools, each valid for the pool lease time. */
    std::vector<std::pair<InstanceId, RenewReply>> replies; /**< Replies to forward to direct followers. */
};

/**
 * Interval between renewal requests: a tenth of the freshness time, at least 0.1 s and at most 1 s. For pool owners, and
 * for relays because they forward the requests of owners, it is at most 0.5 s.
 */
[[nodiscard]] Duration renewalInterval(Duration freshnessTime, bool ownsPoolsOrIsRelay) noexcept;

/** Builds the next request upstream. @p ownPools are the pools that this instance owns. */
[[nodiscard]] RenewRequest makeRenewRequest(RenewalState &state, std::span<const PoolRenewal> ownPools, TimePoint now);

/** Stores the request of a direct follower, to be merged into the next request upstream. */
void onDownstreamRequest(RenewalState &state, RenewRequest request);

/** Handles the reply of the upstream instance. */
[[nodiscard]] RenewalOutcome onRenewReply(RenewalState &state, const RenewReply &reply, TimePoint now);

/** Builds the confirmation to send upstream after this instance applied an index or a follower confirmed one. */
[[nodiscard]] Confirm makeConfirm(const RenewalState &state, std::span<const FollowerEntry> followers);

/** Whether the freshness lease is valid, so that the instance may serve routes that require an API key. */
[[nodiscard]] bool isFresh(const RenewalState &state, TimePoint now) noexcept;

} // namespace mimosahollow::membership
