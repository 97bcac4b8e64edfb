#include "replay.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace mimosahollow;
using namespace mimosahollow::tests;

// Guards against slow engines that get as many calls as fast ones.
TEST_CASE("Engines that differ in speed by 2.4 get calls in proportion")
{
    const double load = GENERATE(30.0, 50.0, 90.0);
    Replay byPace(true);
    Replay byLoad(false);
    for (Replay *replay : {&byPace, &byLoad}) {
        for (unsigned engine = 0; engine < engines; ++engine) {
            replay->factors[engine] = 0.65 * std::pow(2.4, engine / (engines - 1.0));
        }
        replay->run(seconds(4), load);
        replay->startCounting();
        replay->run(seconds(10), load);
    }
    CHECK(byPace.share(0) + byPace.share(1) > 2.4 * (byPace.share(engines - 1) + byPace.share(engines - 2)));
    CHECK(byPace.meanTime() < byLoad.meanTime());
    CHECK(byPace.refused == 0);
    SECTION("the slow ones only when the fast ones are fuller")
    {
        CHECK(byPace.meanFill(0) + byPace.meanFill(1) > byPace.meanFill(engines - 1) + byPace.meanFill(engines - 2));
    }
}

// Guards against calls at an engine that is slow for some seconds, and against one that is left idle after that.
TEST_CASE("An engine that turns slow loses its calls within a second and gets them back")
{
    constexpr double load = 60;
    Replay replay(true);
    replay.run(seconds(4), load);
    replay.factors[3] = GENERATE(5.0, 7.5);
    replay.run(milliseconds(700), load);
    replay.startCounting();
    replay.run(seconds(2), load);
    CHECK(replay.share(3) < 0.1);

    replay.factors[3] = 1;
    replay.run(milliseconds(1000), load);
    replay.startCounting();
    replay.run(seconds(2), load);
    CHECK(replay.share(3) > 0.5);
}

// Guards against calls that follow every change of a machine that is shared with others.
TEST_CASE("Paces that alternate several times a second do not move the calls")
{
    Replay byPace(true);
    Replay byLoad(false);
    for (Replay *replay : {&byPace, &byLoad}) {
        replay->everyStep = [replay] {
            const auto phase = (replay->now - TimePoint{}) / milliseconds(120);
            for (unsigned engine = 0; engine < engines; ++engine) {
                replay->factors[engine] = (phase + engine) % 2 == 0 ? 0.6 : 1.6;
            }
        };
        replay->run(seconds(4), 70);
        replay->startCounting();
        replay->run(seconds(10), 70);
    }
    CHECK(byPace.changes < 5);
    CHECK(byPace.meanTime() < 1.03 * byLoad.meanTime());
}

// Guards against a change for fleets whose servers are alike, and against figures that do harm.
TEST_CASE("Without known differences calls go where they would go by load alone")
{
    Replay byPace(true);
    Replay byLoad(false);
    SECTION("with equal paces")
    {
    }
    SECTION("with figures that do not arrive")
    {
        byPace.factors[2] = 4;
        byLoad.factors[2] = 4;
        byPace.forgery = [](fleetlink::LoadDigest &digest) {
            digest.paces.clear();
        };
    }
    SECTION("with figures that are none, or for servers that do not exist")
    {
        byPace.forgery = [](fleetlink::LoadDigest &digest) {
            digest.paces = {{registry::serverKey("s03"), 0}, {12'345, 900}};
        };
    }
    byPace.run(seconds(5), 60);
    byLoad.run(seconds(5), 60);
    CHECK(byPace.sent == byLoad.sent);
}

// Guards against a server that draws the calls of all others by figures that are too good.
TEST_CASE("A false figure draws a bounded number of calls")
{
    Replay replay(true);
    replay.forgery = [](fleetlink::LoadDigest &digest) {
        digest.paces = {{registry::serverKey("s05"), 1}};
    };
    replay.run(seconds(2), 60);
    replay.startCounting();
    replay.run(seconds(5), 60);
    CHECK(replay.share(5) < 3);
    CHECK(replay.refused == 0);
}
