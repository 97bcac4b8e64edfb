#pragma once

#include "mimosahollow/admission/quotaleases.h"

#include <optional>

namespace mimosahollow::admission {

/** A bucket owner without an answer for this time is taken for unreachable. */
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

/** Position of the current source of the home domain is 0 when it exists. */
[[nodiscard]] inline bool isHome(const QuotaLeases &leases, const LeaseSource &source) noexcept
{
    return source.domain == leases.home && !source.retired;
}

/** The lease of @p account, created when it is missing. */
Lease &leaseOf(LeaseSource &source, AccountId account);

/** Notes that the owner must be told about the account, at once or with the next tick. */
void queueChange(LeaseSource &source, AccountId account, Lease &lease, bool urgent = false);

/** Takes the cost from the leases; false when they hold too little. */
bool spend(QuotaLeases &leases, AccountId account, Tokens cost, TimePoint now);

/** Adds a call to the demand estimate. */
void countDemand(LeaseAccount &account, Tokens cost, TimePoint now);

/** Demand in tokens per second, decayed to @p now. */
[[nodiscard]] double demandAt(const LeaseAccount &account, TimePoint now);

/** Tokens to hold in @p source for the next few hundred milliseconds. */
[[nodiscard]] Tokens prefetchTarget(const QuotaLeases &leases, const LeaseSource &source, const LeaseAccount &account, TimePoint now);

/** Decides how much to ask of each source for the waiting calls, and lists what changed. */
void planRequests(QuotaLeases &leases, AccountId id, LeaseAccount &account, TimePoint now);

/** Shortest time in which @p needed tokens can come together; empty when a single @p cost cannot at all. */
[[nodiscard]] std::optional<Duration>
timeToReach(const QuotaLeases &leases, AccountId id, const LeaseAccount &account, Tokens cost, Tokens needed, TimePoint now);

/** Ends the session at this holder: its tokens are given up. */
void dropSession(LeaseSource &source);

/** Sends what is listed and due renewals; between ticks only where something is urgent. */
void flush(QuotaLeases &leases, TimePoint now, bool atTick, LeaseActions &out);

} // namespace mimosahollow::admission
