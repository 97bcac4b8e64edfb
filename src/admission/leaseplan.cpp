#include "leaseinternal.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mimosahollow::admission {

namespace {

// Time constant of the demand estimate: long enough to smooth single calls, short enough to follow traffic that shifts to other
// instances.
constexpr double demandSeconds = 0.3;

// Demand of this time is prefetched: a few request intervals and round trips, and far less than the lease duration, since a crash
// loses the tokens held.
constexpr double prefetchSeconds = 0.4;

// One instance prefetches at most this part of a bucket, so that tokens remain for the other instances.
constexpr double prefetchPart = 0.5;

// For this time after a call, a call of the same cost is expected and its cost is prefetched. Longer times hold more tokens idle;
// shorter ones make infrequent calls wait for a round trip.
constexpr Duration sparseCallTime = seconds(2);

// Part of a bucket that one instance may hold for infrequent calls; 16 is about the planned number of instances of a failure domain.
constexpr double sparsePart = 1.0 / 16;

// Width of the first age class of waiting calls. Each class is twice as wide as the previous one, so that priorities change rarely.
constexpr Duration ageClass = milliseconds(50);

// When the home bucket has not answered for this time, requests to other failure domains no longer wait for it.
constexpr Duration homeAnswerTimeout = milliseconds(20);

// Minimum interval between requests for one account to a bucket owner that is short of tokens; it serves the known needs meanwhile.
constexpr Duration shortageRequestInterval = milliseconds(100);

// The same for other failure domains, which only supplement the home bucket.
constexpr Duration remoteRequestInterval = milliseconds(300);

// Tokens are requested from another failure domain if it can grant at least this part of the missing ones. Smaller amounts arrive through
// transfers between buckets, with fewer messages.
constexpr double minimumUsefulPart = 0.5;

// After half of the time between the arrival and the deadline of a call, any amount is requested, but from at most this many failure domains
// at once.
constexpr std::size_t maximumUrgentDomains = 6;

std::uint64_t ageClassOf(const WaitingCall &call, TimePoint now)
{
    const auto age = std::max<Duration::rep>(0, (now - call.since) / ageClass);
    return static_cast<std::uint64_t>(std::bit_width(static_cast<std::uint64_t>(age))) + 1;
}

// Counts only calls in the age class of the first waiting call, so that a long queue at one instance does not overtake older calls at others.
Tokens urgentNeed(const LeaseAccount &account, TimePoint now)
{
    Tokens need = 0;
    const std::uint64_t first = ageClassOf(account.waiting.front(), now);
    for (const WaitingCall &call : account.waiting) {
        if (ageClassOf(call, now) != first) {
            break;
        }
        need += call.cost;
    }
    return need;
}

Tokens capacityOf(const LeaseSource &source, const LeaseAccount &account)
{
    return account.burst * source.share;
}

Tokens reachableIn(const LeaseSource &source, AccountId id, const LeaseAccount &account, TimePoint now)
{
    const Tokens capacity = capacityOf(source, account);
    const auto lease = source.leases.find(id);
    if (lease == source.leases.end() || !lease->second.answered) {
        return capacity;
    }
    const LeaseUse &use = lease->second.use;
    const Tokens givenBack = use.returned + use.refunded - lease->second.givenBackAtAnswer + account.pendingRefund;
    return std::min(capacity, lease->second.reachable + givenBack + account.rate * source.share * toSeconds(now - lease->second.answeredAt));
}

void setExtraNeed(LeaseSource &source, AccountId id, const LeaseAccount &account, Tokens extraNeed, Duration interval, TimePoint now)
{
    const auto found = source.leases.find(id);
    if (found == source.leases.end() && extraNeed <= tokenTolerance) {
        return;
    }
    Lease &lease = leaseOf(source, id);
    lease.extraNeed = extraNeed;
    const Tokens used = lease.use.spent + lease.use.returned;
    const Tokens wanted = used + (extraNeed > tokenTolerance ? availableIn(lease) + extraNeed : 0);
    const bool more = extraNeed > tokenTolerance && wanted > lease.requestedNeed + tokenTolerance;
    const bool less = lease.unmet > tokenTolerance && wanted < lease.requestedNeed - tokenTolerance;
    // A bucket owner that is short of tokens is not told of every new call; the first tick after the interval reports them together.
    const bool tooSoon = lease.unmet > tokenTolerance && now - lease.requestedAt < interval;
    if ((more || less) && !tooSoon) {
        // While the home bucket is short, requests for several accounts share the message of the next tick.
        queueChange(source, id, lease, lease.unmet <= tokenTolerance && now >= account.shortageUntil);
    }
}

Tokens missingAfterHome(const LeaseSource &home, AccountId id, Tokens missing, Tokens homeExtra, TimePoint now)
{
    const auto lease = home.leases.find(id);
    const bool shortOfTokens = lease != home.leases.end() && lease->second.unmet > tokenTolerance;
    const bool late = home.awaitingAnswer && now - home.unansweredSince > homeAnswerTimeout;
    return shortOfTokens || late ? missing : missing - homeExtra;
}

void requestFromOtherDomains(QuotaLeases &leases, AccountId id, const LeaseAccount &account, Tokens missing, TimePoint now)
{
    struct Candidate
    {
        LeaseSource *source;
        Tokens reachable;
        bool unreachable;
    };
    std::vector<Candidate> candidates;
    for (LeaseSource &source : leases.sources) {
        if (!source.retired && source.domain != leases.home) {
            candidates.push_back({&source, reachableIn(source, id, account, now), isUnreachable(source, now)});
        }
    }
    if (candidates.empty()) {
        return;
    }
    // Equal candidates are tried in an order that differs between instances.
    std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(leases.process % candidates.size()), candidates.end());
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.unreachable != right.unreachable ? right.unreachable : left.reachable > right.reachable;
    });
    const bool urgent = !account.waiting.empty() && now - account.waiting.front().since > account.waiting.front().deadline - now;
    std::size_t urgentLeft = urgent ? maximumUrgentDomains : 0;
    Tokens covered = 0;
    for (const Candidate &candidate : candidates) {
        const auto lease = candidate.source->leases.find(id);
        const Tokens heldThere = lease == candidate.source->leases.end() ? 0 : availableIn(lease->second);
        const Tokens room = std::max(0.0, capacityOf(*candidate.source, account) - heldThere);
        const bool wanted = missing > tokenTolerance && covered < missing;
        bool worthAsking = candidate.reachable >= minimumUsefulPart * std::min(missing, room);
        if (wanted && !worthAsking && urgentLeft > 0) {
            worthAsking = true;
            --urgentLeft;
        }
        setExtraNeed(*candidate.source, id, account, wanted && worthAsking ? std::min(missing, room) : 0, remoteRequestInterval, now);
        if (!candidate.unreachable) {
            covered += std::min(room, candidate.reachable);
        }
    }
}

} // namespace

