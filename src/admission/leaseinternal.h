#pragma once

#include "mimosahollow/admission/quotaleases.h"

#include <optional>

namespace mimosahollow::admission {

/** A bucket owner that does not answer within this time counts as unreachable. */
inline constexpr Duration unreachableAfter = milliseconds(1000);

[[nodiscard]] inline Tokens availableIn(const Lease &lease) noexcept
{
    return lease.granted - lease.use.spent - lease.use.returned;
}

[[nodiscard]] inline bool spendable(const LeaseSource &source, TimePoint now) noexcept
{
    return source.session != 0 && now < source.expiresAt;
}

[[nodiscard]] inline bool isUnreachable(const LeaseSource &source, TimePoint now) noexcept
{
    return source.awaitingAnswer && now - source.unansweredSince > unreachableAfter;
}

/** True for the current owner of the home domain, which is at position 0 of the sources if it is known. */
[[nodiscard]] inline bool isHome(const QuotaLeases &leases, const LeaseSource &source) noexcept
{
    return source.domain == leases.home && !source.retired;
}

/** Returns the lease of @p account, creating it if needed. */
Lease &leaseOf(LeaseSource &source, AccountId account);

/** Queues the account for the next message to the owner, which is sent at the next tick or, if @p urgent, before it. */
void queueChange(LeaseSource &source, AccountId account, Lease &lease, bool urgent = false);

/** Spends the cost from the leases. Returns false when they hold too few tokens. */
bool spend(QuotaLeases &leases, AccountId account, Tokens cost, TimePoint now);

/** Adds a call to the demand estimate. */
void countDemand(LeaseAccount &account, Tokens cost, TimePoint now);

/** Demand in tokens per second, decayed to @p now. */
[[nodiscard]] double demandAt(const LeaseAccount &account, TimePoint now);

/** Tokens to prefetch from @p source for the calls of the next few hundred milliseconds. */
[[nodiscard]] Tokens prefetchTarget(const QuotaLeases &leases, const LeaseSource &source, const LeaseAccount &account, TimePoint now);

/** Computes how much to request from each source for the waiting calls, and queues the changes. */
void planRequests(QuotaLeases &leases, AccountId id, LeaseAccount &account, TimePoint now);

/** Shortest time until @p needed tokens can be available; empty when they, or @p cost alone, are out of reach. */
[[nodiscard]] std::optional<Duration>
timeToReach(const QuotaLeases &leases, AccountId id, const LeaseAccount &account, Tokens cost, Tokens needed, TimePoint now);

/** Drops the session of this holder together with its tokens. */
void dropSession(LeaseSource &source);

/** Sends queued changes and due renewals; between ticks only to owners with an urgent change. */
void flush(QuotaLeases &leases, TimePoint now, bool atTick, LeaseActions &out);

} // namespace mimosahollow::admission
