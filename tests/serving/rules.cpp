#include "fleet.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serving;
using Outcome = gateway::AttemptOutcome;

namespace {

/** Fills all places of a plain service: its servers bear 4 calls each when cold. */
std::vector<RequestId> fillRegistry(Fleet &fleet)
{
    std::vector<RequestId> ids;
    for (int i = 0; i < 8; ++i) {
        ids.push_back(fleet.plain(i % 2 == 0 ? 0 : 2, "/open/x", std::nullopt));
        fleet.advance(milliseconds(300)); // the next summary tells which pool is full
    }
    return ids;
}

/** Tokens that an instance has spent and not given back in its present sessions. */
double netSpent(const ServingState &state, OrganisationId organisation)
{
    const admission::AccountId account = admission::accountOf(organisation);
    double spent = -state.quotas.accounts.at(account).pendingRefund;
    for (const admission::LeaseSource &source : state.quotas.sources) {
        const auto lease = source.leases.find(account);
        spent += lease == source.leases.end() ? 0 : lease->second.use.spent - lease->second.use.refunded;
    }
    return spent;
}

void requireClean(Fleet &fleet)
{
    fleet.checkEnd();
    for (const std::string &violation : fleet.violations) {
        UNSCOPED_INFO(violation);
    }
    REQUIRE(fleet.violations.empty());
}

} // namespace

// Guards against calls that run on another adapter, for another organisation, or with a key that counts no more.
TEST_CASE("only permitted calls run, on what they asked for")
{
    Fleet fleet;
    fleet.configure();
    const RequestId early = fleet.plain(0, "/open/x", std::nullopt);
    REQUIRE(fleet.refused(early) == RefusalReason::ConfigurationStale);
    fleet.start();

    SECTION("P1: the named version, or the default one, on an engine that has it")
    {
        const RequestId second = fleet.model(1, "base:greeting@2", 1, "greeting@2");
        const RequestId first = fleet.model(3, "base:greeting", 1, "greeting@1");
        fleet.advance(seconds(2));
        REQUIRE(fleet.running(second));
        REQUIRE(fleet.calls[first].grant->served == "base:greeting@1");
        fleet.finish(second, Outcome::Completed);
        fleet.finish(first, Outcome::Completed);
    }
    SECTION("P3: an unknown key, an adapter or a route of another organisation")
    {
        REQUIRE(fleet.refused(fleet.model(0, "base:greeting", 9, Fleet::forbidden)) == RefusalReason::InvalidKey);
        REQUIRE(fleet.refused(fleet.model(0, "base:greeting", 2, Fleet::forbidden)).has_value());
        REQUIRE(fleet.refused(fleet.plain(0, "/registry/x", 2, "", Fleet::forbidden)).has_value());
        REQUIRE(fleet.refused(fleet.plain(0, "/registry/x", std::nullopt, "", Fleet::forbidden)) == RefusalReason::InvalidKey);
    }
    SECTION("P5: a withdrawn key is refused from the configuration on")
    {
        fleet.configuration.keys.erase(fleet.configuration.keys.begin());
        fleet.configure();
        REQUIRE(fleet.refused(fleet.model(0, "base:greeting", 1, Fleet::forbidden)) == RefusalReason::InvalidKey);
    }
    SECTION("a stale configuration serves open routes only")
    {
        fleet.stale.insert(0);
        fleet.advance(seconds(11));
        REQUIRE(fleet.refused(fleet.model(0, "base:greeting", 1, Fleet::forbidden)) == RefusalReason::ConfigurationStale);
        REQUIRE(fleet.refused(fleet.plain(0, "/registry/x", 1, "", Fleet::forbidden)) == RefusalReason::ConfigurationStale);
        const RequestId open = fleet.plain(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.running(open));
        fleet.finish(open, Outcome::Completed);
    }
    fleet.advance(milliseconds(100));
    requireClean(fleet);
}

// Guards against new work on servers that were taken out, and against calls that are lost with them.
TEST_CASE("P8 and P12: what is taken out gets no new work")
{
    Fleet fleet;
    fleet.start();
    const std::vector<RequestId> running = fillRegistry(fleet);
    const RequestId waiting = fleet.plain(0, "/open/x", std::nullopt);
    fleet.advance(milliseconds(100));
    REQUIRE_FALSE(fleet.running(waiting));

    const bool wholeDomain = GENERATE(true, false);
    if (wholeDomain) {
        fleet.configuration.domains[0].out = true;
    } else {
        fleet.configuration.servers[1].out = true;
    }
    fleet.configure();
    fleet.advance(milliseconds(500));
    for (const RequestId &id : running) {
        REQUIRE(fleet.running(id));
        fleet.finish(id, Outcome::Completed);
    }
    fleet.advance(milliseconds(500));
    REQUIRE(fleet.running(waiting));
    REQUIRE(fleet.calls[waiting].servers == std::vector<std::string>{"127.0.0.1:4"});
    fleet.finish(waiting, Outcome::Completed);
    fleet.advance(milliseconds(100));
    requireClean(fleet);
}

