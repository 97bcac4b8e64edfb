#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/membership/leasetime.h"
#include "mimosahollow/membership/renewal.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace mimosahollow::membership {

/**
 * A process of an instance that is registered in the control state.
 *
 * After a restart the previous incarnation stays registered until its freshness lease has certainly expired.
 */
struct RegisteredInstance
{
    InstanceId id{};
    std::string name;
    DomainId domain{};
    std::uint64_t incarnation = 0;
    Version registeredSince = 0; /**< Log index since which the instance is registered without interruption; kept when it restarts. */
    bool acceptsPools = true; /**< False during shutdown: no pools are assigned to it. */
};

/** Owner of a pool, or of the token bucket of a domain, in the control state. */
struct PoolAssignment
{
    PoolId pool{};
    DomainId domain{};
    InstanceId owner{}; /**< 0: none yet. */
    FencingNumber fencing = 0;
    Version index = 0; /**< Log index of the assignment. */
    std::uint64_t releasedByIncarnation = 0; /**< Incarnation of the owner that released the pool; 0: not released. */
};

struct LeaseTimes
{
    Duration freshness = seconds(10);
    Duration poolLease = seconds(3); /**< Also the time without bidirectional contact after which an instance counts as unreachable. */
    /** An instance that has not applied an index this long after its commit gets no lease, so that it cannot delay acknowledgements indefinitely. */
    Duration applyGracePeriod = seconds(1);
    /** Time for which an instance must be reachable after a failure before pools move to it; doubles with each further failure. */
    Duration stabilizationTime = seconds(60);
};

/** Freshness lease of a process and the log index that it is known to have applied. */
struct FreshnessLease
{
    Version confirmedIndex = 0;
    TimePoint mayServeUntil = neverTime;
};

/** Bidirectional contact between the leader and an instance. */
struct Reachability
{
    TimePoint lastEchoAt = neverTime; /**< Time of the newest stamp of this leader that the instance has echoed. */
    TimePoint reachableSince = neverTime;
    std::uint32_t failureCount = 0;
    bool reachable = false;
};

struct PoolLease
{
    TimePoint mayOwnUntil = neverTime; /**< After this time the lease from the leader has certainly expired. */
    Version ownerAppliedIndex = 0; /**< The owner has applied at least this log index, and so knows the instances registered by then. */
    FencingNumber fencing = 0;
    std::uint64_t incarnation = 0; /**< Incarnation of the owner to which the lease was last granted; 0: unknown. */
    TimePoint renewalDeadline = neverTime; /**< An owner that has not renewed by then is treated as not serving the pool, even if it is reachable. */
};

struct PendingRenewal
{
    RenewRequest request;
    std::string from; /**< Link peer to which the reply is sent. */
    TimePoint receivedAt{};
};

struct CommittedIndex
{
    Version index = 0;
    TimePoint committedAt{};
};

/** Leases granted by the control leader. Not persisted; a new leader starts from makeLeaderState(). */
struct LeaderState
{
    std::uint64_t term = 0;
    TimePoint leaderSince{};
    LeaseTimes times;
    Version requiredIndex = 0; /**< A process that has applied less gets no lease. */
    std::deque<CommittedIndex> notYetRequired; /**< Committed indexes that are still within the apply grace period. */
    std::vector<RegisteredInstance> registered;
    std::map<ProcessId, FreshnessLease> freshness;
    std::map<InstanceId, Reachability> reachability;
    std::map<PoolId, PoolLease> pools;
    std::vector<PendingRenewal> pendingRenewals;
};

struct OutgoingRenewReply
{
    std::string to;
    RenewReply reply;
};

/** Time within which an owner must renew; covers the delivery of a new assignment, which takes seconds at most. */
[[nodiscard]] Duration renewalTimeout(const LeaseTimes &times) noexcept;

/** State of a new leader. It assumes that every registered process and every pool owner holds a lease granted at @p now. */
[[nodiscard]] LeaderState makeLeaderState(std::uint64_t term,
                                          const LeaseTimes &times,
                                          Version commitIndex,
                                          std::span<const RegisteredInstance> registered,
                                          std::span<const PoolAssignment> pools,
                                          TimePoint now);

/** Must be called after each change of the registered instances, before that change is acknowledged. */
void setRegisteredInstances(LeaderState &state, std::span<const RegisteredInstance> registered);

/** Records the commit of @p index. */
void onCommitted(LeaderState &state, Version index, TimePoint now);

/** Queues a request until leadership is confirmed. Returns false if the queue is full. */
[[nodiscard]] bool onRenewRequest(LeaderState &state, std::string from, RenewRequest request, TimePoint now);

/**
 * Answers the requests that arrived no later than @p roundStartedAt. Call it once a majority has confirmed the
 * leadership in a message round that started at that time or later.
 */
[[nodiscard]] std::vector<OutgoingRenewReply>
answerRenewals(LeaderState &state, std::span<const PoolAssignment> pools, TimePoint roundStartedAt, TimePoint now);

/** Records applied log indexes; removes the freshness leases of instances that are leaving. */
void onConfirm(LeaderState &state, const Confirm &confirm);

/**
 * Whether every process has applied the committed @p index or has an expired freshness lease.
 *
 * If it returns true the index may be acknowledged, and from then on no process that has applied less gets a lease.
 */
[[nodiscard]] bool isInForce(LeaderState &state, Version index, TimePoint now);

/** Time at which isInForce() becomes true if no further confirmation arrives. */
[[nodiscard]] TimePoint inForceAt(const LeaderState &state, Version index, TimePoint now);

/** Marks instances without recent echoes as unreachable; call it at least every 500 ms. */
void updateReachability(LeaderState &state, TimePoint now);

[[nodiscard]] bool isReachable(const LeaderState &state, InstanceId instance) noexcept;

} // namespace mimosahollow::membership
