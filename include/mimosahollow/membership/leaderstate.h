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
 * A process of an instance in the control state.
 *
 * After a restart the list holds the earlier incarnation too, until its freshness lease has run out for certain.
 */
struct RegisteredInstance
{
    InstanceId id{};
    std::string name;
    DomainId domain{};
    std::uint64_t incarnation = 0;
    Version since = 0; /**< Log index from which on it is registered without a gap; a new incarnation does not change it. */
    bool acceptsPools = true; /**< False while it shuts down; it gets no pools. */
};

/** A pool or a domain's token bucket in the control state. */
struct PoolAssignment
{
    PoolId pool{};
    DomainId domain{};
    InstanceId owner{}; /**< 0: none yet. */
    FencingNumber fencing = 0;
    Version index = 0; /**< Log index of the assignment. */
    std::uint64_t releasedByIncarnation = 0; /**< Incarnation of the owner that has given the pool up; 0: not given up. */
};

struct LeaseTimes
{
    Duration freshness = seconds(10);
    Duration poolLease = seconds(3); /**< An instance without two-way contact for this long counts as lost. */
    /** An instance that lags more than this behind a committed index gets no lease, so that it delays no acknowledgement for ever. */
    Duration applyGracePeriod = seconds(1);
    /** An instance that was lost must be reachable this long before pools move to it; doubles with each further loss. */
    Duration stabilizationTime = seconds(60);
};

/** Until when a process may serve, and what it applies for certain. */
struct FreshnessLease
{
    Version confirmedIndex = 0;
    TimePoint mayServeUntil = neverTime;
};

/** Two-way contact between the leader and an instance. */
struct Reachability
{
    TimePoint lastEchoAt = neverTime; /**< Time of the newest own stamp that came back. */
    TimePoint reachableSince = neverTime;
    std::uint32_t failureCount = 0;
    bool reachable = false;
};

struct PoolLease
{
    TimePoint mayOwnUntil = neverTime; /**< The lease by the leader has run out for certain after this time. */
    Version ownerAppliedIndex = 0; /**< The owner's set of registered instances is at least as new as this log index. */
    FencingNumber fencing = 0;
    std::uint64_t incarnation = 0; /**< Process that the lease was given to last; 0: unknown. */
    TimePoint renewalDeadline = neverTime; /**< A reachable owner that has not renewed by then does not run the pool. */
};

struct PendingRenewal
{
    RenewRequest request;
    std::string from; /**< Link peer that gets the reply. */
    TimePoint receivedAt{};
};

struct CommittedIndex
{
    Version index = 0;
    TimePoint at{};
};

/** Leases that the control leader has given out. Volatile; a new leader starts from becomeLeader(). */
struct LeaderState
{
    std::uint64_t term = 0;
    TimePoint since{};
    LeaseTimes times;
    Version requiredIndex = 0; /**< A process that applies less gets no lease. */
    std::deque<CommittedIndex> notYetRequired; /**< Committed, not yet required. */
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

/** Time in which a reachable owner must renew: its first renewal needs the assignment to arrive, which takes seconds at most. */
[[nodiscard]] Duration renewalTimeout(const LeaseTimes &times) noexcept;

/** State of a new leader. All registered processes and pool owners count as having a lease that starts now. */
[[nodiscard]] LeaderState makeLeaderState(std::uint64_t term,
                                          const LeaseTimes &times,
                                          Version commitIndex,
                                          std::span<const RegisteredInstance> registered,
                                          std::span<const PoolAssignment> pools,
                                          TimePoint now);

/** Must be called with the registered instances after each change of them, before the change is acknowledged. */
void setRegisteredInstances(LeaderState &state, std::span<const RegisteredInstance> registered);

/** An index was committed. */
void onCommitted(LeaderState &state, Version index, TimePoint now);

/** Keeps a request until leadership is confirmed. Returns false when too many wait. */
[[nodiscard]] bool onRenewRequest(LeaderState &state, std::string from, RenewRequest request, TimePoint now);

/**
 * Answers the requests that arrived before @p roundStartedAt. Call it when a majority has confirmed the leadership in a
 * round of messages that was sent at that time or later.
 */
[[nodiscard]] std::vector<OutgoingRenewReply>
answerRenewals(LeaderState &state, std::span<const PoolAssignment> pools, TimePoint roundStartedAt, TimePoint now);

void onConfirm(LeaderState &state, const Confirm &confirm);

/**
 * Whether every process applies the committed @p index or has a freshness lease that has run out.
 *
 * When it returns true the index may be acknowledged: from then on no process that applies less gets a lease.
 */
[[nodiscard]] bool isInForce(LeaderState &state, Version index, TimePoint now);

/** When isInForce() becomes true without any further confirmation. */
[[nodiscard]] TimePoint inForceAt(const LeaderState &state, Version index, TimePoint now);

/** Updates losses; call it at least every 500 ms. */
void updateReachability(LeaderState &state, TimePoint now);

[[nodiscard]] bool isReachable(const LeaderState &state, InstanceId instance) noexcept;

} // namespace mimosahollow::membership
