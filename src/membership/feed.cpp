#include "mimosahollow/membership/feed.h"

#include <algorithm>

namespace mimosahollow::membership {

namespace {

Version firstIndex(const Feed &feed)
{
    return feed.increments.empty() ? feed.lastIndex + 1 : feed.increments.front().index;
}

bool wantsSnapshot(const Feed &feed, const Subscriber &subscriber)
{
    return feed.lastIndex > 0 && (subscriber.nextIndex == 0 || subscriber.nextIndex < firstIndex(feed));
}

bool isSnapshotUsable(const Feed &feed)
{
    return feed.snapshotIndex > 0 && feed.snapshotIndex + 1 >= firstIndex(feed);
}

Update snapshotPart(const Feed &feed, const Subscriber &subscriber)
{
    const std::uint32_t part = subscriber.snapshotIndex == feed.snapshotIndex ? subscriber.nextPart : 0;
    const std::size_t begin = part * maximumUpdateBytes;
    const std::size_t end = std::min(begin + maximumUpdateBytes, feed.snapshot.size());
    Update update;
    update.snapshot = true;
    update.firstIndex = feed.snapshotIndex;
    update.lastIndex = feed.snapshotIndex;
    update.part = part;
    update.parts = static_cast<std::uint32_t>(std::max<std::size_t>(1, (feed.snapshot.size() + maximumUpdateBytes - 1) / maximumUpdateBytes));
    update.payload.assign(feed.snapshot.begin() + static_cast<std::ptrdiff_t>(begin), feed.snapshot.begin() + static_cast<std::ptrdiff_t>(end));
    return update;
}

Update incrementsFrom(const Feed &feed, Version nextIndex)
{
    std::vector<Increment> chosen;
    std::size_t bytes = 0;
    for (Version index = nextIndex; index <= feed.lastIndex; ++index) {
        const Increment &increment = feed.increments[index - firstIndex(feed)];
        if (!chosen.empty() && bytes + increment.payload.size() > maximumUpdateBytes) {
            break;
        }
        bytes += increment.payload.size();
        chosen.push_back(increment);
    }
    Update update;
    update.firstIndex = nextIndex;
    update.lastIndex = nextIndex + chosen.size() - 1;
    update.payload = joinIncrements(chosen);
    return update;
}

void resetSnapshot(FeedReader &reader)
{
    reader.snapshotIndex = 0;
    reader.nextPart = 0;
    reader.assembled.clear();
}

ReadResult readSnapshotPart(FeedReader &reader, Update &update)
{
    if (update.lastIndex <= reader.applied) {
        return NothingToApply{}; // never replace the state by an older one
    }
    if (update.part == 0) {
        resetSnapshot(reader);
        reader.snapshotIndex = update.lastIndex;
    }
    const bool fits = reader.assembled.size() + update.payload.size() <= maximumSnapshotBytes;
    if (update.lastIndex != reader.snapshotIndex || update.part != reader.nextPart || update.part >= update.parts || !fits) {
        resetSnapshot(reader);
        return Resubscribe{reader.applied == 0 ? 0 : reader.applied + 1};
    }
    reader.assembled.insert(reader.assembled.end(), update.payload.begin(), update.payload.end());
    if (++reader.nextPart < update.parts) {
        return NothingToApply{};
    }
    ApplySnapshot apply{update.lastIndex, std::move(reader.assembled)};
    resetSnapshot(reader);
    reader.applied = apply.index;
    return apply;
}

ReadResult readIncrements(FeedReader &reader, const Update &update)
{
    if (update.lastIndex <= reader.applied) {
        return NothingToApply{};
    }
    std::vector<Increment> increments = splitIncrements(update.payload, update.firstIndex, update.lastIndex);
    if (update.firstIndex > reader.applied + 1 || increments.empty()) {
        return Resubscribe{reader.applied == 0 ? 0 : reader.applied + 1};
    }
    const auto applied = static_cast<std::ptrdiff_t>(reader.applied + 1 - update.firstIndex);
    increments.erase(increments.begin(), increments.begin() + applied);
    reader.applied = update.lastIndex;
    return ApplyIncrements{increments.front().index, update.lastIndex, std::move(increments)};
}

} // namespace

bool append(Feed &feed, Increment increment)
{
    if (increment.index != feed.lastIndex + 1) {
        return false;
    }
    feed.lastIndex = increment.index;
    if (increment.payload.size() > maximumIncrementBytes) {
        // The increment does not fit into a frame, so subscribers get it in a snapshot.
        feed.increments.clear();
        feed.incrementBytes = 0;
        return true;
    }
    feed.incrementBytes += increment.payload.size();
    feed.increments.push_back(std::move(increment));
    while (feed.incrementBytes > maximumFeedBytes && feed.increments.size() > 1) {
        feed.incrementBytes -= feed.increments.front().payload.size();
        feed.increments.pop_front();
    }
    return true;
}

void setSnapshot(Feed &feed, Version index, std::vector<std::uint8_t> snapshot)
{
    feed.snapshot = std::move(snapshot);
    feed.snapshotIndex = index;
    if (index > feed.lastIndex) {
        // This instance skipped the increments up to the snapshot, so the stored ones would leave a gap before it.
        feed.increments.clear();
        feed.incrementBytes = 0;
        feed.lastIndex = index;
    }
}

void onSubscribe(Feed &feed, std::string_view peer, const Subscribe &subscribe)
{
    feed.subscribers.insert_or_assign(std::string(peer), Subscriber{subscribe.nextIndex, 0, 0});
}

void removeSubscriber(Feed &feed, std::string_view peer)
{
    const auto found = feed.subscribers.find(peer);
    if (found != feed.subscribers.end()) {
        feed.subscribers.erase(found);
    }
}

bool needsSnapshot(const Feed &feed)
{
    return !isSnapshotUsable(feed) && std::any_of(feed.subscribers.begin(), feed.subscribers.end(), [&feed](const auto &item) {
        return wantsSnapshot(feed, item.second);
    });
}

std::optional<Update> nextUpdate(const Feed &feed, std::string_view peer, std::string_view leader)
{
    const auto found = feed.subscribers.find(peer);
    if (found == feed.subscribers.end()) {
        return std::nullopt;
    }
    const Subscriber &subscriber = found->second;
    std::optional<Update> update;
    if (wantsSnapshot(feed, subscriber)) {
        if (isSnapshotUsable(feed)) {
            update = snapshotPart(feed, subscriber);
        }
    } else if (subscriber.nextIndex > 0 && subscriber.nextIndex <= feed.lastIndex) {
        update = incrementsFrom(feed, subscriber.nextIndex);
    }
    if (update) {
        update->leader = leader;
    }
    return update;
}

void markSent(Feed &feed, std::string_view peer, const Update &update)
{
    const auto found = feed.subscribers.find(peer);
    if (found == feed.subscribers.end()) {
        return;
    }
    Subscriber &subscriber = found->second;
    if (update.snapshot && update.part + 1 < update.parts) {
        subscriber.snapshotIndex = update.lastIndex;
        subscriber.nextPart = update.part + 1;
    } else {
        subscriber = {update.lastIndex + 1, 0, 0};
    }
}

ReadResult onUpdate(FeedReader &reader, Update update)
{
    return update.snapshot ? readSnapshotPart(reader, update) : readIncrements(reader, update);
}

std::vector<std::uint8_t> joinIncrements(std::span<const Increment> increments)
{
    std::vector<std::uint8_t> payload;
    for (const Increment &increment : increments) {
        const auto size = static_cast<std::uint32_t>(increment.payload.size());
        for (unsigned shift = 0; shift < 32; shift += 8) {
            payload.push_back(static_cast<std::uint8_t>(size >> shift));
        }
        payload.insert(payload.end(), increment.payload.begin(), increment.payload.end());
    }
    return payload;
}

std::vector<Increment> splitIncrements(std::span<const std::uint8_t> payload, Version firstIndex, Version lastIndex)
{
    constexpr std::size_t sizeBytes = 4;
    std::vector<Increment> increments;
    Version index = firstIndex;
    while (payload.size() >= sizeBytes && index <= lastIndex) {
        const std::size_t size =
            payload[0] | static_cast<std::size_t>(payload[1]) << 8U | static_cast<std::size_t>(payload[2]) << 16U | static_cast<std::size_t>(payload[3]) << 24U;
        payload = payload.subspan(sizeBytes);
        if (size > payload.size()) {
            return {};
        }
        increments.push_back({index++, {payload.begin(), payload.begin() + static_cast<std::ptrdiff_t>(size)}});
        payload = payload.subspan(size);
    }
    if (!payload.empty() || index != lastIndex + 1) {
        return {};
    }
    return increments;
}

} // namespace mimosahollow::membership
