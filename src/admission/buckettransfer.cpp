#include "bucketinternal.h"

#include <algorithm>

namespace mimosahollow::admission {

namespace {

// Bounds the fill that a full bucket loses before tokens move to an emptier one, at about 20 messages a second.
constexpr Duration transferInterval = milliseconds(100);

// Many round trips between failure domains; a later answer is not accepted.
constexpr Duration transferTimeout = milliseconds(250);

// Spacing of requests to a peer that did not answer.
constexpr Duration silentPause = milliseconds(1000);

// A bucket that lacks less than this part of its capacity does not ask.
constexpr double balancedPart = 0.02;

void endPending(BucketOwner &owner, BucketPeer &peer, TimePoint now)
{
    for (const TransferWish &wish : peer.pending) {
        const auto bucket = owner.buckets.find(wish.account);
        if (bucket != owner.buckets.end()) {
            refill(owner, bucket->second, now);
            bucket->second.expected = std::max(0.0, bucket->second.expected - wish.room);
        }
    }
    peer.pending.clear();
}

/** Room for a transfer; the fill of the time until the timeout is left out, so that an unanswered request delays no fill. */
Tokens roomOf(const BucketOwner &owner, const Bucket &bucket)
{
    const Tokens fill = bucket.rate * owner.share * toSeconds(transferTimeout);
    return capacity(owner, bucket) - bucket.level - bucket.outstanding - bucket.expected - fill;
}

void ask(BucketOwner &owner, BucketPeer &peer, TimePoint now, BucketActions &out)
{
    for (auto &[account, bucket] : owner.buckets) {
        refill(owner, bucket, now);
        const Tokens room = roomOf(owner, bucket);
        const Tokens whole = capacity(owner, bucket);
        if (whole > 0 && room > balancedPart * whole) {
            bucket.expected += room;
            peer.pending.push_back({account, bucket.level, whole, room});
        }
    }
    if (peer.pending.empty()) {
        return;
    }
    peer.askedAt = now;
    const TransferHeader header{owner.domain, peer.domain, owner.self, owner.epoch, peer.epoch, ++peer.askSequence};
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

BucketPeer *find(BucketOwner &owner, const TransferHeader &header)
{
    if (owner.epoch == 0 || header.toEpoch != owner.epoch || header.to != owner.domain) {
        return nullptr;
    }
    const auto peer = std::find_if(owner.peers.begin(), owner.peers.end(), [&header](const BucketPeer &candidate) {
        return candidate.domain == header.from && candidate.epoch == header.fromEpoch;
    });
    return peer == owner.peers.end() ? nullptr : &*peer;
}

/** Part of the level that makes both buckets equally full. */
Tokens surplus(const BucketOwner &owner, const Bucket &bucket, const TransferWish &wish)
{
    const Tokens whole = capacity(owner, bucket);
    if (bucket.waiting || whole + wish.capacity <= 0) {
        return 0;
    }
    const double fullness = (bucket.level + wish.level) / (whole + wish.capacity);
    return std::clamp(bucket.level - fullness * whole, 0.0, std::min(wish.room, bucket.level));
}

} // namespace

void setPeer(BucketOwner &owner, DomainId domain, InstanceId instance, FencingNumber epoch, TimePoint now)
{
    for (BucketPeer &peer : owner.peers) {
        if (peer.domain != domain) {
            continue;
        }
        if (epoch > peer.epoch) {
            // A reply of the old owner is no longer accepted, so that its room is free again.
            endPending(owner, peer, now);
            peer = newPeer(domain, instance, epoch);
        }
        return;
    }
    owner.peers.push_back(newPeer(domain, instance, epoch));
}

void balance(BucketOwner &owner, TimePoint now, BucketActions &out)
{
    for (BucketPeer &peer : owner.peers) {
        if (!peer.pending.empty() && now >= peer.askedAt + transferTimeout) {
            endPending(owner, peer, now);
            peer.silentUntil = now + silentPause;
        }
    }
    if (owner.peers.empty() || now < owner.transferAt || now < owner.startsAt) {
        return;
    }
    owner.transferAt = now + transferInterval;
    for (std::size_t i = 0; i < owner.peers.size(); ++i) {
        BucketPeer &peer = owner.peers[owner.nextPeer++ % owner.peers.size()];
        if (peer.pending.empty() && now >= peer.silentUntil) {
            ask(owner, peer, now, out);
            return;
        }
    }
}

void handle(BucketOwner &owner, const TransferRequest &request, TimePoint now, BucketActions &out)
{
    BucketPeer *peer = find(owner, request.header);
    if (peer == nullptr || request.header.sequence <= peer->answeredSequence || now < owner.startsAt) {
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
    BucketPeer *peer = find(owner, reply.header);
    if (peer == nullptr || peer->pending.empty() || reply.header.sequence != peer->askSequence || now >= peer->askedAt + transferTimeout) {
        return;
    }
    const std::vector<TransferWish> asked = peer->pending;
    endPending(owner, *peer, now);
    for (const TransferItem &item : reply.items) {
        const auto found = owner.buckets.find(item.account);
        const auto wish = std::find_if(asked.begin(), asked.end(), [&item](const TransferWish &candidate) {
            return candidate.account == item.account;
        });
        if (found == owner.buckets.end() || wish == asked.end()) {
            continue;
        }
        Bucket &bucket = found->second;
        const Tokens room = std::max(0.0, capacity(owner, bucket) - bucket.level - bucket.outstanding - bucket.expected);
        bucket.level += std::min({item.amount, wish->room, room});
        if (bucket.waiting) {
            serveWaiting(owner, *found, true, now);
        }
    }
    sendChanges(owner, nullptr, out.grants);
}

} // namespace mimosahollow::admission
