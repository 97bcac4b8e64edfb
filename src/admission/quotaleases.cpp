#include "mimosahollow/admission/quotaleases.h"

#include "leaseinternal.h"

#include <algorithm>

namespace mimosahollow::admission {

namespace {

// Limits the memory of calls that wait for tokens; the same limit as for the queue of an organisation at a pool.
constexpr std::size_t maximumWaiting = 1024;

// Retry hint for calls whose wait cannot be estimated because the buckets they need are unreachable.
constexpr Duration unknownRetryAfter = seconds(1);

// Tokens are also prefetched from other failure domains for this time after the home bucket was short.
constexpr Duration shortageDuration = seconds(1);

// Interval of use reports. The bucket refills for spent tokens only once they are reported.
constexpr Duration reportInterval = milliseconds(100);

// Requests for waiting calls are repeated after this time, since a request or its answer may have been lost.
constexpr Duration resendInterval = milliseconds(150);

// Minimum interval between prefetch requests for one account.
constexpr Duration prefetchInterval = milliseconds(50);

// Error of the estimated wait, which omits tokens in transit between buckets (up to 250 ms) and unreported use (100 ms). A call that
// would miss its deadline by less than this waits, so that the error cannot cause a wrong early refusal.
constexpr Duration estimateError = milliseconds(350);

void refuse(LeaseActions &out, RequestId id, RefusalReason reason, std::optional<Duration> retryAfter)
{
    out.refused.push_back({id, reason, retryAfter.value_or(unknownRetryAfter)});
}

void runWaiting(QuotaLeases &leases, AccountId id, LeaseAccount &account, TimePoint now, LeaseActions &out)
{
    while (!account.waiting.empty() && spend(leases, id, account.waiting.front().cost, now)) {
        out.run.push_back(account.waiting.front().id);
        account.waiting.pop_front();
    }
}

void refuseUnservable(const QuotaLeases &leases, AccountId id, LeaseAccount &account, TimePoint now, LeaseActions &out)
{
    Tokens earlierCost = 0;
    for (auto call = account.waiting.begin(); call != account.waiting.end();) {
        if (call->cost > account.burst + tokenTolerance) {
            refuse(out, call->id, RefusalReason::CostAboveBurst, Duration::zero());
            call = account.waiting.erase(call);
        } else if (now >= call->deadline) {
            refuse(out, call->id, RefusalReason::RateLimited, timeToReach(leases, id, account, call->cost, earlierCost + call->cost, now));
            call = account.waiting.erase(call);
        } else {
            earlierCost += call->cost;
            ++call;
        }
    }
}

void serveWaitingAccounts(QuotaLeases &leases, TimePoint now, LeaseActions &out)
{
    for (const AccountId id : leases.waitingAccounts) {
        LeaseAccount &account = leases.accounts[id];
        refuseUnservable(leases, id, account, now, out);
        runWaiting(leases, id, account, now, out);
        const std::uint64_t priority = account.priority;
        planRequests(leases, id, account, now);
        for (LeaseSource &source : leases.sources) {
            const auto lease = source.leases.find(id);
            const bool asked = lease != source.leases.end() && lease->second.extraNeed > tokenTolerance;
            if (asked && (priority != account.priority || now - source.requestedAt >= resendInterval)) {
                queueChange(source, id, lease->second);
            }
        }
    }
    std::erase_if(leases.waitingAccounts, [&leases](AccountId id) {
        return leases.accounts[id].waiting.empty();
    });
}

void reviewLease(const QuotaLeases &leases, LeaseSource &source, AccountId id, Lease &lease, TimePoint now)
{
    const auto found = leases.accounts.find(id);
    if (found == leases.accounts.end()) {
        return;
    }
    const LeaseAccount &account = found->second;
    if (account.waiting.empty()) {
        const Tokens held = availableIn(lease);
        const Tokens prefetch = prefetchTarget(leases, source, account, now);
        const bool intervalElapsed = now - lease.requestedAt >= prefetchInterval;
        if (held > 2 * prefetch + tokenTolerance && intervalElapsed) {
            lease.use.returned += held - prefetch;
            queueChange(source, id, lease);
        } else if (held < prefetch / 2 && intervalElapsed) {
            queueChange(source, id, lease);
        }
    }
    const LeaseUse &use = lease.use;
    const bool unreported = use.spent != lease.sent.spent || use.returned != lease.sent.returned || use.refunded != lease.sent.refunded;
    if (unreported && now - source.sentAt >= reportInterval) {
        queueChange(source, id, lease);
    }
}

void returnAll(LeaseSource &source, AccountId id, Lease &lease)
{
    const Tokens held = availableIn(lease);
    if (held > 0) {
        lease.use.returned += held;
    }
    queueChange(source, id, lease, true);
}

void applyItem(QuotaLeases &leases, LeaseSource &source, const TokenGrant &grant, const GrantItem &item, TimePoint now)
{
    const auto account = leases.accounts.find(item.account);
    const auto found = source.leases.find(item.account);
    if (account == leases.accounts.end() || found == source.leases.end()) {
        return;
    }
    Lease &lease = found->second;
    const Tokens added = item.granted - lease.granted;
    if (added > 0) {
        lease.granted = item.granted;
        if (grant.configuration < account->second.loweredInVersion) {
            // Granted under a larger capacity than the one in effect here, so the added tokens are returned.
            lease.use.returned += added;
            queueChange(source, item.account, lease);
        }
    }
    lease.reachable = item.reachable;
    lease.givenBackAtAnswer = lease.sent.returned + lease.sent.refunded;
    lease.unmet = item.unmet;
    lease.answeredAt = now;
    lease.answered = true;
    if (isHome(leases, source) && item.unmet > tokenTolerance) {
        account->second.shortageUntil = now + shortageDuration;
    }
    const bool waitsLonger = !account->second.waiting.empty() && account->second.priority > item.recall;
    if (item.recall != 0 && !waitsLonger) {
        returnAll(source, item.account, lease);
    }
}

void setLimits(QuotaLeases &leases, AccountId id, Tokens rate, Tokens burst, const std::vector<double> &newShares, Version version)
{
    LeaseAccount &account = leases.accounts[id];
    for (std::size_t i = 0; i < leases.sources.size(); ++i) {
        LeaseSource &source = leases.sources[i];
        const Tokens before = account.burst * source.share;
        const Tokens after = burst * newShares[i];
        if (after >= before) {
            continue;
        }
        account.loweredInVersion = version;
        const auto lease = source.leases.find(id);
        if (lease != source.leases.end()) {
            lease->second.use.returned += std::max(0.0, availableIn(lease->second)) * (1 - after / before);
            queueChange(source, id, lease->second);
        }
    }
    account.rate = rate;
    account.burst = burst;
}

} // namespace

void applyConfiguration(QuotaLeases &leases, const control::Configuration &configuration, TimePoint)
{
    std::vector<double> shares;
    for (const LeaseSource &source : leases.sources) {
        const auto domain = std::find_if(configuration.domains.begin(), configuration.domains.end(), [&source](const control::FailureDomain &candidate) {
            return candidate.id == source.domain;
        });
        shares.push_back(domain == configuration.domains.end() ? 0 : domain->share);
    }
    std::vector<AccountId> removed;
    for (const auto &[id, account] : leases.accounts) {
        removed.push_back(id);
    }
    const auto set = [&](AccountId id, Tokens rate, Tokens burst) {
        setLimits(leases, id, rate, burst, shares, configuration.version);
        std::erase(removed, id);
    };
    set(loadAccount, configuration.loadRate * loadCost, configuration.loadsInFlight * loadCost);
    for (const control::Organisation &organisation : configuration.organisations) {
        set(accountOf(organisation.id), organisation.rate, organisation.burst);
    }
    for (const AccountId id : removed) {
        // The account remains with rate and burst 0; the next tick refuses its waiting calls.
        setLimits(leases, id, 0, 0, shares, configuration.version);
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        leases.sources[i].share = shares[i];
    }
    leases.configuration = configuration.version;
}

void setOwner(QuotaLeases &leases, DomainId domain, InstanceId owner, FencingNumber epoch, double share)
{
    for (LeaseSource &source : leases.sources) {
        if (source.domain != domain || source.retired) {
            continue;
        }
        if (epoch <= source.epoch) {
            source.owner = epoch == source.epoch ? owner : source.owner;
            return;
        }
        source.retired = true;
    }
    LeaseSource source;
    source.domain = domain;
    source.owner = owner;
    source.epoch = epoch;
    source.share = share;
    leases.sources.insert(domain == leases.home ? leases.sources.begin() : leases.sources.end(), std::move(source));
}

Tokens available(const QuotaLeases &leases, AccountId account, TimePoint now)
{
    Tokens sum = 0;
    for (const LeaseSource &source : leases.sources) {
        const auto lease = source.leases.find(account);
        if (lease != source.leases.end() && spendable(source, now)) {
            sum += std::max(0.0, availableIn(lease->second));
        }
    }
    return sum;
}

bool spend(QuotaLeases &leases, AccountId account, Tokens cost, TimePoint now)
{
    if (available(leases, account, now) + tokenTolerance < cost) {
        return false;
    }
    for (LeaseSource &source : leases.sources) {
        const auto lease = source.leases.find(account);
        if (cost > 0 && lease != source.leases.end() && spendable(source, now)) {
            const Tokens part = std::min(cost, std::max(0.0, availableIn(lease->second)));
            lease->second.use.spent += part;
            cost -= part;
        }
    }
    return true;
}

Admission admit(QuotaLeases &leases, AccountId id, const WaitingCall &call, TimePoint now, LeaseActions &out)
{
    const auto found = leases.accounts.find(id);
    if (found == leases.accounts.end() || call.cost > found->second.burst + tokenTolerance) {
        refuse(out, call.id, RefusalReason::CostAboveBurst, Duration::zero());
        return Admission::Refused;
    }
    LeaseAccount &account = found->second;
    if (account.waiting.empty() && spend(leases, id, call.cost, now)) {
        countDemand(account, call.cost, now);
        return Admission::Run;
    }
    if (account.waiting.size() >= maximumWaiting) {
        refuse(out, call.id, RefusalReason::Overloaded, unknownRetryAfter);
        return Admission::Refused;
    }
    Tokens needed = call.cost;
    for (const WaitingCall &earlier : account.waiting) {
        needed += earlier.cost;
    }
    const std::optional<Duration> wait = timeToReach(leases, id, account, call.cost, needed, now);
    if (!wait || now + *wait >= call.deadline + estimateError) {
        refuse(out, call.id, RefusalReason::RateLimited, wait);
        return Admission::Refused;
    }
    countDemand(account, call.cost, now);
    if (std::find(leases.waitingAccounts.begin(), leases.waitingAccounts.end(), id) == leases.waitingAccounts.end()) {
        leases.waitingAccounts.push_back(id);
    }
    account.waiting.push_back(call);
    planRequests(leases, id, account, now);
    flush(leases, now, false, out);
    return Admission::Wait;
}

bool cancel(QuotaLeases &leases, AccountId id, RequestId call, TimePoint now)
{
    const auto found = leases.accounts.find(id);
    if (found == leases.accounts.end()) {
        return false;
    }
    const std::size_t removed = std::erase_if(found->second.waiting, [&call](const WaitingCall &waiting) {
        return waiting.id == call;
    });
    planRequests(leases, id, found->second, now);
    return removed > 0;
}

Tokens refund(QuotaLeases &leases, AccountId id, Tokens reserved, Tokens used)
{
    const auto found = leases.accounts.find(id);
    Tokens remaining = std::clamp(reserved - used, 0.0, std::max(0.0, reserved));
    if (found == leases.accounts.end() || remaining <= 0) {
        return 0;
    }
    Tokens credited = 0;
    for (LeaseSource &source : leases.sources) {
        const auto lease = source.leases.find(id);
        if (lease == source.leases.end()) {
            continue;
        }
        // The owner still counts unreported use as outstanding, so that this amount may be spent again.
        const Tokens part = std::min(remaining, std::max(0.0, lease->second.use.spent - lease->second.sent.spent));
        lease->second.use.spent -= part;
        credited += part;
        remaining -= part;
    }
    if (remaining > 0) {
        found->second.pendingRefund += remaining;
        if (!leases.sources.empty() && isHome(leases, leases.sources.front())) {
            queueChange(leases.sources.front(), id, leaseOf(leases.sources.front(), id));
        }
    }
    return credited;
}

void handle(QuotaLeases &leases, const TokenGrant &grant, TimePoint now, LeaseActions &out)
{
    const auto source = std::find_if(leases.sources.begin(), leases.sources.end(), [&grant](const LeaseSource &candidate) {
        return candidate.domain == grant.session.domain && candidate.epoch == grant.session.epoch;
    });
    const bool own = grant.session.process == leases.process && grant.session.holder == leases.self;
    if (!own || source == leases.sources.end() || source->session != grant.session.session || !spendable(*source, now)) {
        return;
    }
    const auto sent = std::find_if(source->sendTimes.begin(), source->sendTimes.end(), [&grant](const auto &entry) {
        return entry.first == grant.session.sequence;
    });
    if (sent != source->sendTimes.end()) {
        source->expiresAt = std::max(source->expiresAt, sent->second + std::min(grant.validFor, quotaLease));
    }
    source->awaitingAnswer = false;
    for (const GrantItem &item : grant.items) {
        applyItem(leases, *source, grant, item, now);
    }
    for (const GrantItem &item : grant.items) {
        const auto account = leases.accounts.find(item.account);
        if (account != leases.accounts.end()) {
            runWaiting(leases, item.account, account->second, now, out);
            planRequests(leases, item.account, account->second, now);
        }
    }
    flush(leases, now, false, out);
}

void tick(QuotaLeases &leases, TimePoint now, LeaseActions &out)
{
    for (LeaseSource &source : leases.sources) {
        if (source.session != 0 && now >= source.expiresAt) {
            dropSession(source);
        }
    }
    std::erase_if(leases.sources, [](const LeaseSource &source) {
        return source.retired && source.session == 0;
    });
    serveWaitingAccounts(leases, now, out);
    for (LeaseSource &source : leases.sources) {
        if (source.retired) {
            continue;
        }
        for (auto &[id, lease] : source.leases) {
            reviewLease(leases, source, id, lease, now);
        }
    }
    flush(leases, now, true, out);
}

} // namespace mimosahollow::admission
