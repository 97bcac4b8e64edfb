#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace mimosahollow::membership {

/** Time of the control leader that instances send back as proof that its replies arrive. Only that leader interprets it. */
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

/** State of one instance as it reports it to the control leader. */
struct FollowerEntry
{
    InstanceId instance{};
    std::uint64_t incarnation = 0;
    Version applied = 0; /**< Log index up to which the instance applies the configuration. */
    LeaderStamp echo; /**< Newest stamp that has arrived. */

    friend bool operator==(const FollowerEntry &, const FollowerEntry &) = default;
};

/** A pool lease that its owner wants to renew, or that the leader has renewed. */
struct PoolRenewal
{
    PoolId pool{};
    InstanceId owner{};
    FencingNumber fencing = 0;

    friend bool operator==(const PoolRenewal &, const PoolRenewal &) = default;
};

/** Asks for freshness and pool leases; a relay adds what its followers asked for. */
struct RenewRequest
{
    std::uint64_t sequence = 0; /**< The sender remembers the send time of each sequence number. */
    FollowerEntry self;
    std::vector<FollowerEntry> followers;
    std::vector<PoolRenewal> pools;

    friend bool operator==(const RenewRequest &, const RenewRequest &) = default;
};

/** One run of an instance. */
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

/** Answer to one RenewRequest. A relay answers when it has the answer of its own upstream instance. */
struct RenewReply
{
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0; /**< Incarnation of the requester. */
    LeaderStamp stamp;
    Duration remaining{}; /**< Freshness lease, from the requester's send time. Zero: not renewed. */
    std::vector<ProcessId> covered; /**< Followers of the requester that the lease may be passed on to. */
    std::vector<PoolRenewal> pools; /**< Renewed pool leases; they run from the owner's send time for the pool lease time. */

    friend bool operator==(const RenewReply &, const RenewReply &) = default;
};

/** Reports applied log indexes without waiting for the next renewal. */
struct Confirm
{
    std::vector<FollowerEntry> entries;
    bool leaving = false; /**< The instances stop and will not use their leases again. */

    friend bool operator==(const Confirm &, const Confirm &) = default;
};

} // namespace mimosahollow::membership
