#include "poolfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using testing::PoolFixture;

namespace {

constexpr AdapterId adapter{9};

/** A new owner that sees two entry instances and one server with a resident adapter. */
struct NewOwner : PoolFixture
{
    explicit NewOwner(bool checks) : PoolFixture(0, 4, 1, 4)
    {
        checksFencing = checks;
        Takeover takeover{6, {InstanceId{1}, InstanceId{2}}, now + seconds(600), now + seconds(8)};
        takeOver(state, takeover, now);
        declare(1, ServiceState::InService);
        announce(1, 1, {adapter});
        state.loadTokens = 100;
    }

    void reconcile(std::uint32_t instance, std::vector<HeldGrant> held = {})
    {
        actions.clear();
        reconcileGrants(state, {InstanceId{instance}, std::move(held)}, now, actions);
    }

    [[nodiscard]] HeldGrant held() const
    {
        return {{3, 1}, 40, 5, ServerId{1}, OrganisationId{1}, adapter, 500, now + seconds(20)};
    }
};

} // namespace

// Guards against grants and evictions on top of what a lost owner granted (P2, P7).
TEST_CASE("A new owner counts what it does not know as in use")
{
    NewOwner pool(true);
    pool.submitRequest(number(adapter));
    REQUIRE(pool.all<Grant>().empty());
    REQUIRE(pool.all<Order>().empty());

    SECTION("until every entry instance has reported its grants")
    {
        pool.reconcile(1, {pool.held()});
        REQUIRE(pool.all<Grant>().empty());
        pool.reconcile(2);
        const auto grant = pool.only<Grant>().value();
        REQUIRE(grant.fencing == 6);
        REQUIRE(pool.state.servers[0].grants == 2);
        pool.returnGrant(grant);

        SECTION("a reported grant keeps its adapter and its slot")
        {
            pool.submitRequest(8);
            REQUIRE(pool.all<Order>().empty());
        }
        SECTION("until it is released under the number of the earlier owner")
        {
            pool.actions.clear();
            release(pool.state, {{3, 1}, 40, 5, ReleaseOutcome::Completed, 100, milliseconds(50)}, pool.now, pool.actions);
            REQUIRE(pool.state.servers[0].grants == 0);
            REQUIRE(pool.state.averageServiceSeconds < 2); // nobody knows how long it ran
            pool.submitRequest(8);
            REQUIRE(pool.only<Order>()->kind == OrderKind::Unload);
        }
    }
    SECTION("a young report frees request slots, but no adapter")
    {
        pool.now += seconds(1);
        pool.report(1, 1, {adapter});
        REQUIRE(pool.all<Grant>().empty());
        pool.now += seconds(1);
        pool.report(1, 1, {adapter});
        REQUIRE(pool.all<Grant>().size() == 1);
        REQUIRE(pool.state.servers[0].unknownGrants == 1);
        pool.returnGrant(pool.only<Grant>().value());
        pool.submitRequest(8);
        REQUIRE(pool.all<Order>().empty());
    }
    SECTION("or until all earlier grants have expired")
    {
        pool.now += seconds(599);
        pool.submitRequest(8);
        REQUIRE(pool.all<Order>().empty());
        pool.report(1, 4, {adapter});
        pool.advance(seconds(1));
        REQUIRE(pool.only<Order>()->kind == OrderKind::Unload);
    }
}

// Guards against two owners' orders that cross on a server that cannot tell them apart.
TEST_CASE("A new owner waits before it orders a server that ignores fencing numbers")
{
    const bool checks = GENERATE(true, false);
    NewOwner pool(checks);
    pool.reconcile(1);
    pool.reconcile(2);
    pool.submitRequest(8);
    REQUIRE(pool.all<Order>().size() == (checks ? 1U : 0U));
    if (!checks) {
        pool.advanceWithReports(milliseconds(7999), {{adapter}});
        REQUIRE(pool.all<Order>().empty());
        pool.advance(milliseconds(1));
        REQUIRE(pool.only<Order>()->fencing == 6);
    }
}

// Guards against lost requests and forgotten grants in a graceful handover.
TEST_CASE("A graceful handover needs no wait")
{
    PoolFixture pool(1, 1, 1, 1);
    pool.loadAdapter(9);
    pool.submitRequest(9);
    const auto running = pool.only<Grant>().value();
    pool.submitRequest(9);
    PoolFixture next(0);
    next.actions.clear();
    importState(next.state, exportState(pool.state), 6, next.now, next.actions);
    REQUIRE(next.all<Grant>().empty());
    next.returnGrant(running);
    REQUIRE(next.only<Grant>()->fencing == 6);

    SECTION("and the former owner grants nothing more")
    {
        pool.submitRequest(9);
        REQUIRE(pool.only<Refusal>()->reason == RefusalReason::NoCapacity);
    }
}
