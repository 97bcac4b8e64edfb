#include "mimosahollow/callpermits/permitissuer.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/dispatch/serverlimits.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::callpermits;

namespace {

const TimePoint start{seconds(100)};

} // namespace

// Guards against permits above the limit in any window, whatever is asked for, returned, or named in between. The seeds are fixed.
TEST_CASE("In no window more permits are used than the limit allows")
{
    const double limit = GENERATE(0.2, 3.8, 40.0);
    for (unsigned seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed << ", limit " << limit);
        std::mt19937 random(seed);
        PermitIssuer issuer;
        applyStatement(issuer, {"s1", 1, limit}, start, start);
        std::vector<TimePoint> used;
        unsigned returnable = 0;
        for (TimePoint now = start; now < start + seconds(30); now += milliseconds(7)) {
            takeBack(issuer, "s1", std::exchange(returnable, 0), now);
            for (unsigned permits = issue(issuer, "s1", static_cast<unsigned>(random() % 5), now); permits > 0; --permits) {
                random() % 4 == 0 ? static_cast<void>(++returnable) : used.push_back(now);
            }
            applyStatement(issuer, {"s1", 1, limit}, now, now); // each answer names it again
        }
        for (auto first = used.begin(); first != used.end(); ++first) {
            const auto last = std::upper_bound(first, used.end(), *first + seconds(4));
            REQUIRE(static_cast<double>(last - first) <= limit * 4.5 + 1);
        }
        CHECK(static_cast<double>(used.size()) >= limit * 30 * 0.8 - 1);
    }
}

// Guards against limits that come back, and against credit of an earlier incarnation.
TEST_CASE("The newest statement of the newest incarnation counts")
{
    PermitIssuer issuer;
    CHECK(applyStatement(issuer, {"s1", 1, 10}, start, start));
    CHECK(issue(issuer, "s1", 9, start + seconds(1)) == 5); // half a second of the limit at once

    SECTION("an older statement that arrives late")
    {
        CHECK(applyStatement(issuer, {"s1", 1, 0}, start + seconds(2), start + seconds(2)));
        CHECK_FALSE(applyStatement(issuer, {"s1", 1, 10}, start + seconds(1), start + seconds(2)));
        CHECK(issue(issuer, "s1", 1, start + seconds(3)) == 0);
        forgetEnded(issuer, start + seconds(60));
        CHECK(issuer.buckets.empty());
    }
    SECTION("a new incarnation")
    {
        CHECK(applyStatement(issuer, {"s1", 2, 10}, start + seconds(5), start + seconds(5)));
        CHECK(issue(issuer, "s1", 1, start + seconds(5)) == 0);
        CHECK_FALSE(applyStatement(issuer, {"s1", 1, 99}, start + seconds(6), start + seconds(6)));
        CHECK(issue(issuer, "s1", 9, start + seconds(6)) == 5);
    }
}

// Guards against wishes that are repeated while the leader's answer is on its way, which would take permits from other instances.
TEST_CASE("An entry instance asks once for each call and returns what it does not use")
{
    dispatch::DispatchState state;
    registry::ServerRecord record;
    record.id = "s1";
    record.born = 1;
    dispatch::updateServer(state, record, start);
    CHECK(dispatch::limitStated(state, "s1", 4.0, start));
    CHECK_FALSE(dispatch::limitStated(state, "s1", 4.0, start));
    dispatch::ServerView &server = state.servers.at("s1");
    CHECK_FALSE(dispatch::hasPermit(server, start));
    server.permitWishes = {"c1", "c2"};
    CHECK(dispatch::takePermitWishes(server, 7, start) == 2);
    server.permitWishes = {"c1", "c2"};
    CHECK(dispatch::takePermitWishes(server, 8, start + milliseconds(5)) == 0);
    dispatch::addPermits(state, "s1", 1, start + milliseconds(10));
    dispatch::permitWishesAnswered(state, 7);
    CHECK(dispatch::hasPermit(server, start + milliseconds(10)));
    server.permitWishes = {"c1", "c2"};
    CHECK(dispatch::takePermitWishes(server, 9, start + milliseconds(20)) == 1);
    CHECK(dispatch::takeExpiredPermits(server, start + milliseconds(100)) == 0);
    CHECK(dispatch::takeExpiredPermits(server, start + seconds(1)) == 1);
    CHECK_FALSE(dispatch::hasPermit(server, start + seconds(1)));

    SECTION("what the server says itself goes before the digest of the leader, which follows")
    {
        dispatch::applyLoad(state, {1, {}, true, {}}, start + milliseconds(500));
        CHECK(server.callsPerSecond == 4.0);
        dispatch::applyLoad(state, {1, {}, false, {}}, start + seconds(2)); // of a new leader that does not know the limits yet
        CHECK(server.callsPerSecond == 4.0);
        dispatch::applyLoad(state, {1, {}, true, {}}, start + seconds(2));
        CHECK(server.callsPerSecond == 0);
    }
}
