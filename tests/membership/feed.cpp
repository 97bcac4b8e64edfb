#include "mimosahollow/membership/feed.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::membership;

namespace {

/** Subscriber whose state is the sum of the payload bytes that it has applied. */
struct Follower
{
    FeedReader reader;
    std::uint64_t sum = 0;
    std::size_t snapshots = 0;

    /** Returns the index to subscribe from when updates are missing. */
    std::optional<Version> receive(const Update &update)
    {
        ReadResult result = onUpdate(reader, update);
        if (auto *snapshot = std::get_if<ApplySnapshot>(&result)) {
            ++snapshots;
            sum = 0;
            add(snapshot->payload);
        } else if (auto *increments = std::get_if<ApplyIncrements>(&result)) {
            for (const Increment &increment : increments->increments) {
                add(increment.payload);
            }
        } else if (const auto *again = std::get_if<Resubscribe>(&result)) {
            return again->nextIndex;
        }
        return std::nullopt;
    }

    void add(const std::vector<std::uint8_t> &payload)
    {
        for (const std::uint8_t byte : payload) {
            sum += byte;
        }
    }
};

/** Sends all pending updates and drops those whose number satisfies @p isLost. Returns the number of updates sent. */
template<typename IsLost>
std::size_t deliverUpdates(Feed &feed, Follower &follower, IsLost isLost)
{
    std::size_t count = 0;
    while (const auto update = nextUpdate(feed, "f", "leader")) {
        markSent(feed, "f", *update);
        if (isLost(count++)) {
            continue;
        }
        if (const auto next = follower.receive(*update)) {
            onSubscribe(feed, "f", {InstanceId(1), 1, *next});
        }
    }
    return count;
}

constexpr auto noLoss = [](std::size_t) {
    return false;
};

} // namespace

// Guards against followers that skip a change, apply one twice, or return to an older state, after updates are lost,
// duplicated, malformed or too large for a frame.
TEST_CASE("A follower applies the updates of the control state in order")
{
    Feed feed;
    for (Version index = 1; index <= 100; ++index) {
        REQUIRE(append(feed, {index, {1}}));
    }
    REQUIRE_FALSE(append(feed, {102, {1}}));
    Follower follower;
    onSubscribe(feed, "f", {InstanceId(1), 1, 0});

    SECTION("a follower without state waits for a snapshot, then gets the increments after it")
    {
        REQUIRE(needsSnapshot(feed));
        REQUIRE_FALSE(nextUpdate(feed, "f", "").has_value());
        setSnapshot(feed, 60, std::vector<std::uint8_t>(60, 1));
        REQUIRE_FALSE(needsSnapshot(feed));
        deliverUpdates(feed, follower, noLoss);
        REQUIRE(follower.reader.applied == 100);
        REQUIRE(follower.sum == 100);

        SECTION("a lost update is detected at the next one and requested again")
        {
            REQUIRE(append(feed, {101, {1}}));
            deliverUpdates(feed, follower, [](std::size_t) {
                return true;
            });
            REQUIRE(append(feed, {102, {1}}));
            deliverUpdates(feed, follower, noLoss);
            REQUIRE(follower.reader.applied == 102);
            REQUIRE(follower.sum == 102);
        }
        SECTION("a duplicate update or an older snapshot changes nothing")
        {
            Update old{true, 60, 60, 0, 1, "", std::vector<std::uint8_t>(60, 1)};
            REQUIRE_FALSE(follower.receive(old).has_value());
            Update again{false, 90, 100, 0, 1, "", joinIncrements(std::vector<Increment>(11, {0, {1}}))};
            REQUIRE_FALSE(follower.receive(again).has_value());
            REQUIRE(follower.sum == 100);
        }
        SECTION("a malformed update is requested again")
        {
            REQUIRE(follower.receive({false, 101, 101, 0, 1, "", {9, 0, 0, 0, 1}}) == 101);
            REQUIRE(follower.sum == 100);
        }
    }

    SECTION("a snapshot larger than a frame is sent in parts, and a lost part restarts it")
    {
        setSnapshot(feed, 100, std::vector<std::uint8_t>(maximumUpdateBytes * 2 + 5, 2));
        const std::size_t updates = deliverUpdates(feed, follower, [](std::size_t number) {
            return number == 1;
        });
        REQUIRE(updates == 6);
        REQUIRE(follower.snapshots == 1);
        REQUIRE(follower.sum == (maximumUpdateBytes * 2 + 5) * 2);
    }

    SECTION("a follower too far behind, or behind an increment larger than a frame, gets a snapshot")
    {
        setSnapshot(feed, 100, std::vector<std::uint8_t>(100, 1));
        deliverUpdates(feed, follower, noLoss);
        REQUIRE(append(feed, {101, std::vector<std::uint8_t>(maximumIncrementBytes + 1, 0)}));
        REQUIRE(needsSnapshot(feed));
        setSnapshot(feed, 101, std::vector<std::uint8_t>(100, 3));
        deliverUpdates(feed, follower, noLoss);
        REQUIRE(follower.snapshots == 2);
        REQUIRE(follower.sum == 300);
    }
}
