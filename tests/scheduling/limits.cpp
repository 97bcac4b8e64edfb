#include "poolfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using testing::PoolFixture;

namespace {

std::uint32_t limitOf(const PoolFixture &pool)
{
    return pool.state.servers[0].slowStart.limit;
}

/** Completes requests, one at a time, until the slow-start limit of the first server reaches @p target. */
void warmUp(PoolFixture &pool, std::uint32_t target)
{
    while (limitOf(pool) < target) {
        pool.submitRequest(0);
        pool.returnGrant(pool.only<Grant>().value());
    }
}

} // namespace

// Guards against a server that never gets a request again because its first announcement named no slots.
TEST_CASE("A server that announces slots after none takes requests")
{
    PoolFixture pool(1, 0, 2, 2);
    pool.submitRequest(0);
    REQUIRE(pool.all<Grant>().empty());
    pool.slots = 8;
    pool.announce(1, 1);
    REQUIRE(limitOf(pool) == 2);
    pool.submitRequest(0);
    REQUIRE(pool.only<Grant>());
}

// Guards against full load on a server that has just started and is cold (P7).
TEST_CASE("A cold server gets exactly its limit, and the limit doubles with good responses")
{
    PoolFixture pool(1, 8, 2, 1);
    pool.submitRequest(0);
    auto running = pool.only<Grant>().value();
    pool.submitRequest(0);
    REQUIRE(pool.all<Grant>().empty());
    pool.returnGrant(running);
    REQUIRE(limitOf(pool) == 2);
    running = pool.only<Grant>().value();
    pool.returnGrant(running);
    REQUIRE(limitOf(pool) == 2);
    pool.submitRequest(0);
    pool.returnGrant(pool.only<Grant>().value());
    REQUIRE(limitOf(pool) == 4);

    SECTION("slow responses do not count")
    {
        // 130 ms is more than 2 x the baseline of 50 ms, so the response is not good, but less than 4 x, so the server is not cold.
        for (int i = 0; i < 8; ++i) {
            pool.submitRequest(0);
            pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::Completed, milliseconds(130));
        }
        REQUIRE(limitOf(pool) == 4);
    }
    SECTION("a reset or refused connection lowers it at once, and responses to earlier grants do not raise it")
    {
        const auto outcome = GENERATE(ReleaseOutcome::ConnectionReset, ReleaseOutcome::ConnectionRefused);
        pool.submitRequest(0);
        const auto early = pool.only<Grant>().value();
        pool.submitRequest(0);
        pool.returnGrant(pool.only<Grant>().value(), outcome);
        REQUIRE(limitOf(pool) == 1);
        pool.returnGrant(early);
        REQUIRE(limitOf(pool) == 1);
    }
    SECTION("a new incarnation lowers it at once")
    {
        pool.announce(1, 2);
        REQUIRE(limitOf(pool) == 1);
    }
}

// Guards against full load on a server that turns cold without a restart: no announcement or reset connection shows it.
TEST_CASE("A server that turns cold without a restart is detected by its latency")
{
    PoolFixture pool(1, 8, 2, 1);
    warmUp(pool, 8);
    // A latency of more than 4 x the baseline of 50 ms shows a cold server.
    pool.submitRequest(0);
    pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::Completed, milliseconds(190));
    REQUIRE(limitOf(pool) == 8);
    pool.submitRequest(0);
    pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::Completed, milliseconds(230));
    REQUIRE(limitOf(pool) == 1);
}

// Guards against a server that refuses connections and attracts every request because it is the least loaded.
TEST_CASE("A server that refuses a connection gets no grants until it reports")
{
    PoolFixture pool(1);
    pool.submitRequest(0);
    pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::ConnectionRefused);
    pool.submitRequest(0);
    REQUIRE(pool.all<Grant>().empty());
    pool.report(1, 0, {});
    REQUIRE(pool.only<Grant>());
}

