#include "steps.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serving;
using Outcome = gateway::AttemptOutcome;

// Guards against calls that wait forever when the owner of a pool crashes, against grants of two owners at a time after a lease
// has expired, and against a new owner that overloads a server because it does not know of the running calls.
TEST_CASE("a pool owner crashes or loses its lease")
{
    Fleet fleet;
    fleet.start();
    const std::vector<RequestId> running = fillRegistry(fleet);
    const RequestId waiting = fleet.callPlainService(0, "/open/x", std::nullopt);
    fleet.advance(milliseconds(100));
    REQUIRE_FALSE(fleet.running(waiting));

    SECTION("waiting calls ask another pool, running calls continue, and the new owner knows of them")
    {
        const std::size_t owner = number(fleet.states[0].calls.at(waiting).owner) - 1;
        fleet.stop(owner);
        fleet.advance(milliseconds(100));
        REQUIRE(number(fleet.states[0].calls.at(waiting).owner) - 1 != owner);
        const std::uint32_t successor = owner == 1 ? 1 : 3;
        fleet.assign(static_cast<std::uint32_t>(owner + 1), successor);
        fleet.advance(seconds(1));
        REQUIRE_FALSE(fleet.running(waiting));
        const auto &pool = fleet.states[successor - 1].pools.at(PoolId(static_cast<std::uint32_t>(owner + 1))).state;
        const auto granted = std::count_if(pool.records.begin(), pool.records.end(), [](const scheduling::RequestRecord &record) {
            return record.phase == scheduling::RequestPhase::Granted;
        });
        REQUIRE(granted == 4);
    }
    SECTION("nothing is granted after the lease has expired, and calls ask another pool")
    {
        for (routing::PoolSummary &summary : fleet.states[1].summaries) {
            summary.reachable = summary.domain == DomainId{1}; // until the next summary, so that the call asks the local pool
        }
        const RequestId local = fleet.callPlainService(1, "/open/x", std::nullopt);
        REQUIRE(fleet.states[1].calls.at(local).pool == PoolId{2});
        fleet.unleased.insert(1);
        fleet.advance(seconds(4));
        REQUIRE(fleet.states[1].calls.at(local).pool != PoolId{2});
        fleet.disconnectCaller(local);
        for (const RequestId &id : running) {
            if (fleet.calls[id].servers.back() == "127.0.0.1:2") {
                fleet.finish(id, Outcome::Completed);
            }
        }
        fleet.advance(seconds(1));
        REQUIRE_FALSE(fleet.running(waiting));
        REQUIRE(fleet.states[0].calls.at(waiting).pool != PoolId{2});
    }
    for (const RequestId &id : running) {
        REQUIRE((fleet.running(id) || fleet.calls[id].finalReplies == 1));
        fleet.finish(id, Outcome::Completed);
    }
    fleet.advance(seconds(1));
    REQUIRE(fleet.running(waiting));
    fleet.finish(waiting, Outcome::Completed);
    fleet.advance(milliseconds(100));
    requireNoViolations(fleet);
}

// Guards against calls on a server of which the present pool owner does not know, and against adapters that count as loaded
// although they are not. Both come about when a message arrives after a change of the owner or of the configuration.
TEST_CASE("messages that arrive after a change of owner or configuration")
{
    Fleet fleet;
    fleet.start();
    SECTION("a grant of the earlier owner that arrives after the grant report to the new owner is not used")
    {
        const RequestId id = fleet.callPlainService(0, "/open/x", std::nullopt);
        fleet.deliver(1);
        REQUIRE(fleet.queue.size() == 1);
        const auto grant = fleet.queue.front();
        fleet.queue.clear();
        fleet.assign(2, 1);
        fleet.advance(seconds(1));
        REQUIRE_FALSE(fleet.running(id));
        grant();
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.running(id));
        REQUIRE(fleet.calls[id].grant->fencing == fleet.configuration.pools[1].fencing);
        fleet.finish(id, Outcome::Completed);
    }
    SECTION("the result of an order of an earlier ownership is not attributed to an order of the present one")
    {
        ServingState &owner = fleet.states[0];
        fleet.holdOrders = true;
        fleet.configuration.servers[2].outOfService = true; // the call cannot go to the other failure domain
        fleet.configure();
        const RequestId id = fleet.callModel(0, "base:greeting@2", 1, "greeting@2");
        const auto stepUntilOrders = [&](std::size_t count) {
            for (int i = 0; i < 200 && owner.pendingOrders.size() < count; ++i) {
                fleet.advance(milliseconds(20));
            }
            REQUIRE(owner.pendingOrders.size() == count);
        };
        stepUntilOrders(1);
        const std::uint64_t earlier = owner.pendingOrders.begin()->first;
        fleet.assign(1, 1);
        stepUntilOrders(2);
        Actions actions;
        handle(owner, gateway::BackendOrderResult{earlier, gateway::OrderOutcome::Done}, fleet.now, actions);
        REQUIRE(std::none_of(actions.begin(), actions.end(), [](const Action &action) {
            return std::holds_alternative<ReplyToCall>(action);
        }));
        fleet.held.back()();
        fleet.advance(seconds(1));
        REQUIRE(fleet.running(id));
        fleet.finish(id, Outcome::Completed);
    }
    SECTION("a grant for a server that the entry instance does not know is returned, and the call is granted again")
    {
        auto without = std::make_shared<control::Configuration>(fleet.configuration);
        without->servers.erase(without->servers.begin() + 1);
        Actions actions;
        setConfiguration(fleet.states[0], without, InstanceId{1}, DomainId{1}, fleet.now, actions);
        const RequestId id = fleet.callPlainService(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(300));
        fleet.configure();
        fleet.advance(seconds(1));
        REQUIRE(fleet.running(id));
        fleet.finish(id, Outcome::Completed);
    }
    fleet.advance(milliseconds(500));
    requireNoViolations(fleet);
}