// Guards against a second run and against "not run" about a call that ran.
TEST_CASE("failed attempts")
{
    Fleet fleet;
    fleet.start();
    SECTION("P11: a call that may not repeat is not sent again after a byte of it was sent")
    {
        const RequestId id = fleet.plain(0, "/registry/x", 1);
        fleet.advance(milliseconds(100));
        fleet.finish(id, Outcome::FailedBeforeAnswer);
        fleet.advance(seconds(1));
        REQUIRE(fleet.calls[id].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("it is sent again when the connection was refused")
    {
        const RequestId id = fleet.plain(0, "/registry/x", 1);
        fleet.advance(milliseconds(100));
        fleet.finish(id, Outcome::ConnectionRefused);
        fleet.advance(seconds(2));
        REQUIRE(fleet.running(id));
        fleet.finish(id, Outcome::Completed);
    }
    SECTION("P10: a call that may have run is not refused as not run when no retry finds a server")
    {
        const RequestId id = fleet.plain(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        fleet.configuration.domains[0].out = true;
        fleet.configuration.domains[1].out = true;
        fleet.configure();
        fleet.finish(id, Outcome::FailedBeforeAnswer);
        fleet.advance(seconds(21));
        REQUIRE(fleet.calls[id].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("retries stay within the budget, the attempts and the deadline")
    {
        fleet.states[0].retries.balance = admission::retryReserve;
        const RequestId hopeless = fleet.plain(0, "/open/x", std::nullopt);
        while (fleet.calls[hopeless].finals == 0) {
            fleet.advance(milliseconds(100));
            fleet.finish(hopeless, Outcome::FailedBeforeAnswer);
        }
        REQUIRE(fleet.calls[hopeless].runs == 3);

        fleet.states[0].retries = {};
        unsigned attempts = 0;
        const unsigned calls = 30;
        for (unsigned i = 0; i < calls; ++i) {
            const RequestId id = fleet.plain(0, "/open/x", std::nullopt);
            while (fleet.calls[id].finals == 0) {
                fleet.advance(milliseconds(100));
                fleet.finish(id, Outcome::FailedBeforeAnswer);
            }
            REQUIRE(fleet.calls[id].runs <= 3);
            attempts += fleet.calls[id].runs;
        }
        REQUIRE(attempts <= calls + calls / 10 + 1); // 10 % and the one that a new budget holds
        fleet.advance(seconds(10));
        const RequestId late = fleet.plain(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        fleet.now += seconds(20);
        fleet.finish(late, Outcome::FailedBeforeAnswer);
        REQUIRE(fleet.refused(late) == RefusalReason::DeadlineExceeded);
    }
    SECTION("tokens that were not used return")
    {
        const RequestId id = fleet.model(0, "base:greeting", 1, "greeting@1");
        fleet.advance(seconds(2));
        REQUIRE(fleet.running(id));
        const double before = netSpent(fleet.states[0], OrganisationId{1});
        fleet.finish(id, Outcome::Completed); // 5 of the 10 output tokens
        REQUIRE(netSpent(fleet.states[0], OrganisationId{1}) == Approx(before - 5));
    }
    fleet.advance(milliseconds(100));
    requireClean(fleet);
}

// Guards against a second run of a call with an idempotency key, and against records that block a resend for nothing.
TEST_CASE("P11: calls with an idempotency key")
{
    Fleet fleet;
    fleet.start();
    SECTION("a resend through another instance gets the stored answer")
    {
        const RequestId first = fleet.plain(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        const RequestId during = fleet.plain(3, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.refused(during) == RefusalReason::InProgress);
        fleet.finish(first, Outcome::Completed);
        fleet.advance(milliseconds(100));
        const RequestId after = fleet.plain(2, "/registry/x", 1, "key");
        const RequestId other = fleet.plain(2, "/registry/y", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.calls[after].stored->body == "answer");
        REQUIRE(fleet.refused(other) == RefusalReason::IdempotencyConflict);
    }
    SECTION("an answer that is too large to be stored is not replaced by an empty one")
    {
        fleet.largeAnswers = true;
        const RequestId first = fleet.plain(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        fleet.finish(first, Outcome::Completed);
        fleet.advance(milliseconds(100));
        const RequestId again = fleet.plain(2, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.calls[again].refusal.has_value());
        REQUIRE(fleet.calls[again].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("after a lost reply of the server a resend does not run")
    {
        const RequestId first = fleet.plain(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        fleet.finish(first, Outcome::FailedBeforeAnswer);
        const RequestId again = fleet.plain(2, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.calls[again].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("a commit whose answer is lost does not run, and a resend does")
    {
        fleet.loseCommitAnswers = true;
        const RequestId first = fleet.plain(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.refused(first) == RefusalReason::NoQuorum);
        fleet.loseCommitAnswers = false;
        const RequestId again = fleet.plain(2, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.running(again));
        fleet.finish(again, Outcome::Completed);
    }
    SECTION("a caller that leaves, or a deadline that ends, during the commit does not block a resend")
    {
        fleet.holdCommits = true;
        const RequestId first = fleet.plain(0, "/registry/x", 1, "key");
        const bool leaves = GENERATE(true, false);
        if (leaves) {
            fleet.leave(first);
        }
        fleet.advance(seconds(leaves ? 1 : 21));
        fleet.holdCommits = false;
        for (const auto &commit : fleet.held) {
            commit();
        }
        fleet.advance(milliseconds(100));
        const RequestId again = fleet.plain(2, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.running(again));
        fleet.finish(again, Outcome::Completed);
    }
    fleet.advance(milliseconds(100));
    requireClean(fleet);
}

// Guards against calls that hang with a lost owner, two owners that grant, and a new owner that overloads a server.
TEST_CASE("a pool owner is lost")
{
    Fleet fleet;
    fleet.start();
    const std::vector<RequestId> running = fillRegistry(fleet);
    const RequestId waiting = fleet.plain(0, "/open/x", std::nullopt);
    fleet.advance(milliseconds(100));
    REQUIRE_FALSE(fleet.running(waiting));

    SECTION("waiting calls go elsewhere, running ones go on, and the new owner knows them")
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
    SECTION("nothing is granted after the lease has run out, and calls look elsewhere")
    {
        for (routing::PoolSummary &summary : fleet.states[1].summaries) {
            summary.reachable = summary.domain == DomainId{1}; // until the next summary, so that the call asks the local pool
        }
        const RequestId local = fleet.plain(1, "/open/x", std::nullopt);
        REQUIRE(fleet.states[1].calls.at(local).pool == PoolId{2});
        fleet.unleased.insert(1);
        fleet.advance(seconds(4));
        REQUIRE(fleet.states[1].calls.at(local).pool != PoolId{2});
        fleet.leave(local);
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
        REQUIRE((fleet.running(id) || fleet.calls[id].finals == 1));
        fleet.finish(id, Outcome::Completed);
    }
    fleet.advance(seconds(1));
    REQUIRE(fleet.running(waiting));
    fleet.finish(waiting, Outcome::Completed);
    fleet.advance(milliseconds(100));
    requireClean(fleet);
}

// Guards against a server that gets work which its present owner does not know of, and against engines believed to hold an
// adapter that they do not hold.
TEST_CASE("messages that another owner or configuration has overtaken")
{
    Fleet fleet;
    fleet.start();
    SECTION("a grant of the earlier owner that arrives after the report to the new one is not used")
    {
        const RequestId id = fleet.plain(0, "/open/x", std::nullopt);
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
    SECTION("the result of an order of the earlier ownership is not taken for one of the present")
    {
        ServingState &owner = fleet.states[0];
        fleet.holdOrders = true;
        fleet.configuration.servers[2].out = true; // the call cannot go to the other failure domain
        fleet.configure();
        const RequestId id = fleet.model(0, "base:greeting@2", 1, "greeting@2");
        const auto stepUntilOrders = [&](std::size_t count) {
            for (int i = 0; i < 200 && owner.orders.size() < count; ++i) {
                fleet.advance(milliseconds(20));
            }
            REQUIRE(owner.orders.size() == count);
        };
        stepUntilOrders(1);
        const std::uint64_t earlier = owner.orders.begin()->first;
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
    SECTION("a grant for a server that the entry instance does not know is returned, and the call goes elsewhere")
    {
        auto without = std::make_shared<control::Configuration>(fleet.configuration);
        without->servers.erase(without->servers.begin() + 1);
        Actions actions;
        setConfiguration(fleet.states[0], without, InstanceId{1}, DomainId{1}, fleet.now, actions);
        const RequestId id = fleet.plain(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(300));
        fleet.configure();
        fleet.advance(seconds(1));
        REQUIRE(fleet.running(id));
        fleet.finish(id, Outcome::Completed);
    }
    fleet.advance(milliseconds(500));
    requireClean(fleet);
}

// Guards against tokens, places and calls that stay behind when a caller leaves.
TEST_CASE("a caller leaves while its call waits")
{
    Fleet fleet;
    SECTION("for tokens")
    {
        fleet.configure();
        fleet.advance(milliseconds(600));
        const RequestId id = fleet.model(0, "base:greeting", 1, "greeting@1");
        REQUIRE(fleet.states[0].calls.at(id).stage == CallStage::AwaitingTokens);
        fleet.leave(id);
        REQUIRE(fleet.states[0].quotas.accounts.at(admission::accountOf(OrganisationId{1})).waiting.empty());
    }
    SECTION("for a grant")
    {
        fleet.start();
        const std::vector<RequestId> running = fillRegistry(fleet);
        const RequestId id = fleet.plain(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        fleet.leave(id);
        fleet.advance(milliseconds(100));
        for (const ServingState &state : fleet.states) {
            for (const auto &[pool, owned] : state.pools) {
                REQUIRE(owned.state.waiting == 0);
            }
        }
        for (const RequestId &other : running) {
            fleet.finish(other, Outcome::Completed);
        }
    }
    fleet.advance(seconds(1));
    requireClean(fleet);
}
