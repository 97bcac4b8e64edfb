#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace mimosahollow::membership {

/** Timestamp of the control leader that instances echo to prove that its replies arrive. Opaque to all but that leader. */
struct LeaderStamp
{
    std::uint64_t term = 0;
    std::int64_t time = 0; /**< Clock of the leader in nanoseconds. */

    friend bool operator==(const LeaderStamp &, const LeaderStamp &) = default;
    friend bool operator<(const LeaderStamp &left, const LeaderStamp &right) noexcept
    {
        return std::tie(left.term, left.time) < std::tie(right.term, right.time);
    }
};

/** State that an instance reports to the control leader. */
struct FollowerEntry
{
    InstanceId instance{};
    std::uint64_t incarnation = 0;
    Version applied = 0; /**< Last log index that the instance has applied. */
    LeaderStamp echo; /**< Newest stamp received. */

    friend bool operator==(const FollowerEntry &, const FollowerEntry &) = default;
};

/** A pool lease: to be renewed in a request, renewed by the leader in a reply. */
struct PoolRenewal
{
    PoolId pool{};
    InstanceId owner{};
    FencingNumber fencing = 0;

    friend bool operator==(const PoolRenewal &, const PoolRenewal &) = default;
};

/** Requests freshness and pool leases; a relay merges the requests of its followers into its own. */
struct RenewRequest
{
    std::uint64_t sequence = 0; /**< Copied into the reply; the sender looks up its send time by it. */
    FollowerEntry self;
    std::vector<FollowerEntry> followers;
    std::vector<PoolRenewal> pools;

    friend bool operator==(const RenewRequest &, const RenewRequest &) = default;
};

/** One process of an instance, from start to exit. */
struct ProcessId
{
    InstanceId instance{};
    std::uint64_t incarnation = 0;

    friend bool operator==(const ProcessId &, const ProcessId &) = default;
    friend bool operator<(const ProcessId &left, const ProcessId &right) noexcept
    {
        return std::tie(left.instance, left.incarnation) < std::tie(right.instance, right.incarnation);
    }
};

/** Reply to a RenewRequest. A relay replies once it has the reply of its own upstream instance. */
struct RenewReply
{
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0; /**< Incarnation of the requester. */
    LeaderStamp stamp;
    Duration remaining{}; /**< Length of the freshness lease, from the requester's send time. Zero: not renewed. */
    std::vector<ProcessId> covered; /**< Followers of the requester to which the lease also applies. */
    std::vector<PoolRenewal> pools; /**< Renewed pool leases, each valid for the pool lease time from the owner's send time. */

    friend bool operator==(const RenewReply &, const RenewReply &) = default;
};

/** Reports applied log indexes between renewals. */
struct Confirm
{
    std::vector<FollowerEntry> entries;
    bool leaving = false; /**< The instances shut down and will not use their leases again. */

    friend bool operator==(const Confirm &, const Confirm &) = default;
};

} // namespace mimosahollow::membership
