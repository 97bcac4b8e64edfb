#include "poolfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using testing::PoolFixture;

// Guards against one load per waiting request, which would overload the weight store.
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

    SECTION("both are granted on that server when the load is done")
    {
        pool.finish(*load);
        const auto grants = pool.all<Grant>();
        REQUIRE(grants.size() == 2);
        REQUIRE(grants[0].server == load->server);
        REQUIRE(grants[1].server == load->server);
        REQUIRE(grants[0].adapter == AdapterId{9});
    }
}

// Guards against requests that wait for a load that was lost in a restart of the engine.
TEST_CASE("An engine that restarts without adapters during a load")
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

        SECTION("the late result of the first order does not count")
        {
            pool.finish(first);
            REQUIRE(pool.all<Grant>().empty());
            pool.finish(*second);
            REQUIRE(pool.only<Grant>());
        }
    }
}

// Guards against grants on an engine that lost its adapters but kept its incarnation number.
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
    SECTION("counts when it must be newer than the load, and the engine is treated as cold")
    {
        pool.now += seconds(3);
        pool.report(1, 0, {});
        REQUIRE(pool.state.servers[0].slowStart.limit == 1);
        pool.submitRequest(9);
        REQUIRE(pool.all<Grant>().empty());
        REQUIRE(pool.only<Order>());
    }
}

// Guards against a retry on the same faulty server, and against retries without a delay.
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
                break; // the deadline leaves no time for another attempt
            }
            order = orders.front();
        }
        REQUIRE(pool.state.adapters[9].retryAt - pool.now <= seconds(5));
    }
}

// Guards against requests blocked by a load without a result, and against reuse of its slot while the load may still take effect.
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
    SECTION("makes the adapter resident when it finishes late")
    {
        pool.finish(hung);
        REQUIRE(pool.only<Grant>()->server == hung.server);
    }
    SECTION("frees its slot only when a sufficiently recent report does not list the adapter")
    {
        pool.now += seconds(1);
        pool.report(hungServer, 0, {});
        REQUIRE(slots.size() == 1);
        pool.now += seconds(1);
        pool.report(hungServer, 0, {});
        REQUIRE(slots.empty());
    }
    SECTION("is complete when a report lists the adapter, even without a result")
    {
        pool.now += seconds(2);
        pool.report(hungServer, 0, {AdapterId{9}});
        REQUIRE(slots[0].phase == SlotPhase::Resident);
        REQUIRE(pool.all<Grant>().size() == 1);
    }
}

// Guards against loads beyond the budget of tokens or the limit of loads in flight, and against a wrong token demand.
TEST_CASE("Loads need tokens and respect the limit of loads in flight")
{
    PoolFixture pool(3);
    SECTION("without tokens the pool states its demand")
    {
        pool.state.loadTokens = 0;
        pool.submitRequest(8);
        pool.submitRequest(9);
        REQUIRE(pool.all<Order>().empty());
        REQUIRE(pool.state.loadTokenDemand == 3); // two loads and one reserve token
        pool.actions.clear();
        grantLoadTokens(pool.state, 1, pool.now, pool.actions);
        REQUIRE(pool.only<Order>());
    }
    SECTION("at the limit of loads in flight the next load waits")
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

// Guards against requests that wait for a load although it will finish after their deadline.
TEST_CASE("A request whose load would finish after its deadline is refused at once")
{
    PoolFixture pool(4);
    pool.state.loadTokens = 0;
    for (std::uint32_t adapter = 1; adapter <= 8; ++adapter) {
        pool.submitRequest(adapter);
    }
    pool.submitRequest(20, 1, 100, seconds(2)); // nine loads at 4 per second take longer than 2 s
    REQUIRE(pool.only<Refusal>()->reason == RefusalReason::Overloaded);
    REQUIRE(pool.only<Refusal>()->retryAfter > seconds(2));
    pool.submitRequest(21, 1, 100, seconds(10));
    REQUIRE(pool.all<Refusal>().empty());

    SECTION("a waiting request is refused as soon as its load can no longer finish in time")
    {
        pool.advance(seconds(4));
        pool.announce(1, 1);
        pool.advance(seconds(4));
        pool.announce(1, 1);
        pool.advance(milliseconds(1800));
        REQUIRE(pool.only<Refusal>()->reason == RefusalReason::Overloaded);
    }
}

// Guards against requests that finish after their deadline while others wait for the slot.
TEST_CASE("A waiting request is refused when even a fast request could not finish before the deadline")
{
    PoolFixture pool(1, 1, 2, 1);
    for (int i = 0; i < 50; ++i) {
        pool.submitRequest(0, 1, 100);
        const auto running = pool.only<Grant>().value();
        pool.now += seconds(2); // 20 ms per token
        pool.announce(1, 1);
        pool.returnGrant(running);
    }
    pool.submitRequest(0);
    // At 20 ms per token the requests run for 2 s and 4 s, so they must start within about 0.9 s and 0.5 s.
    const RequestId refusedLater = pool.submitRequest(0, 1, 100, milliseconds(2900));
    const RequestId refusedFirst = pool.submitRequest(0, 1, 200, milliseconds(4500));
    pool.advance(milliseconds(490));
    REQUIRE(pool.all<Refusal>().empty());
    pool.advance(milliseconds(30));
    REQUIRE(pool.only<Refusal>()->id == refusedFirst);
    REQUIRE(pool.only<Refusal>()->reason == RefusalReason::Overloaded);
    pool.advance(milliseconds(400));
    REQUIRE(pool.only<Refusal>()->id == refusedLater);
}

// Guards against eviction of adapters that are in use or waited for (P2), and of popular ones.
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
    SECTION("an adapter with a waiting request is not evicted")
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

// Guards against popularity that never decays: formerly popular adapters would occupy the slots for good.
TEST_CASE("After a popularity shift the formerly popular adapter is evicted")
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

// Guards against requests that queue for the only replica of an adapter while other servers are idle.
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

    SECTION("the replica is evicted before the only copy of a less popular adapter")
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