// Guards against grants on a server that stopped without announcing it: its reports end.
TEST_CASE("A server without reports or announcements gets no new grants")
{
    PoolFixture pool(2);
    pool.now += seconds(4);
    pool.report(2, 0, {});
    pool.advance(seconds(1));
    for (int i = 0; i < 4; ++i) {
        pool.submitRequest(0);
        REQUIRE(pool.only<Grant>()->server == ServerId{2});
    }
    pool.submitRequest(0);
    REQUIRE(pool.all<Grant>().empty());
}

// Guards against new work on servers and failure domains that are out of service (P8, P12), and against requests that wait there
// until their deadline.
TEST_CASE("A server taken out with running and waiting requests")
{
    PoolFixture pool(2, 1, 2, 1);
    pool.submitRequest(0);
    const auto running = pool.only<Grant>().value();
    pool.submitRequest(0);
    const auto alsoRunning = pool.only<Grant>().value();
    const RequestId waiting = pool.submitRequest(0);
    const auto service = GENERATE(ServiceState::Out, ServiceState::Leaving);

    SECTION("leaves the waiting request to the other server")
    {
        pool.actions.clear();
        setDeclaration(
            pool.state, {ServiceState::InService, {{running.server, service}, {alsoRunning.server, ServiceState::InService}}}, pool.now, pool.actions);
        REQUIRE(pool.actions.empty());
        pool.returnGrant(running);
        REQUIRE(pool.actions.empty());
        pool.returnGrant(alsoRunning);
        REQUIRE(pool.only<Grant>()->server == alsoRunning.server);
    }
    SECTION("when it was the last server, the waiting request is refused as not run")
    {
        pool.declare(2, service);
        REQUIRE(pool.only<Refusal>()->id == waiting);
        REQUIRE(pool.only<Refusal>()->reason == RefusalReason::NoCapacity);
        pool.submitRequest(0);
        REQUIRE(pool.only<Refusal>()->reason == RefusalReason::NoCapacity);
        REQUIRE_FALSE(summarise(pool.state, pool.now).inService);
    }
    SECTION("the same holds for the failure domain")
    {
        pool.declare(2, ServiceState::InService, service);
        REQUIRE(pool.only<Refusal>()->id == waiting);
        pool.returnGrant(running);
        pool.submitRequest(0);
        REQUIRE(pool.all<Grant>().empty());
    }
    SECTION("and for servers that announce that they are leaving")
    {
        pool.announce(1, 1, {}, true);
        pool.announce(2, 1, {}, true);
        REQUIRE(pool.only<Refusal>()->id == waiting);
    }
    SECTION("a load on a server taken out is started on another one")
    {
        pool.submitRequest(9);
        const auto load = pool.only<Order>().value();
        const ServerId other{3 - number(load.server)};
        pool.actions.clear();
        setDeclaration(pool.state, {ServiceState::InService, {{load.server, service}, {other, ServiceState::InService}}}, pool.now, pool.actions);
        REQUIRE(pool.only<Order>()->server == other);
    }
}

// Guards against work on servers that announce themselves but are not in the configuration.
TEST_CASE("An undeclared server gets no work")
{
    PoolFixture pool(1);
    pool.declare(0, ServiceState::InService);
    pool.announce(1, 1);
    pool.submitRequest(0);
    REQUIRE(pool.only<Refusal>()->reason == RefusalReason::NoCapacity);
}

// Guards against uneven load, and against prefix affinity that sends every request of a conversation to a busy server.
TEST_CASE("Server choice balances load, and prefers the server with the prefix within limits")
{
    PoolFixture pool(2, 8, 2, 8);
    pool.prefix = 77;
    pool.submitRequest(0);
    const ServerId first = pool.only<Grant>()->server;
    pool.submitRequest(0);
    REQUIRE(pool.only<Grant>()->server == first);
    pool.submitRequest(0);
    REQUIRE(pool.only<Grant>()->server == first);
    REQUIRE(pool.all<DecisionRecord>().front().reason == DecisionReason::PrefixAffinity);
    pool.submitRequest(0);
    REQUIRE(pool.only<Grant>()->server != first);
}
