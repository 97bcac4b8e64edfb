#include "leaseinternal.h"

#include <algorithm>

namespace mimosahollow::admission {

namespace {

// Four renewals may be lost within a lease.
constexpr Duration renewalInterval = milliseconds(500);

// Spacing of messages to one owner: waiting calls that arrive together share a request.
constexpr Duration requestInterval = milliseconds(2);

struct Draft
{
    std::vector<LeaseWish> wishes;
    bool asks = false;
};

Draft draft(QuotaLeases &leases, LeaseSource &source, TimePoint now)
{
    Draft result;
    for (const AccountId id : source.changed) {
        Lease &lease = source.leases[id];
        LeaseAccount &account = leases.accounts[id];
        lease.listed = false;
        if (isHome(leases, source)) {
            lease.use.refunded += account.pendingRefund;
            account.pendingRefund = 0;
        }
        const Tokens held = availableIn(lease);
        LeaseWish wish;
        wish.use = lease.use;
        const bool waits = !account.waiting.empty();
        if (lease.extra > tokenTolerance && waits) {
            wish.need = held + lease.extra;
            wish.priority = account.priority;
        }
        const bool shortOfTokens = waits && lease.unmet > tokenTolerance;
        const Tokens ahead = shortOfTokens ? 0 : aheadIn(leases, source, account, now);
        wish.target = std::max(held, wish.need + ahead);
        result.asks = result.asks || wish.target > held + tokenTolerance;
        const Tokens used = lease.use.spent + lease.use.returned;
        // A need that is given up must reach the owner in a request.
        result.asks = result.asks || lease.unmet > tokenTolerance;
        lease.askedNeed = used + wish.need;
        lease.askedTarget = used + wish.target;
        lease.askedAt = now;
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
    if (!source.asking) {
        source.asking = true;
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
        return availableIn(entry.second) > tokenTolerance || entry.second.extra > tokenTolerance;
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
    Draft content = draft(leases, source, now);
    const bool open = source.session != 0;
    if (!open) {
        source.session = ++leases.lastSession;
        source.sequence = 0;
        source.sendTimes.clear();
        source.expiresAt = now + quotaLease;
    }
    if (content.asks || renew || !open) {
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

void listChange(LeaseSource &source, AccountId account, Lease &lease, bool urgent)
{
    source.urgent = source.urgent || urgent;
    if (!lease.listed) {
        lease.listed = true;
        source.changed.push_back(account);
    }
}

void lapse(LeaseSource &source)
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
            lease.extra = 0;
            listChange(source, id, lease);
        }
        const Draft content = draft(leases, source, now);
        sendReport(leases, source, content.wishes, true, out);
        lapse(source);
    }
}

} // namespace mimosahollow::admission
