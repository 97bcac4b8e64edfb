#include "poolfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using testing::PoolFixture;

namespace {

constexpr AdapterId adapter{9};

/** A new owner without the earlier state, with two entry instances and one server with a resident adapter. */
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
        return {{3, 1}, 40, 5, ServerId{1}, OrganisationId{1}, adapter, 1500, now + seconds(20), 1024};
    }
};

} // namespace

// Guards against grants beyond the limit (P7) and evictions of adapters in use (P2), because the new owner does not know the
// grants of a failed owner.
TEST_CASE("A new owner treats slots and adapters of unknown state as in use")
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
        SECTION("until it is released under the fencing number of the earlier owner")
        {
            const double baseline = pool.state.servers[0].slowStart.baselineSeconds;
            pool.actions.clear();
            release(pool.state, {{3, 1}, 40, 5, ReleaseOutcome::Completed, 100, milliseconds(80)}, pool.now, pool.actions);
            REQUIRE(pool.state.servers[0].grants == 0);
            REQUIRE(pool.state.averageServiceSeconds < 2); // its start is unknown, so it does not count in the average
            // 80 ms for a long prompt are faster than the 50 ms for a short one before. Taken for an empty prompt, they would raise the baseline.
            REQUIRE(pool.state.servers[0].slowStart.baselineSeconds < baseline);
            pool.submitRequest(8);
            REQUIRE(pool.only<Order>()->kind == OrderKind::Unload);
        }
    }
    SECTION("a report newer than the takeover frees request slots, but no adapters")
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

// Guards against a late order of the earlier owner that overtakes one of the new owner on a server that does not check fencing
// numbers.
TEST_CASE("A new owner delays orders to a server that ignores fencing numbers")
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

// Guards against requests and grants that are lost in a graceful handover.
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

    SECTION("the former owner issues no more grants")
    {
        pool.submitRequest(9);
        REQUIRE(pool.only<Refusal>()->reason == RefusalReason::NoCapacity);
    }
}
