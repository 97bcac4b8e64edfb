#include "poolfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using testing::PoolFixture;

// Guards against one load for each waiting request, which would exhaust the weight store.
TEST_CASE("One load serves all requests that wait for the adapter")
{
    PoolFixture pool(2);
    pool.submitRequest(9);
    const auto load = pool.only<Order>();
    REQUIRE(load);
    REQUIRE(load->kind == OrderKind::Load);
    REQUIRE(load->fencing == 5);
    pool.submitRequest(9, 2);
    REQUIRE(pool.all<Order>().empty());

    SECTION("and both are granted on that server when it is done")
    {
        pool.finish(*load);
        const auto grants = pool.all<Grant>();
        REQUIRE(grants.size() == 2);
        REQUIRE(grants[0].server == load->server);
        REQUIRE(grants[1].server == load->server);
        REQUIRE(grants[0].adapter == AdapterId{9});
    }
}

// Guards against waiting for a load that an engine lost when it restarted.
TEST_CASE("An engine that restarts empty during a load")
{
    PoolFixture pool(1);
    pool.submitRequest(9);
    const auto first = pool.only<Order>().value();
    pool.announce(1, 2);

    SECTION("is ordered to load again")
    {
        const auto second = pool.only<Order>();
        REQUIRE(second);
        REQUIRE(second->order != first.order);
        REQUIRE(pool.state.loadsInFlight == 1);

        SECTION("and the late result of the first order does not count")
        {
            pool.finish(first);
            REQUIRE(pool.all<Grant>().empty());
            pool.finish(*second);
            REQUIRE(pool.only<Grant>());
        }
    }
}

// Guards against grants on an engine that lost its adapters without a new incarnation number.
TEST_CASE("A report that lists fewer adapters than known")
{
    PoolFixture pool(1, 8, 2, 1);
    pool.loadAdapter(9);
    const auto limit = pool.state.servers[0].slowStart.limit;
    REQUIRE(limit > 1);

    SECTION("does not count while it may be older than the load")
    {
        pool.now += seconds(1);
        pool.report(1, 0, {});
        pool.submitRequest(9);
        REQUIRE(pool.only<Grant>());
    }
    SECTION("counts when it must be younger, and the engine starts cold")
    {
        pool.now += seconds(3);
        pool.report(1, 0, {});
        REQUIRE(pool.state.servers[0].slowStart.limit == 1);
        pool.submitRequest(9);
        REQUIRE(pool.all<Grant>().empty());
        REQUIRE(pool.only<Order>());
    }
}

// Guards against a second try on the same faulty server, and against tries without a pause.
TEST_CASE("A load that fails is retried on another server after a delay")
{
    PoolFixture pool(2);
    pool.submitRequest(9);
    auto order = pool.only<Order>().value();
    const ServerId firstServer = order.server;
    pool.finish(order, OrderOutcome::Refused);
    REQUIRE(pool.all<Order>().empty());
    pool.advance(milliseconds(190));
    REQUIRE(pool.all<Order>().empty());
    pool.advance(milliseconds(10));
    order = pool.only<Order>().value();
    REQUIRE(order.server != firstServer);

    SECTION("with a delay that doubles")
    {
        pool.finish(order, OrderOutcome::Refused);
        pool.advance(milliseconds(390));
        REQUIRE(pool.all<Order>().empty());
        pool.advance(milliseconds(10));
        REQUIRE(pool.only<Order>());
    }
    SECTION("up to 5 s")
    {
        for (int i = 0; i < 8; ++i) {
            pool.finish(order, OrderOutcome::StaleFencing);
            pool.now += seconds(5);
            pool.announce(1, 1);
            pool.announce(2, 1);
            const auto orders = pool.all<Order>();
            REQUIRE(orders.size() <= 1);
            if (orders.empty()) {
                break; // the request has no time left for another try
            }
            order = orders.front();
        }
        REQUIRE(pool.state.adapters[9].retryAt - pool.now <= seconds(5));
    }
}

