#include "mimosahollow/callpermits/permitissuer.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/dispatch/serverlimits.h"
#include "support/windows.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::callpermits;
using mimosahollow::tests::mostInWindow;

namespace {

const TimePoint start{seconds(100)};

/** Entry instances that always have calls for one backend server, and a leader that some of them reach. */
struct LimitedFleet
{
    LimitedFleet(unsigned count, double limit, unsigned seed) : entries(count), isReached(count, true)
    {
        applyStatement(issuer, {"s1", 1, limit}, start, start);
        registry::ServerRecord record;
        record.id = "s1";
        record.born = 1;
        for (dispatch::DispatchState &entry : entries) {
            entry.random.seed(++seed);
            entry.entryInstances = count;
            dispatch::updateServer(entry, record, start);
            dispatch::limitStated(entry, "s1", limit, start);
        }
    }

    /** @p reachesLeader decides for each entry instance. */
    template<typename Reaches>
    void setContact(Reaches reachesLeader)
    {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            isReached[i] = reachesLeader();
            dispatch::setLeaderless(entries[i], !isReached[i]);
        }
        const auto reached = static_cast<double>(std::count(isReached.begin(), isReached.end(), true));
        setIssuedShare(issuer, reached / static_cast<double>(entries.size()), now);
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += milliseconds(20)) {
            for (std::size_t i = 0; i < entries.size(); ++i) {
                dispatch::ServerView &server = entries[i].servers.at("s1");
                if (isReached[i] && server.permits == 0) {
                    dispatch::addPermits(entries[i], "s1", issue(issuer, "s1", 1, now), now);
                }
                if (dispatch::hasPermit(entries[i], server, now)) {
                    dispatch::callStarted(entries[i], "s1", now);
                    sends.push_back(now);
                }
            }
        }
    }

    PermitIssuer issuer;
    std::vector<dispatch::DispatchState> entries;
    std::vector<bool> isReached;
    std::vector<TimePoint> sends;
    TimePoint now = start;
};

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
        REQUIRE(static_cast<double>(mostInWindow(used, seconds(4))) <= limit * 4.5 + 1);
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

// Guards against backend servers with a limit that get no calls while no leader answers, and against more calls than they take while only some
// entry instances reach it. The seeds are fixed.
TEST_CASE("Entry instances without a leader use their shares of a limit")
{
    const unsigned count = GENERATE(2U, 6U, 193U);
    const double limit = GENERATE(0.5, 4.0);
    const bool isContactPartial = GENERATE(false, true);
    constexpr unsigned time = 30; // seconds
    for (unsigned seed = 1; seed <= 10; ++seed) {
        INFO(count << " entry instances, limit " << limit << ", " << (isContactPartial ? "some reach" : "none reaches") << " the leader, seed " << seed);
        LimitedFleet fleet(count, limit, 1000 * seed);
        std::mt19937 random(seed);

        for (unsigned second = 0; second < time; ++second) {
            const auto reachingTenths = static_cast<unsigned>(isContactPartial ? random() % 11 : 0);
            fleet.setContact([&random, reachingTenths] {
                return random() % 10 < reachingTenths;
            });
            fleet.run(seconds(1));
        }
        CHECK(static_cast<double>(mostInWindow(fleet.sends, seconds(4))) <= 1.5 * 4 * limit + 5);
        CHECK(static_cast<double>(fleet.sends.size()) >= 0.5 * limit * time);
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
    CHECK_FALSE(dispatch::hasPermit(state, server, start));
    server.permitWishes = {"c1", "c2"};
    CHECK(dispatch::takePermitWishes(server, 7, start) == 2);
    server.permitWishes = {"c1", "c2"};
    CHECK(dispatch::takePermitWishes(server, 8, start + milliseconds(5)) == 0);
    dispatch::addPermits(state, "s1", 1, start + milliseconds(10));
    dispatch::permitWishesAnswered(state, 7);
    CHECK(dispatch::hasPermit(state, server, start + milliseconds(10)));
    server.permitWishes = {"c1", "c2"};
    CHECK(dispatch::takePermitWishes(server, 9, start + milliseconds(20)) == 1);
    CHECK(dispatch::takeExpiredPermits(server, start + milliseconds(100)) == 0);
    CHECK(dispatch::takeExpiredPermits(server, start + seconds(1)) == 1);
    CHECK_FALSE(dispatch::hasPermit(state, server, start + seconds(1)));

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
