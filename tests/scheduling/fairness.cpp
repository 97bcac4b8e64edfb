#include "poolfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using testing::PoolFixture;

// Guards against an organisation that occupies all slots because it sends the most requests.
TEST_CASE("A free slot goes to the organisation that was served least")
{
    PoolFixture pool(1, 1, 2, 1);
    pool.submitRequest(0, 1);
    auto running = pool.only<Grant>().value();
    for (int i = 0; i < 50; ++i) {
        pool.submitRequest(0, 1);
    }
    const RequestId small = pool.submitRequest(0, 2);
    // Organisation 2 starts with the virtual time of organisation 1, so its request is the second of the next grants at the latest.
    pool.returnGrant(running);
    auto next = pool.only<Grant>().value();
    if (next.id != small) {
        pool.returnGrant(next);
        next = pool.only<Grant>().value();
    }
    REQUIRE(next.id == small);

    SECTION("then both organisations alternate")
    {
        for (int i = 0; i < 4; ++i) {
            pool.submitRequest(0, 2);
        }
        int ofSmall = 0;
        for (int i = 0; i < 6; ++i) {
            pool.returnGrant(next);
            next = pool.only<Grant>().value();
            ofSmall += pool.all<DecisionRecord>().front().organisation == OrganisationId{2} ? 1 : 0;
        }
        REQUIRE(ofSmall == 3);
    }
}

// Guards against an organisation that uses up the load budget, or occupies the adapter slots, because it sends the most requests.
TEST_CASE("Loads go to an organisation with a short queue first")
{
    PoolFixture pool(1, 1, 2, 1);
    pool.state.loadTokens = 0;
    for (std::uint32_t adapter = 10; adapter < 20; ++adapter) {
        pool.submitRequest(adapter, 1);
    }
    REQUIRE(pool.state.urgentLoadTokenDemand == 0);
    pool.submitRequest(30, 2);
    REQUIRE(pool.state.urgentLoadTokenDemand == 1);
    pool.actions.clear();
    grantLoadTokens(pool.state, 1, pool.now, pool.actions);
    REQUIRE(pool.only<Order>()->adapter == AdapterId{30});

    SECTION("idle adapters of the organisation with the long queue are evicted first")
    {
        pool.finish(pool.only<Order>().value());
        const auto running = pool.only<Grant>().value();
        pool.actions.clear();
        grantLoadTokens(pool.state, 1, pool.now, pool.actions);
        const auto load = pool.only<Order>().value();
        pool.finish(load);
        pool.returnGrant(running);
        pool.returnGrant(pool.only<Grant>().value());
        pool.actions.clear();
        grantLoadTokens(pool.state, 1, pool.now, pool.actions);
        REQUIRE(pool.only<Order>()->kind == OrderKind::Unload);
        REQUIRE(pool.only<Order>()->adapter == load.adapter);
    }
}

// Guards against credit for idle time: an organisation that was idle would starve the others for as long as it was idle.
TEST_CASE("An organisation that becomes active starts at the lowest active virtual time")
{
    PoolFixture pool(1, 1, 2, 1);
    for (int i = 0; i < 100; ++i) {
        pool.submitRequest(0, 1);
        pool.returnGrant(pool.only<Grant>().value());
    }
    pool.submitRequest(0, 1);
    const auto running = pool.only<Grant>().value();
    pool.submitRequest(0, 1);
    pool.submitRequest(0, 2);
    REQUIRE(pool.state.organisations[2].servedTokens >= pool.state.organisations[1].servedTokens);
    pool.returnGrant(running);
}

// Guards against short requests that wait behind long ones, and against long requests that shorter ones overtake forever.
TEST_CASE("Within an organisation shorter requests go first, for a bounded time")
{
    PoolFixture pool(1, 1, 2, 1);
    pool.submitRequest(0);
    const auto running = pool.only<Grant>().value();
    const RequestId longOne = pool.submitRequest(0, 1, 4000);
    SECTION("a short request overtakes a long one that arrived shortly before")
    {
        pool.now += milliseconds(500);
        const RequestId shortOne = pool.submitRequest(0, 1, 10);
        pool.returnGrant(running);
        REQUIRE(pool.only<Grant>()->id == shortOne);
    }
    SECTION("a short request does not overtake after two seconds")
    {
        pool.now += milliseconds(2100);
        pool.submitRequest(0, 1, 10);
        pool.returnGrant(running);
        REQUIRE(pool.only<Grant>()->id == longOne);
    }
}

// Guards against unbounded memory use, and against refusals to an organisation because the queue of another one is full.
TEST_CASE("The queue of an organisation is bounded")
{
    PoolFixture pool(1, 1, 2, 1);
    for (int i = 0; i < 1025; ++i) {
        pool.submitRequest(0, 1);
        REQUIRE(pool.all<Refusal>().empty());
    }
    pool.submitRequest(0, 1);
    REQUIRE(pool.only<Refusal>()->reason == RefusalReason::Overloaded);
    pool.submitRequest(0, 2);
    REQUIRE(pool.all<Refusal>().empty());
}

// Guards against grants for cancelled requests and lost entry instances, and against a request that runs or counts twice because
// a message was repeated.
TEST_CASE("Cancelled, repeated and expired requests")
{
    PoolFixture pool(1, 1, 2, 1);
    pool.submitRequest(0);
    const auto running = pool.only<Grant>().value();
    const RequestId waiting = pool.submitRequest(0, 1, 100, seconds(2));
    SECTION("a cancelled request is not granted")
    {
        pool.actions.clear();
        cancel(pool.state, waiting, pool.now, pool.actions);
        pool.returnGrant(running);
        REQUIRE(pool.actions.empty());
    }
    SECTION("a request sent twice is granted once")
    {
        --pool.sequence;
        pool.submitRequest(0);
        pool.returnGrant(running);
        REQUIRE(pool.all<Grant>().size() == 1);
        REQUIRE(pool.state.waiting == 0);
    }
    SECTION("a release sent twice counts once")
    {
        pool.returnGrant(running);
        pool.returnGrant(running);
        REQUIRE(pool.state.servers[0].grants == 1);
    }
    SECTION("a waiting request ends at its deadline, and so does the grant of a lost entry instance")
    {
        pool.advance(seconds(2));
        REQUIRE(pool.only<Refusal>()->reason == RefusalReason::DeadlineExceeded);
        pool.report(1, 1, {});
        pool.advance(milliseconds(27999));
        REQUIRE(pool.state.servers[0].grants == 1);
        pool.advance(milliseconds(1));
        REQUIRE(pool.state.servers[0].grants == 0);
    }
}