// Guards against a hung load that blocks its requests, or whose slot is given away while the load may still arrive.
TEST_CASE("A load that hangs")
{
    PoolFixture pool(2, 4, 1);
    pool.submitRequest(9);
    const auto hung = pool.only<Order>().value();
    const std::uint32_t hungServer = number(hung.server);
    pool.advanceWithReports(seconds(5), {{}, {}});
    const auto &slots = pool.state.servers[hungServer - 1].slots;
    REQUIRE(slots.size() == 1);
    REQUIRE(slots[0].phase == SlotPhase::Unknown);

    SECTION("is retried on another server")
    {
        pool.advance(milliseconds(200));
        const auto retry = pool.only<Order>().value();
        REQUIRE(retry.server != hung.server);
        pool.finish(retry);
        REQUIRE(pool.only<Grant>()->server == retry.server);
    }
    SECTION("counts when it finishes late")
    {
        pool.finish(hung);
        REQUIRE(pool.only<Grant>()->server == hung.server);
    }
    SECTION("frees its slot only when a young report does not list the adapter")
    {
        pool.now += seconds(1);
        pool.report(hungServer, 0, {});
        REQUIRE(slots.size() == 1);
        pool.now += seconds(1);
        pool.report(hungServer, 0, {});
        REQUIRE(slots.empty());
    }
    SECTION("is known from a report that lists the adapter, even without a result")
    {
        pool.now += seconds(2);
        pool.report(hungServer, 0, {AdapterId{9}});
        REQUIRE(slots[0].phase == SlotPhase::Resident);
        REQUIRE(pool.all<Grant>().size() == 1);
    }
}

// Guards against spending the store's tokens beyond the budget, and against losing count of wanted ones.
TEST_CASE("Loads need tokens and places in flight")
{
    PoolFixture pool(3);
    SECTION("without tokens the pool says how many it wants")
    {
        pool.state.loadTokens = 0;
        pool.submitRequest(8);
        pool.submitRequest(9);
        REQUIRE(pool.all<Order>().empty());
        REQUIRE(pool.state.loadTokenDemand == 3); // two loads and the reserve
        pool.actions.clear();
        grantLoadTokens(pool.state, 1, pool.now, pool.actions);
        REQUIRE(pool.only<Order>());
    }
    SECTION("without a place in flight the load waits for one")
    {
        pool.state.settings.maximumLoadsInFlight = 1;
        pool.submitRequest(8);
        const auto first = pool.only<Order>().value();
        pool.submitRequest(9);
        REQUIRE(pool.all<Order>().empty());
        pool.finish(first);
        REQUIRE(pool.only<Order>()->adapter == AdapterId{9});
    }
}

// Guards against requests that wait for a load only to miss their deadline.
TEST_CASE("A request that the load queue would make late is refused at once")
{
    PoolFixture pool(4);
    pool.state.loadTokens = 0;
    for (std::uint32_t adapter = 1; adapter <= 8; ++adapter) {
        pool.submitRequest(adapter);
    }
    pool.submitRequest(20, 1, 100, seconds(2)); // nine loads at 4 a second take longer
    REQUIRE(pool.only<Refusal>()->reason == RefusalReason::Overloaded);
    REQUIRE(pool.only<Refusal>()->retryAfter > seconds(2));
    pool.submitRequest(21, 1, 100, seconds(10));
    REQUIRE(pool.all<Refusal>().empty());

    SECTION("and a waiting one as soon as its load can no longer finish in time")
    {
        pool.advance(seconds(4));
        pool.announce(1, 1);
        pool.advance(seconds(4));
        pool.announce(1, 1);
        pool.advance(milliseconds(1800));
        REQUIRE(pool.only<Refusal>()->reason == RefusalReason::Overloaded);
    }
}

