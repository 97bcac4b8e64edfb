#include "replay.h"

#include <catch2/catch.hpp>

#include <random>

using namespace mimosahollow;
using namespace mimosahollow::placement;

namespace {

/** Calls for @p perSecond adapters each second, none of them called before. */
void callColdAdapters(Replay &replay, unsigned perSecond, Duration duration, const std::string &prefix)
{
    const Duration interval = fromSeconds(1.0 / perSecond);
    unsigned number = 0;
    TimePoint next = replay.now;
    for (const TimePoint end = replay.now + duration; replay.now < end; replay.step()) {
        for (; next <= replay.now; next += interval) {
            replay.call(prefix + std::to_string(number++));
        }
    }
}

} // namespace

// Load pattern: loads take 288 ms instead of the assumed 250. Guards against calls that all come too early, get 421 and use up the retry budget.
TEST_CASE("Calls find adapters that load more slowly than assumed")
{
    Replay replay(40, milliseconds(288));
    callColdAdapters(replay, 100, milliseconds(1300), "first"); // the first loads end, and reports tell that they were late
    replay.counts = {};
    callColdAdapters(replay, 100, seconds(4), "second");
    INFO("missing " << replay.counts.missing << " of " << replay.counts.sent);
    CHECK(replay.counts.sent > 200);
    CHECK(replay.counts.missing < replay.counts.sent / 5);
    CHECK_FALSE(replay.wasOverfilled());
}

// Guards against a change for earlier deployments, whose loads take 250 ms.
TEST_CASE("Calls find adapters that load as fast as assumed")
{
    Replay replay(40, milliseconds(250));
    callColdAdapters(replay, 50, seconds(5), "a");
    CHECK(replay.counts.sent > 200);
    CHECK(replay.counts.missing <= replay.counts.sent / 50);
}

// Load pattern: demand moves to cold adapters while others stay in use. Guards against the eviction of those, whose calls then wait too.
TEST_CASE("Demand that moves to cold adapters evicts none that is in use")
{
    Replay replay(4, milliseconds(250)); // 32 slots
    const auto run = [&replay](Duration duration, unsigned firstCold) {
        TimePoint next = replay.now;
        unsigned number = 0;
        for (const TimePoint end = replay.now + duration; replay.now < end; replay.step()) {
            if (replay.now < next) {
                continue;
            }
            next += milliseconds(50);
            replay.call("used" + std::to_string(number % 10)); // each twice a second
            if (number++ % 2 == 0) {
                replay.call("cold" + std::to_string(firstCold + number % 36));
            }
        }
    };
    run(seconds(8), 0);
    replay.counts = {};
    run(seconds(8), 100);
    std::set<std::string> held;
    for (const auto &[id, engine] : replay.leader.engines) {
        for (const auto &[key, copy] : engine.adapters) {
            held.insert(key.adapter);
        }
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(held.contains("used" + std::to_string(i)));
    }
    CHECK(replay.counts.waited <= 90); // 80 calls for cold adapters
    CHECK_FALSE(replay.wasOverfilled());
}

// Load pattern: new versions of an adapter in demand. Guards against calls that wait for a load, and against calls on the older version after its time.
TEST_CASE("No call waits for a new version of an adapter in demand")
{
    Replay replay(4, milliseconds(288));
    const auto run = [&replay](Duration duration) {
        unsigned step = 0;
        for (const TimePoint end = replay.now + duration; replay.now < end; replay.step()) {
            if (step++ % 50 == 0) {
                replay.call("a1");
            }
        }
    };
    run(seconds(5));
    replay.counts = {};
    for (std::uint64_t version = 2; version < 5; ++version) {
        replay.require("a1", version);
        run(seconds(5));
    }
    CHECK(replay.counts.sent >= 300);
    CHECK(replay.counts.waited == 0);
    CHECK(replay.counts.refused == 0);
    CHECK(replay.counts.onOlder > 0);
    CHECK(replay.longestOnOlder < seconds(3));
    CHECK_FALSE(replay.wasOverfilled());
}

// Guards against calls that are sent to an evicted copy again and again, and against a load time that rises for them.
TEST_CASE("An adapter that an engine has evicted by itself is loaded again")
{
    Replay replay(2, milliseconds(250));
    replay.call("a1");
    for (int i = 0; i < 2000; ++i) {
        replay.step();
    }
    REQUIRE(replay.counts.missing == 0);
    const Duration loadTime = replay.leader.loadTime.value;
    replay.evict("a1");
    replay.counts = {};
    replay.call("a1");
    for (int i = 0; i < 1500; ++i) {
        replay.step();
    }
    CHECK(replay.counts.missing == 1);
    CHECK(replay.counts.sent == 2);
    CHECK(replay.leader.loadTime.value <= loadTime);
}
