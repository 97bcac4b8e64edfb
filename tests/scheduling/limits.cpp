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

/** Runs requests at the limit until it reaches @p target. */
void warmUp(PoolFixture &pool, std::uint32_t target)
{
    while (limitOf(pool) < target) {
        pool.submitRequest(0);
        pool.returnGrant(pool.only<Grant>().value());
    }
}

} // namespace

// Guards against full load on a freshly started server (P7).
TEST_CASE("A cold server gets its limit exactly, and the limit doubles with good answers")
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

    SECTION("slow answers do not count")
    {
        for (int i = 0; i < 8; ++i) {
            pool.submitRequest(0);
            pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::Completed, milliseconds(130));
        }
        REQUIRE(limitOf(pool) == 4);
    }
    SECTION("a reset or refused connection lowers it at once, and answers to earlier grants do not raise it")
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

// Guards against a server that turns cold without a restart and keeps its full load.
TEST_CASE("A silently cold server is detected by its latency")
{
    PoolFixture pool(1, 8, 2, 1);
    warmUp(pool, 8);
    pool.submitRequest(0);
    pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::Completed, milliseconds(190));
    REQUIRE(limitOf(pool) == 8);
    pool.submitRequest(0);
    pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::Completed, milliseconds(230));
    REQUIRE(limitOf(pool) == 1);
}

// Guards against a server that refuses connections and, being the least loaded, attracts every request.
TEST_CASE("A server that refuses a connection gets nothing until it reports")
{
    PoolFixture pool(1);
    pool.submitRequest(0);
    pool.returnGrant(pool.only<Grant>().value(), ReleaseOutcome::ConnectionRefused);
    pool.submitRequest(0);
    REQUIRE(pool.all<Grant>().empty());
    pool.report(1, 0, {});
    REQUIRE(pool.only<Grant>());
}

// Guards against grants to a server that vanished without a word.
TEST_CASE("A silent server gets nothing new")
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

// Guards against new work on what was taken out (P8, P12) and against requests that wait there for nothing.
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
    SECTION("and with the last server the waiting request is refused as not run")
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

// Guards against work on servers that no operator declared.
TEST_CASE("An undeclared server gets no work")
{
    PoolFixture pool(1);
    pool.declare(0, ServiceState::InService);
    pool.announce(1, 1);
    pool.submitRequest(0);
    REQUIRE(pool.only<Refusal>()->reason == RefusalReason::NoCapacity);
}

// Guards against hot spots, and against affinity that overrides balance.
TEST_CASE("Server choice balances, and prefers the server with the prefix")
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