// Guards against work that ends after its deadline while others wait for the slot.
TEST_CASE("A waiting request that cannot end in time is refused, by the time that fast requests need")
{
    PoolFixture pool(1, 1, 2, 1);
    for (int i = 0; i < 50; ++i) {
        pool.submitRequest(0, 1, 100);
        const auto running = pool.only<Grant>().value();
        pool.now += seconds(2); // 20 ms a token
        pool.announce(1, 1);
        pool.returnGrant(running);
    }
    pool.submitRequest(0);
    const RequestId inTime = pool.submitRequest(0, 1, 100, milliseconds(2900));
    const RequestId tooLong = pool.submitRequest(0, 1, 200, milliseconds(4500));
    pool.advance(milliseconds(490));
    REQUIRE(pool.all<Refusal>().empty());
    pool.advance(milliseconds(30));
    REQUIRE(pool.only<Refusal>()->id == tooLong);
    REQUIRE(pool.only<Refusal>()->reason == RefusalReason::Overloaded);
    pool.advance(milliseconds(400));
    REQUIRE(pool.only<Refusal>()->id == inTime);
}

// Guards against eviction of adapters in use (P2) and of popular ones.
TEST_CASE("Eviction takes the least useful idle adapter, and only when a slot is needed")
{
    PoolFixture pool(1, 4, 2);
    for (int i = 0; i < 3; ++i) {
        pool.loadAdapter(1);
    }
    pool.loadAdapter(2);
    pool.submitRequest(3);
    const auto unload = pool.only<Order>().value();
    REQUIRE(unload.kind == OrderKind::Unload);
    REQUIRE(unload.adapter == AdapterId{2});
    pool.finish(unload);
    const auto load = pool.only<Order>().value();
    REQUIRE(load.kind == OrderKind::Load);
    pool.finish(load);
    const auto running = pool.only<Grant>().value();
    pool.submitRequest(1);
    const auto alsoRunning = pool.only<Grant>().value();

    SECTION("an adapter in use is not evicted")
    {
        pool.submitRequest(4);
        REQUIRE(pool.all<Order>().empty());
        pool.returnGrant(running);
        REQUIRE(pool.only<Order>()->adapter == AdapterId{3});
    }
    SECTION("nor one with a waiting request")
    {
        pool.submitRequest(1);
        pool.submitRequest(1);
        pool.submitRequest(1);
        REQUIRE(pool.state.adapters[1].waiting == 1);
        pool.returnGrant(running);
        pool.returnGrant(alsoRunning);
        pool.submitRequest(4);
        REQUIRE(pool.only<Order>()->adapter == AdapterId{3});
    }
}

// Guards against popularity that never fades: adapters of yesterday would hold the slots.
TEST_CASE("After a popularity shift the formerly popular adapter gives way")
{
    PoolFixture pool(1, 4, 2);
    for (int i = 0; i < 20; ++i) {
        pool.loadAdapter(1);
    }
    pool.advanceWithReports(seconds(360), {{AdapterId{1}}});
    pool.loadAdapter(2);
    pool.loadAdapter(2);
    pool.submitRequest(3);
    REQUIRE(pool.only<Order>()->adapter == AdapterId{1});
}

// Guards against a single replica that queues requests while other servers idle.
TEST_CASE("A popular adapter gets a replica when its server stays full")
{
    PoolFixture pool(2, 1, 2, 1);
    pool.submitRequest(1);
    const auto first = pool.only<Order>().value();
    pool.finish(first);
    const auto running = pool.only<Grant>().value();
    pool.submitRequest(1);
    REQUIRE(pool.all<Order>().empty());
    pool.advance(milliseconds(300));
    const auto replica = pool.only<Order>().value();
    REQUIRE(replica.server != first.server);
    pool.finish(replica);
    const auto second = pool.only<Grant>().value();
    REQUIRE(second.server == replica.server);
    REQUIRE(pool.state.adapters[1].holders.size() == 2);

    SECTION("and loses it before a less popular adapter loses its only copy")
    {
        pool.returnGrant(running);
        pool.returnGrant(second);
        pool.submitRequest(2);
        while (const auto order = pool.only<Order>()) {
            pool.finish(*order);
        }
        pool.returnGrant(pool.only<Grant>().value());
        pool.submitRequest(3);
        pool.finish(pool.only<Order>().value());
        pool.returnGrant(pool.only<Grant>().value());
        pool.submitRequest(4);
        REQUIRE(pool.only<Order>()->kind == OrderKind::Unload);
        REQUIRE(pool.only<Order>()->adapter == AdapterId{1});
    }
}
