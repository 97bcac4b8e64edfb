#include "bucketinternal.h"

#include <algorithm>

namespace mimosahollow::admission {

namespace {

// Interval between transfer requests. Limits the refill that a full bucket loses before its tokens move to an emptier one; the cost is about
// 20 messages a second.
constexpr Duration transferInterval = milliseconds(100);

// Timeout of a transfer request: many round trips between failure domains. Later replies are rejected.
constexpr Duration transferTimeout = milliseconds(250);

// Time without requests to a peer after it did not answer.
constexpr Duration unansweredBackoff = milliseconds(1000);

// No transfer is requested for a bucket whose room is at most this part of its capacity.
constexpr double balanceTolerance = 0.02;

void releaseReservations(BucketOwner &owner, BucketPeer &peer, TimePoint now)
{
    for (const TransferWish &wish : peer.pending) {
        const auto bucket = owner.buckets.find(wish.account);
        if (bucket != owner.buckets.end()) {
            refill(owner, bucket->second, now);
            bucket->second.reservedForTransfers = std::max(0.0, bucket->second.reservedForTransfers - wish.room);
        }
    }
    peer.pending.clear();
}

/** Tokens to request from a peer: the free room less the refill until the timeout, so that an unanswered request does not delay the refill. */
Tokens roomOf(const BucketOwner &owner, const Bucket &bucket)
{
    const Tokens fill = bucket.rate * owner.share * toSeconds(transferTimeout);
    return capacity(owner, bucket) - bucket.level - bucket.outstanding - bucket.reservedForTransfers - fill;
}

void requestFrom(BucketOwner &owner, BucketPeer &peer, TimePoint now, BucketActions &out)
{
    for (auto &[account, bucket] : owner.buckets) {
        refill(owner, bucket, now);
        const Tokens room = roomOf(owner, bucket);
        const Tokens bucketCapacity = capacity(owner, bucket);
        if (bucketCapacity > 0 && room > balanceTolerance * bucketCapacity) {
            bucket.reservedForTransfers += room;
            peer.pending.push_back({account, bucket.level, bucketCapacity, room});
        }
    }
    if (peer.pending.empty()) {
        return;
    }
    peer.requestedAt = now;
    const TransferHeader header{owner.domain, peer.domain, owner.self, owner.epoch, peer.epoch, ++peer.requestSequence};
    out.transfers.push_back({peer.owner, TransferRequest{header, peer.pending}});
}

BucketPeer newPeer(DomainId domain, InstanceId instance, FencingNumber epoch)
{
    BucketPeer peer;
    peer.domain = domain;
    peer.owner = instance;
    peer.epoch = epoch;
    return peer;
}

BucketPeer *findPeer(BucketOwner &owner, const TransferHeader &header)
{
    if (owner.epoch == 0 || header.toEpoch != owner.epoch || header.to != owner.domain) {
        return nullptr;
    }
    const auto peer = std::find_if(owner.peers.begin(), owner.peers.end(), [&header](const BucketPeer &candidate) {
        return candidate.domain == header.from && candidate.epoch == header.fromEpoch;
    });
    return peer == owner.peers.end() ? nullptr : &*peer;
}

/** Amount to transfer so that both buckets have the same fill ratio. */
Tokens surplus(const BucketOwner &owner, const Bucket &bucket, const TransferWish &wish)
{
    const Tokens bucketCapacity = capacity(owner, bucket);
    if (bucket.hasUnmetNeeds || bucketCapacity + wish.capacity <= 0) {
        return 0;
    }
    const double fillRatio = (bucket.level + wish.level) / (bucketCapacity + wish.capacity);
    return std::clamp(bucket.level - fillRatio * bucketCapacity, 0.0, std::min(wish.room, bucket.level));
}

} // namespace

void setPeer(BucketOwner &owner, DomainId domain, InstanceId instance, FencingNumber epoch, TimePoint now)
{
    for (BucketPeer &peer : owner.peers) {
        if (peer.domain != domain) {
            continue;
        }
        if (epoch > peer.epoch) {
            // Replies of the previous owner are rejected from now on, so the capacity reserved for them is released.
            releaseReservations(owner, peer, now);
            peer = newPeer(domain, instance, epoch);
        }
        return;
    }
    owner.peers.push_back(newPeer(domain, instance, epoch));
}

void requestTransfers(BucketOwner &owner, TimePoint now, BucketActions &out)
{
    for (BucketPeer &peer : owner.peers) {
        if (!peer.pending.empty() && now >= peer.requestedAt + transferTimeout) {
            releaseReservations(owner, peer, now);
            peer.backoffUntil = now + unansweredBackoff;
        }
    }
    if (owner.peers.empty() || now < owner.transferAt || now < owner.grantsStartAt) {
        return;
    }
    owner.transferAt = now + transferInterval;
    for (std::size_t i = 0; i < owner.peers.size(); ++i) {
        BucketPeer &peer = owner.peers[owner.nextPeer++ % owner.peers.size()];
        if (peer.pending.empty() && now >= peer.backoffUntil) {
            requestFrom(owner, peer, now, out);
            return;
        }
    }
}

void handle(BucketOwner &owner, const TransferRequest &request, TimePoint now, BucketActions &out)
{
    BucketPeer *peer = findPeer(owner, request.header);
    if (peer == nullptr || request.header.sequence <= peer->answeredSequence || now < owner.grantsStartAt) {
        return;
    }
    peer->answeredSequence = request.header.sequence;
    TransferReply reply;
    reply.header = {owner.domain, request.header.from, owner.self, owner.epoch, request.header.fromEpoch, request.header.sequence};
    for (const TransferWish &wish : request.wishes) {
        const auto found = owner.buckets.find(wish.account);
        if (found == owner.buckets.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        refill(owner, bucket, now);
        const Tokens amount = surplus(owner, bucket, wish);
        if (amount > tokenTolerance) {
            bucket.level -= amount;
            reply.items.push_back({wish.account, amount});
        }
    }
    out.transfers.push_back({request.header.sender, std::move(reply)});
}

void handle(BucketOwner &owner, const TransferReply &reply, TimePoint now, BucketActions &out)
{
    BucketPeer *peer = findPeer(owner, reply.header);
    if (peer == nullptr || peer->pending.empty() || reply.header.sequence != peer->requestSequence || now >= peer->requestedAt + transferTimeout) {
        return;
    }
    const std::vector<TransferWish> requested = peer->pending;
    releaseReservations(owner, *peer, now);
    for (const TransferItem &item : reply.items) {
        const auto found = owner.buckets.find(item.account);
        const auto wish = std::find_if(requested.begin(), requested.end(), [&item](const TransferWish &candidate) {
            return candidate.account == item.account;
        });
        if (found == owner.buckets.end() || wish == requested.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        const Tokens room = std::max(0.0, capacity(owner, bucket) - bucket.level - bucket.outstanding - bucket.reservedForTransfers);
        bucket.level += std::min({item.amount, wish->room, room});
        if (bucket.hasUnmetNeeds) {
            serveWaiting(owner, *found, true, now);
        }
    }
    sendChanges(owner, nullptr, out.grants);
}

} // namespace mimosahollow::admission
