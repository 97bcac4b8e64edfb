#pragma once

#include "mimosahollow/membership/distribution.h"
#include "mimosahollow/membership/leasetime.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::membership {

/** Limit of the increments retained for subscribers. 4 MiB hold several thousand changes; a subscriber further behind gets a snapshot. */
constexpr std::size_t maximumFeedBytes = std::size_t{4} << 20;
/** Target payload size of one update; leaves room for the frame header and other fields below the frame limit of 4 MiB. */
constexpr std::size_t maximumUpdateBytes = std::size_t{1} << 20;
/** Larger increments are delivered in a snapshot: an update holds at least one whole increment, and a frame is limited to 4 MiB. */
constexpr std::size_t maximumIncrementBytes = std::size_t{3} << 20;
/** Largest snapshot that a subscriber assembles; equals the memory target of a follower. */
constexpr std::size_t maximumSnapshotBytes = std::size_t{32} << 20;

struct Increment
{
    Version index = 0;
    std::vector<std::uint8_t> payload;
};

struct Subscriber
{
    Version nextIndex = 0; /**< 0: needs a snapshot. */
    std::uint32_t nextPart = 0; /**< Next part of the snapshot being sent. */
    Version snapshotIndex = 0; /**< Log index of the snapshot being sent; 0: none. */
};

/** Distributes the control state to subscribers; used by the leader, voters and relays. Owned by the control thread. */
struct Feed
{
    std::deque<Increment> increments; /**< Contiguous log indexes. */
    std::size_t incrementBytes = 0;
    Version lastIndex = 0;
    std::vector<std::uint8_t> snapshot;
    Version snapshotIndex = 0; /**< 0: no snapshot is stored. */
    std::map<std::string, Subscriber, std::less<>> subscribers; /**< By link peer. */
};

/** Appends the increment at lastIndex + 1. Returns false for any other index. */
[[nodiscard]] bool append(Feed &feed, Increment increment);

/** Stores a snapshot at @p index. Increments that it covers are kept, so that subscribers only slightly behind need no snapshot. */
void setSnapshot(Feed &feed, Version index, std::vector<std::uint8_t> snapshot);

void onSubscribe(Feed &feed, std::string_view peer, const Subscribe &subscribe);
void removeSubscriber(Feed &feed, std::string_view peer);

/** Whether a subscriber needs a snapshot and the stored one is missing or too old. If true, call setSnapshot(). */
[[nodiscard]] bool needsSnapshot(const Feed &feed);

/** Returns the next update for @p peer, or nothing if the peer is up to date or must wait for a snapshot. */
[[nodiscard]] std::optional<Update> nextUpdate(const Feed &feed, std::string_view peer, std::string_view leader);

/** Call it once the link has accepted @p update. If the send queue is full, call nextUpdate() again later instead. */
void markSent(Feed &feed, std::string_view peer, const Update &update);

/** State of a subscriber that reads updates. */
struct FeedReader
{
    Version applied = 0;
    Version snapshotIndex = 0; /**< Log index of the snapshot being assembled; 0: none. */
    std::uint32_t nextPart = 0;
    std::vector<std::uint8_t> assembled;
};

struct ApplySnapshot
{
    Version index = 0;
    std::vector<std::uint8_t> payload;
};
struct ApplyIncrements
{
    Version firstIndex = 0;
    Version lastIndex = 0;
    std::vector<Increment> increments;
};
/** The update was an incomplete snapshot, or was already applied. */
struct NothingToApply
{
};
/** An update is missing or malformed; subscribe to the upstream instance again from nextIndex. */
struct Resubscribe
{
    Version nextIndex = 0;
};
using ReadResult = std::variant<ApplySnapshot, ApplyIncrements, NothingToApply, Resubscribe>;

[[nodiscard]] ReadResult onUpdate(FeedReader &reader, Update update);

/** Encodes increments as the payload of an update, each with a 4-byte little-endian length prefix. */
[[nodiscard]] std::vector<std::uint8_t> joinIncrements(std::span<const Increment> increments);
/** Decodes the payload of an update. Returns an empty vector if it is malformed. */
[[nodiscard]] std::vector<Increment> splitIncrements(std::span<const std::uint8_t> payload, Version firstIndex, Version lastIndex);

} // namespace mimosahollow::membership
