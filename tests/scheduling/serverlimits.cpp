#include "poolfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using namespace mimosahollow::scheduling::testing;

namespace {

/** The server of @p grant names @p callsPerSecond in its answer. */
void nameLimit(PoolFixture &pool, const Grant &grant, double callsPerSecond)
{
    pool.actions.clear();
    applyLimit(pool.state, {grant.id, grant.grant, grant.fencing, callsPerSecond}, pool.now, pool.actions);
}

} // namespace

// Guards against requests that wait until their deadlines although the limits of all servers let none of them start before.
TEST_CASE("Requests that limits let start too late are refused as soon as the limits are known")
{
    PoolFixture pool(2, 1);
    std::vector<Grant> running;
    for (unsigned i = 0; i < 2; ++i) {
        pool.submitRequest(0);
        running.push_back(pool.only<Grant>().value());
    }
    std::vector<RequestId> waiting;
    for (unsigned i = 0; i < 12; ++i) {
        waiting.push_back(pool.submitRequest(0, 1, 100, milliseconds(5500)));
        pool.now += milliseconds(1);
    }
    nameLimit(pool, running[0], 0.5);
    CHECK(pool.all<Refusal>().empty()); // the other server may start them all
    nameLimit(pool, running[1], 0.5);

    SECTION("those that do not get a permit in time, with the time at which one is free for each of them")
    {
        const auto refused = pool.all<Refusal>();
        REQUIRE(refused.size() == 8);
        for (std::size_t i = 0; i < refused.size(); ++i) {
            CHECK(refused[i].id == waiting[i + 4]);
            CHECK(refused[i].reason == RefusalReason::Overloaded);
            CHECK(toSeconds(refused[i].retryAfter) == Approx(6.0 + 2.0 * static_cast<double>(i / 2)));
        }
    }
    SECTION("those that stay are served before their deadlines")
    {
        std::size_t served = 0;
        for (unsigned step = 0; step < 60; ++step) {
            for (const Grant &grant : std::exchange(running, {})) {
                pool.returnGrant(grant);
                const auto granted = pool.all<Grant>();
                running.insert(running.end(), granted.begin(), granted.end());
                served += granted.size();
            }
            pool.advance(milliseconds(100));
            CHECK(pool.all<Refusal>().empty());
            const auto granted = pool.all<Grant>();
            running.insert(running.end(), granted.begin(), granted.end());
            served += granted.size();
        }
        CHECK(served == 4);
    }
    SECTION("a request of another organisation takes its turn, and the one that now starts too late is refused")
    {
        const RequestId other = pool.submitRequest(0, 2, 100, milliseconds(2500));
        const auto refused = pool.only<Refusal>();
        REQUIRE(refused);
        CHECK(refused->id == waiting[3]);
        CHECK(refused->id != other);
    }
    SECTION("a request that would start too late itself is refused when it arrives")
    {
        const RequestId late = pool.submitRequest(0, 1, 100, milliseconds(3000));
        REQUIRE(pool.only<Refusal>());
        CHECK(pool.only<Refusal>()->id == late);
        CHECK(toSeconds(pool.only<Refusal>()->retryAfter) == Approx(6.0));
    }
    SECTION("requests may wait again once a server has no limit")
    {
        nameLimit(pool, running[0], 0);
        pool.submitRequest(0, 1, 100, milliseconds(3000));
        CHECK(pool.all<Refusal>().empty());
    }
}
