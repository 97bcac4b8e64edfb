#include "bucketinternal.h"

#include <algorithm>

namespace mimosahollow::admission {

namespace {

// Minimum interval between unsolicited grants to one holder of an account. Trades the number of messages against the latency of calls
// that wait for the refill.
constexpr Duration pushInterval = milliseconds(50);

// Minimum interval between recalls to one holder. The holder answers within a round trip, so more frequent recalls only repeat the first.
constexpr Duration recallInterval = milliseconds(100);

// Recall interval for a holder of less than smallHoldingPart of the unmet need, whose tokens hardly shorten the wait.
constexpr Duration smallRecallInterval = milliseconds(400);
constexpr double smallHoldingPart = 0.05;

void grantTokens(Bucket &bucket, HolderAccount &lease, Tokens amount)
{
    lease.granted += amount;
    bucket.level -= amount;
    bucket.outstanding += amount;
}

Tokens unmetNeed(const HolderAccount &lease)
{
    const Tokens unmet = lease.wish.need - held(lease);
    return unmet > tokenTolerance ? unmet : 0;
}

struct WaitingHolder
{
    std::uint64_t priority;
    std::uint64_t process;
    HolderAccount *lease;
};

void recall(BucketOwner &owner, AccountId account, const WaitingHolder &first, TimePoint now)
{
    for (auto &[process, holder] : owner.holders) {
        const auto lease = holder.accounts.find(account);
        if (process == 0 || process == first.process || lease == holder.accounts.end() || held(lease->second) <= tokenTolerance) {
            continue;
        }
        const bool waitsLonger = unmetNeed(lease->second) > 0 && lease->second.wish.priority > first.priority;
        const bool small = held(lease->second) < smallHoldingPart * unmetNeed(*first.lease);
        if (waitsLonger || now < lease->second.recalledAt + (small ? smallRecallInterval : recallInterval)) {
            continue;
        }
        lease->second.recall = first.priority;
        lease->second.recalledAt = now;
        markChanged(owner, process, account, lease->second);
    }
}

} // namespace

void markChanged(BucketOwner &owner, std::uint64_t process, AccountId account, HolderAccount &lease)
{
    if (!lease.changed) {
        lease.changed = true;
        owner.changes.push_back({process, account});
    }
}

void serveRequest(BucketOwner &owner, BucketEntry &entry, HolderAccount &lease, TimePoint now)
{
    Bucket &bucket = entry.second;
    if (bucket.hasUnmetNeeds) {
        serveWaiting(owner, entry, true, now);
    }
    if (!bucket.hasUnmetNeeds) {
        const Tokens wanted = std::max(lease.wish.target, lease.wish.need) - held(lease);
        if (wanted > 0) {
            grantTokens(bucket, lease, std::min(wanted, bucket.level));
        }
        if (unmetNeed(lease) > 0) {
            bucket.hasUnmetNeeds = true;
            serveWaiting(owner, entry, true, now);
        }
    }
}

void serveWaiting(BucketOwner &owner, BucketEntry &entry, bool atOnce, TimePoint now)
{
    auto &[account, bucket] = entry;
    std::vector<WaitingHolder> waiting;
    for (auto &[process, holder] : owner.holders) {
        const auto lease = holder.accounts.find(account);
        if (lease != holder.accounts.end() && unmetNeed(lease->second) > 0) {
            waiting.push_back({lease->second.wish.priority, process, &lease->second});
        }
    }
    // Every bucket uses the same order, so that two calls that need tokens of several buckets cannot deadlock.
    std::sort(waiting.begin(), waiting.end(), [](const WaitingHolder &left, const WaitingHolder &right) {
        return left.priority != right.priority ? left.priority > right.priority : left.process > right.process;
    });
    bucket.hasUnmetNeeds = false;
    for (const WaitingHolder &next : waiting) {
        const Tokens unmet = unmetNeed(*next.lease);
        if (bucket.level > tokenTolerance && (atOnce || now >= next.lease->pushedAt + pushInterval)) {
            grantTokens(bucket, *next.lease, std::min(bucket.level, unmet));
            next.lease->pushedAt = now;
            markChanged(owner, next.process, account, *next.lease);
        }
        if (unmetNeed(*next.lease) > 0) {
            bucket.hasUnmetNeeds = true;
            recall(owner, account, next, now);
            return;
        }
    }
}

void sendChanges(BucketOwner &owner, const Holder *requester, std::vector<TokenGrant> &out)
{
    const auto byProcess = [](const LeaseChange &left, const LeaseChange &right) {
        return left.process < right.process;
    };
    std::sort(owner.changes.begin(), owner.changes.end(), byProcess);
    const std::size_t first = out.size();
    for (const LeaseChange &change : owner.changes) {
        const auto holder = owner.holders.find(change.process);
        const auto bucket = owner.buckets.find(change.account);
        if (change.process == 0 || holder == owner.holders.end() || !holder->second.open || bucket == owner.buckets.end()) {
            continue;
        }
        const auto found = holder->second.accounts.find(change.account);
        if (found == holder->second.accounts.end()) {
            continue;
        }
        if (out.size() == first || out.back().session.process != change.process) {
            out.push_back({holder->second.session, quotaLease, owner.configuration, {}});
        }
        HolderAccount &lease = found->second;
        const Tokens others = std::max(0.0, bucket->second.outstanding - held(lease));
        out.back().items.push_back({change.account, lease.granted, bucket->second.level + others, unmetNeed(lease), lease.recall});
        lease.changed = false;
        lease.recall = 0;
    }
    owner.changes.clear();
    const bool answered =
        requester == nullptr || std::any_of(out.begin() + static_cast<std::ptrdiff_t>(first), out.end(), [requester](const TokenGrant &grant) {
            return grant.session.process == requester->session.process;
        });
    if (!answered) {
        // A renewal without accounts needs an answer too, because the answer extends the lease.
        out.push_back({requester->session, quotaLease, owner.configuration, {}});
    }
}

} // namespace mimosahollow::admission
