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

/** Increments kept for subscribers. 4 MiB hold several thousand changes; a subscriber further behind gets a snapshot. */
constexpr std::size_t maximumFeedBytes = std::size_t{4} << 20;
/** Payload of one update; leaves room for the frame and the other fields below the frame limit of 4 MiB. */
constexpr std::size_t maximumUpdateBytes = std::size_t{1} << 20;
/** Largest increment that is sent as such; an update holds at least one, and a frame is limited to 4 MiB. */
constexpr std::size_t maximumIncrementBytes = std::size_t{3} << 20;
/** Largest snapshot that a subscriber assembles: the memory target of a follower. */
constexpr std::size_t maximumSnapshotBytes = std::size_t{32} << 20;

struct Increment
{
    Version index = 0;
    std::vector<std::uint8_t> payload;
};

struct Subscriber
{
    Version nextIndex = 0; /**< 0: needs a snapshot. */
    std::uint32_t nextPart = 0; /**< Within a snapshot. */
    Version snapshotIndex = 0; /**< Snapshot that is being sent; 0: none. */
};

/** Source of the control state for subscribers: at the leader, at voters and at relays. Owned by the control thread. */
struct Feed
{
    std::deque<Increment> increments; /**< Without gaps. */
    std::size_t bytes = 0;
    Version lastIndex = 0;
    std::vector<std::uint8_t> snapshot;
    Version snapshotIndex = 0; /**< 0: no snapshot is held. */
    std::map<std::string, Subscriber, std::less<>> subscribers; /**< By link peer. */
};

/** Adds the increment after lastIndex. Returns false for any other index. */
[[nodiscard]] bool append(Feed &feed, Increment increment);

/** Gives the feed a snapshot at @p index. Increments it covers stay, so that close subscribers need no snapshot. */
void setSnapshot(Feed &feed, Version index, std::vector<std::uint8_t> snapshot);

void onSubscribe(Feed &feed, std::string_view peer, const Subscribe &subscribe);
void removeSubscriber(Feed &feed, std::string_view peer);

/** Whether a subscriber waits for a snapshot that the feed does not hold or that is too old. Call setSnapshot() then. */
[[nodiscard]] bool needsSnapshot(const Feed &feed);

/** The next update for @p peer. Returns nothing when it is up to date. */
[[nodiscard]] std::optional<Update> nextUpdate(const Feed &feed, std::string_view peer, std::string_view leader);

/** Call it when the link has taken @p update; after a full send queue call nextUpdate() again later instead. */
void markSent(Feed &feed, std::string_view peer, const Update &update);

/** Receiving side of the control state. */
struct FeedReader
{
    Version applied = 0;
    Version snapshotIndex = 0; /**< Snapshot that is being assembled. */
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
/** Nothing to do: a part of a snapshot, or indexes that are applied already. */
struct NothingToApply
{
};
/** Updates are missing or malformed; send this to the upstream instance. */
struct Resubscribe
{
    Version nextIndex = 0;
};
using ReadResult = std::variant<ApplySnapshot, ApplyIncrements, NothingToApply, Resubscribe>;

[[nodiscard]] ReadResult onUpdate(FeedReader &reader, Update update);

/** Joins increments into the payload of an update, and splits it. The split is empty for malformed bytes. */
[[nodiscard]] std::vector<std::uint8_t> joinIncrements(std::span<const Increment> increments);
[[nodiscard]] std::vector<Increment> splitIncrements(std::span<const std::uint8_t> payload, Version firstIndex, Version lastIndex);

} // namespace mimosahollow::membership
