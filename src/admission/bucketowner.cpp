#include "mimosahollow/admission/bucketowner.h"

#include "bucketinternal.h"

#include <algorithm>

namespace mimosahollow::admission {

namespace {

// Holders without a session are removed after this time. No request may run longer, so a removed holder has no refund left to
// report.
constexpr Duration holderRetention = seconds(600);

void applyRaisedShare(BucketOwner &owner, TimePoint now)
{
    if (owner.raisedShare <= owner.share || now < owner.raiseAt) {
        return;
    }
    for (auto &[account, bucket] : owner.buckets) {
        refill(owner, bucket, owner.raiseAt);
    }
    owner.share = owner.raisedShare;
}

void applyShare(BucketOwner &owner, double share, TimePoint now)
{
    const bool first = owner.configuration == 0;
    if (first || share <= owner.share) {
        owner.share = share;
        owner.raisedShare = share;
    } else if (share != owner.raisedShare) {
        owner.raisedShare = share;
        owner.raiseAt = now + shareRaiseDelay;
    }
}

void applyLimits(BucketOwner &owner, AccountId account, Tokens rate, Tokens burst, double oldShare, TimePoint now)
{
    Bucket &bucket = owner.buckets.try_emplace(account, Bucket{.refilledAt = std::max(now, owner.grantsStartAt)}).first->second;
    const Tokens oldCapacity = bucket.burst * oldShare;
    bucket.rate = rate;
    bucket.burst = burst;
    const Tokens newCapacity = capacity(owner, bucket);
    if (newCapacity < oldCapacity) {
        // Reduced in proportion, as holders reduce their leases, so that the level and all leases together fit the new capacity.
        bucket.level *= newCapacity / oldCapacity;
    }
}

/** Resets transfer state. Replies to requests of an earlier ownership carry another epoch and are rejected. */
void resetTransfers(BucketOwner &owner)
{
    for (BucketPeer &peer : owner.peers) {
        peer.pending.clear();
        peer.requestSequence = 0;
        peer.answeredSequence = 0;
        peer.backoffUntil = {};
    }
    owner.transferAt = owner.grantsStartAt;
}

void endSession(BucketOwner &owner, Holder &holder, TimePoint now)
{
    for (auto &[account, lease] : holder.accounts) {
        const auto bucket = owner.buckets.find(account);
        if (bucket != owner.buckets.end()) {
            refill(owner, bucket->second, now);
            bucket->second.outstanding = std::max(0.0, bucket->second.outstanding - held(lease));
        }
    }
    // sendChanges() drops pending changes of the session because their accounts no longer exist.
    holder.accounts.clear();
    holder.open = false;
}

/** Returns the holder if @p session is newer than every message seen from it; null for a late or duplicated message. */
Holder *accept(BucketOwner &owner, const LeaseSession &session, TimePoint now)
{
    if (owner.epoch == 0 || session.epoch != owner.epoch || session.domain != owner.domain || session.process == 0) {
        return nullptr;
    }
    Holder &holder = owner.holders[session.process];
    if (holder.open && now >= holder.expiresAt) {
        endSession(owner, holder, now);
    }
    if (session.session > holder.session.session) {
        // A holder opens a session only after it has dropped the previous one.
        endSession(owner, holder, now);
        holder.open = true;
        holder.expiresAt = now + quotaLease + quotaLeaseMargin;
    } else if (session.session < holder.session.session || !holder.open || session.sequence <= holder.session.sequence) {
        return nullptr;
    }
    holder.session = session;
    return &holder;
}

void applyUse(const BucketOwner &owner, Bucket &bucket, HolderAccount &lease, const LeaseUse &use, TimePoint now)
{
    LeaseUse &known = lease.wish.use;
    const Tokens spent = std::clamp(use.spent - known.spent, 0.0, std::max(0.0, held(lease)));
    known.spent += spent;
    const Tokens returned = std::clamp(use.returned - known.returned, 0.0, std::max(0.0, held(lease)));
    known.returned += returned;
    bucket.outstanding = std::max(0.0, bucket.outstanding - spent - returned);
    const Tokens room = std::max(0.0, capacity(owner, bucket) - bucket.outstanding - bucket.reservedForTransfers - bucket.level);
    // Returned tokens exceed the room only after the capacity was lowered; the excess is dropped.
    bucket.level += std::min(returned, room);
    const Tokens refunded = std::max(0.0, use.refunded - known.refunded);
    const Tokens credited = std::min(refunded, std::max(0.0, capacity(owner, bucket) - bucket.outstanding - bucket.reservedForTransfers - bucket.level));
    known.refunded += refunded;
    if (now < owner.grantsStartAt) {
        // Leases of the previous owner may still use the whole capacity, so the refund is dropped.
        return;
    }
    bucket.level += credited;
    bucket.refundsCredited += credited;
}

} // namespace

Tokens capacity(const BucketOwner &owner, const Bucket &bucket)
{
    return bucket.burst * owner.share;
}

Tokens held(const HolderAccount &lease)
{
    return lease.granted - lease.wish.use.spent - lease.wish.use.returned;
}

void refill(const BucketOwner &owner, Bucket &bucket, TimePoint now)
{
    if (now <= bucket.refilledAt) {
        return;
    }
    const Tokens room = std::max(0.0, capacity(owner, bucket) - bucket.outstanding - bucket.reservedForTransfers);
    if (owner.epoch != 0) {
        bucket.level += bucket.rate * owner.share * toSeconds(now - bucket.refilledAt);
    }
    bucket.level = std::min(bucket.level, room);
    bucket.refilledAt = now;
}

void applyConfiguration(BucketOwner &owner, const control::Configuration &configuration, TimePoint now)
{
    applyRaisedShare(owner, now);
    for (auto &[account, bucket] : owner.buckets) {
        refill(owner, bucket, now);
    }
    const auto domain = std::find_if(configuration.domains.begin(), configuration.domains.end(), [&owner](const control::FailureDomain &candidate) {
        return candidate.id == owner.domain;
    });
    const double oldShare = owner.share;
    applyShare(owner, domain == configuration.domains.end() ? 0 : domain->share, now);
    std::unordered_map<AccountId, Bucket> old;
    old.swap(owner.buckets);
    const auto keep = [&](AccountId account, Tokens rate, Tokens burst) {
        if (auto node = old.extract(account)) {
            owner.buckets.insert(std::move(node));
        }
        applyLimits(owner, account, rate, burst, oldShare, now);
    };
    keep(loadAccount, configuration.loadRate * loadCost, configuration.loadsInFlight * loadCost);
    for (const control::Organisation &organisation : configuration.organisations) {
        keep(accountOf(organisation.id), organisation.rate, organisation.burst);
    }
    owner.configuration = configuration.version;
}

void startOwnership(BucketOwner &owner, FencingNumber epoch, TimePoint oldLeaseEnd, TimePoint now)
{
    owner.epoch = epoch;
    owner.grantsStartAt = std::max(now, oldLeaseEnd + quotaLease + quotaLeaseMargin);
    owner.holders.clear();
    resetTransfers(owner);
    for (auto &[account, bucket] : owner.buckets) {
        bucket.level = 0;
        bucket.outstanding = 0;
        bucket.reservedForTransfers = 0;
        bucket.hasUnmetNeeds = false;
        bucket.refilledAt = owner.grantsStartAt;
    }
}

void startOwnership(BucketOwner &owner, FencingNumber epoch, const BucketHandover &handover, TimePoint now)
{
    startOwnership(owner, epoch, now + handover.untilGrantsStart - quotaLease - quotaLeaseMargin, now);
    // Leases of the previous owner expire at their holders; until then process number 0 represents all of them.
    Holder &predecessorLeases = owner.holders[0];
    predecessorLeases.open = true;
    predecessorLeases.expiresAt = now + quotaLease + quotaLeaseMargin;
    for (const BucketHandover::Item &item : handover.items) {
        const auto found = owner.buckets.find(item.account);
        if (found == owner.buckets.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        predecessorLeases.accounts[item.account].granted = item.outstanding;
        bucket.outstanding = item.outstanding;
        bucket.level = std::min(item.level, std::max(0.0, capacity(owner, bucket) - item.outstanding));
    }
}

BucketHandover stopOwnership(BucketOwner &owner, TimePoint now)
{
    applyRaisedShare(owner, now);
    BucketHandover handover;
    handover.domain = owner.domain;
    handover.untilGrantsStart = std::max(Duration::zero(), owner.grantsStartAt - now);
    for (auto &[account, bucket] : owner.buckets) {
        refill(owner, bucket, now);
        handover.items.push_back({account, bucket.level, bucket.outstanding});
        bucket.level = 0;
        bucket.outstanding = 0;
        bucket.reservedForTransfers = 0;
        bucket.hasUnmetNeeds = false;
    }
    owner.holders.clear();
    resetTransfers(owner);
    owner.epoch = 0;
    return handover;
}

void handle(BucketOwner &owner, const TokenRequest &request, TimePoint now, BucketActions &out)
{
    applyRaisedShare(owner, now);
    Holder *holder = accept(owner, request.session, now);
    if (holder == nullptr) {
        return;
    }
    holder->expiresAt = now + quotaLease + quotaLeaseMargin;
    for (const LeaseWish &wish : request.wishes) {
        const auto found = owner.buckets.find(wish.use.account);
        if (found == owner.buckets.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        HolderAccount &lease = holder->accounts[wish.use.account];
        refill(owner, bucket, now);
        applyUse(owner, bucket, lease, wish.use, now);
        const LeaseUse known = lease.wish.use;
        lease.wish = wish;
        lease.wish.use = known;
        markChanged(owner, request.session.process, wish.use.account, lease);
        serveRequest(owner, *found, lease, now);
    }
    sendChanges(owner, holder, out.grants);
}

void handle(BucketOwner &owner, const TokenReport &report, TimePoint now, BucketActions &out)
{
    applyRaisedShare(owner, now);
    Holder *holder = accept(owner, report.session, now);
    if (holder == nullptr) {
        return;
    }
    for (const LeaseUse &use : report.uses) {
        const auto found = owner.buckets.find(use.account);
        if (found == owner.buckets.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        refill(owner, bucket, now);
        applyUse(owner, bucket, holder->accounts[use.account], use, now);
    }
    if (report.closing) {
        endSession(owner, *holder, now);
    }
    for (const LeaseUse &use : report.uses) {
        const auto found = owner.buckets.find(use.account);
        if (found != owner.buckets.end() && found->second.hasUnmetNeeds) {
            serveWaiting(owner, *found, true, now);
        }
    }
    sendChanges(owner, nullptr, out.grants);
}

void tick(BucketOwner &owner, TimePoint now, BucketActions &out)
{
    applyRaisedShare(owner, now);
    if (owner.epoch == 0) {
        return;
    }
    for (auto holder = owner.holders.begin(); holder != owner.holders.end();) {
        if (holder->second.open && now >= holder->second.expiresAt) {
            endSession(owner, holder->second, now);
        }
        holder = !holder->second.open && now >= holder->second.expiresAt + holderRetention ? owner.holders.erase(holder) : std::next(holder);
    }
    for (auto &entry : owner.buckets) {
        if (entry.second.hasUnmetNeeds) {
            refill(owner, entry.second, now);
            serveWaiting(owner, entry, false, now);
        }
    }
    sendChanges(owner, nullptr, out.grants);
    requestTransfers(owner, now, out);
}

} // namespace mimosahollow::admission
