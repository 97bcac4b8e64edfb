#include "leaseinternal.h"

#include <algorithm>

namespace mimosahollow::admission {

namespace {

// A lease lasts for four renewal intervals, so that lost renewals do not end it at once.
constexpr Duration renewalInterval = milliseconds(500);

// Minimum interval between messages to one owner, so that waiting calls that arrive together share a request.
constexpr Duration requestInterval = milliseconds(2);

struct PendingChanges
{
    std::vector<LeaseWish> wishes;
    bool needsAnswer = false;
};

PendingChanges collectChanges(QuotaLeases &leases, LeaseSource &source, TimePoint now)
{
    PendingChanges result;
    for (const AccountId id : source.changed) {
        Lease &lease = source.leases[id];
        LeaseAccount &account = leases.accounts[id];
        lease.queued = false;
        if (isHome(leases, source)) {
            lease.use.refunded += account.pendingRefund;
            account.pendingRefund = 0;
        }
        const Tokens held = availableIn(lease);
        LeaseWish wish;
        wish.use = lease.use;
        const bool waits = !account.waiting.empty();
        if (lease.extraNeed > tokenTolerance && waits) {
            wish.need = held + lease.extraNeed;
            wish.priority = account.priority;
        }
        const bool shortOfTokens = waits && lease.unmet > tokenTolerance;
        const Tokens prefetch = shortOfTokens ? 0 : prefetchTarget(leases, source, account, now);
        wish.target = std::max(held, wish.need + prefetch);
        result.needsAnswer = result.needsAnswer || wish.target > held + tokenTolerance;
        const Tokens used = lease.use.spent + lease.use.returned;
        // The owner still serves the need that it could not meet, and only a request can change or withdraw that need.
        result.needsAnswer = result.needsAnswer || lease.unmet > tokenTolerance;
        lease.requestedNeed = used + wish.need;
        lease.requestedTarget = used + wish.target;
        lease.requestedAt = now;
        lease.sent = lease.use;
        result.wishes.push_back(wish);
    }
    source.changed.clear();
    source.urgent = false;
    return result;
}

LeaseSession header(const QuotaLeases &leases, LeaseSource &source)
{
    return {source.domain, source.epoch, leases.self, leases.process, source.session, ++source.sequence};
}

void sendRequest(const QuotaLeases &leases, LeaseSource &source, std::vector<LeaseWish> &&wishes, TimePoint now, LeaseActions &out)
{
    TokenRequest request{header(leases, source), std::move(wishes)};
    source.requestedAt = now;
    if (!source.awaitingAnswer) {
        source.awaitingAnswer = true;
        source.unansweredSince = now;
    }
    while (!source.sendTimes.empty() && source.sendTimes.front().second + quotaLease <= now) {
        source.sendTimes.pop_front();
    }
    source.sendTimes.emplace_back(request.session.sequence, now);
    out.messages.push_back({source.owner, std::move(request)});
}

void sendReport(const QuotaLeases &leases, LeaseSource &source, const std::vector<LeaseWish> &wishes, bool closing, LeaseActions &out)
{
    TokenReport report{header(leases, source), closing, {}};
    report.uses.reserve(wishes.size());
    for (const LeaseWish &wish : wishes) {
        report.uses.push_back(wish.use);
    }
    out.messages.push_back({source.owner, std::move(report)});
}

bool holdsTokens(const LeaseSource &source)
{
    return std::any_of(source.leases.begin(), source.leases.end(), [](const auto &entry) {
        return availableIn(entry.second) > tokenTolerance || entry.second.extraNeed > tokenTolerance;
    });
}

void flush(QuotaLeases &leases, LeaseSource &source, TimePoint now, bool atTick, LeaseActions &out)
{
    if (source.retired || (!atTick && !source.urgent)) {
        return;
    }
    const bool renew = source.session != 0 && now - source.requestedAt >= renewalInterval && holdsTokens(source);
    if (!renew && (source.changed.empty() || now - source.sentAt < requestInterval)) {
        return;
    }
    PendingChanges content = collectChanges(leases, source, now);
    const bool open = source.session != 0;
    if (!open) {
        source.session = ++leases.lastSession;
        source.sequence = 0;
        source.sendTimes.clear();
        source.expiresAt = now + quotaLease;
    }
    if (content.needsAnswer || renew || !open) {
        sendRequest(leases, source, std::move(content.wishes), now, out);
    } else {
        sendReport(leases, source, content.wishes, false, out);
    }
    source.sentAt = now;
}

} // namespace

Lease &leaseOf(LeaseSource &source, AccountId account)
{
    Lease &lease = source.leases[account];
    lease.use.account = account;
    return lease;
}

void queueChange(LeaseSource &source, AccountId account, Lease &lease, bool urgent)
{
    source.urgent = source.urgent || urgent;
    if (!lease.queued) {
        lease.queued = true;
        source.changed.push_back(account);
    }
}

void dropSession(LeaseSource &source)
{
    source.leases.clear();
    source.changed.clear();
    source.urgent = false;
    source.sendTimes.clear();
    source.session = 0;
    source.sequence = 0;
}

void flush(QuotaLeases &leases, TimePoint now, bool atTick, LeaseActions &out)
{
    for (LeaseSource &source : leases.sources) {
        flush(leases, source, now, atTick, out);
    }
}

void close(QuotaLeases &leases, TimePoint now, LeaseActions &out)
{
    for (LeaseSource &source : leases.sources) {
        if (source.session == 0 || source.retired) {
            continue;
        }
        for (auto &[id, lease] : source.leases) {
            lease.use.returned += std::max(0.0, availableIn(lease));
            lease.extraNeed = 0;
            queueChange(source, id, lease);
        }
        const PendingChanges content = collectChanges(leases, source, now);
        sendReport(leases, source, content.wishes, true, out);
        dropSession(source);
    }
}

} // namespace mimosahollow::admission