double demandAt(const LeaseAccount &account, TimePoint now)
{
    return account.demand * std::exp(-toSeconds(now - account.demandUpdatedAt) / demandSeconds);
}

void countDemand(LeaseAccount &account, Tokens cost, TimePoint now)
{
    account.demand = demandAt(account, now) + cost / demandSeconds;
    account.demandUpdatedAt = now;
    account.lastCost = cost;
}

Tokens prefetchTarget(const QuotaLeases &leases, const LeaseSource &source, const LeaseAccount &account, TimePoint now)
{
    const double demand = demandAt(account, now);
    const Tokens prefetch = demand < 1 ? 0 : std::min(demand * prefetchSeconds, capacityOf(source, account) * prefetchPart);
    if (isHome(leases, source)) {
        const bool expected = account.lastCost > 0 && now - account.demandUpdatedAt < sparseCallTime;
        return expected ? std::max(prefetch, std::min(account.lastCost, capacityOf(source, account) * sparsePart)) : prefetch;
    }
    return now < account.shortageUntil ? prefetch / static_cast<double>(leases.sources.size()) : 0;
}

void planRequests(QuotaLeases &leases, AccountId id, LeaseAccount &account, TimePoint now)
{
    if (account.waiting.empty() && account.priority == 0) {
        return;
    }
    account.priority = 0;
    Tokens missing = 0;
    if (!account.waiting.empty()) {
        // The low bits are those of the process number, so that every bucket orders calls of one age class in the same way.
        account.priority = ageClassOf(account.waiting.front(), now) << 32U | (leases.process & 0xFFFFFFFFU);
        missing = std::max(0.0, urgentNeed(account, now) - available(leases, id, now));
    }
    Tokens missingElsewhere = missing;
    for (LeaseSource &source : leases.sources) {
        if (isHome(leases, source)) {
            const auto lease = source.leases.find(id);
            const Tokens heldThere = lease == source.leases.end() ? 0 : availableIn(lease->second);
            const Tokens extraNeed = std::min(missing, std::max(0.0, capacityOf(source, account) - heldThere));
            missingElsewhere = missingAfterHome(source, id, missing, extraNeed, now);
            setExtraNeed(source, id, account, extraNeed, shortageRequestInterval, now);
        }
    }
    requestFromOtherDomains(leases, id, account, missingElsewhere, now);
}

std::optional<Duration> timeToReach(const QuotaLeases &leases, AccountId id, const LeaseAccount &account, Tokens cost, Tokens needed, TimePoint now)
{
    Tokens reachable = available(leases, id, now);
    Tokens capacity = 0;
    double refillRate = 0;
    bool anyOwnerKnown = false;
    for (const LeaseSource &source : leases.sources) {
        // An unreachable home owner has crashed and will be replaced, so calls wait for its successor. Other unreachable owners are behind a
        // partition, so their buckets do not count.
        const bool unreachable = isUnreachable(source, now) && !isHome(leases, source);
        anyOwnerKnown = anyOwnerKnown || !source.retired;
        if (source.retired || unreachable) {
            continue;
        }
        reachable += reachableIn(source, id, account, now);
        capacity += capacityOf(source, account);
        refillRate += account.rate * source.share;
    }
    if (!anyOwnerKnown) {
        // No bucket owner is known yet; the call waits until one is.
        return Duration::zero();
    }
    if (cost > capacity + tokenTolerance || (needed > reachable && refillRate <= 0)) {
        return std::nullopt;
    }
    return needed <= reachable ? Duration::zero() : fromSeconds((needed - reachable) / refillRate);
}

} // namespace mimosahollow::admission
