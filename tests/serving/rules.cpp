#include "steps.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serving;
using Outcome = gateway::AttemptOutcome;

namespace {

/** Returns the tokens that an instance has spent in its present quota leases, less its refunds. */
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

} // namespace

// Guards against calls that run with another adapter than requested, without permission of their organisation, or with a
// withdrawn key.
TEST_CASE("only permitted calls run, with the adapter that they requested")
{
    Fleet fleet;
    fleet.configure();
    const RequestId early = fleet.callPlainService(0, "/open/x", std::nullopt);
    REQUIRE(fleet.refused(early) == RefusalReason::ConfigurationStale);
    fleet.start();

    SECTION("P1: the named version, or the default one, on a server that has loaded it")
    {
        const RequestId second = fleet.callModel(1, "base:greeting@2", 1, "greeting@2");
        const RequestId first = fleet.callModel(3, "base:greeting", 1, "greeting@1");
        fleet.advance(seconds(2));
        REQUIRE(fleet.running(second));
        REQUIRE(fleet.calls[first].grant->served == "base:greeting@1");
        fleet.finish(second, Outcome::Completed);
        fleet.finish(first, Outcome::Completed);
    }
    SECTION("P3: an unknown key, or an adapter or a route of another organisation, is refused")
    {
        REQUIRE(fleet.refused(fleet.callModel(0, "base:greeting", 9, Fleet::forbidden)) == RefusalReason::InvalidKey);
        REQUIRE(fleet.refused(fleet.callModel(0, "base:greeting", 2, Fleet::forbidden)).has_value());
        REQUIRE(fleet.refused(fleet.callPlainService(0, "/registry/x", 2, "", Fleet::forbidden)).has_value());
        REQUIRE(fleet.refused(fleet.callPlainService(0, "/registry/x", std::nullopt, "", Fleet::forbidden)) == RefusalReason::InvalidKey);
    }
    SECTION("P5: a withdrawn key is refused as soon as the configuration is applied")
    {
        fleet.configuration.keys.erase(fleet.configuration.keys.begin());
        fleet.configure();
        REQUIRE(fleet.refused(fleet.callModel(0, "base:greeting", 1, Fleet::forbidden)) == RefusalReason::InvalidKey);
    }
    SECTION("with a stale configuration only open routes are served")
    {
        fleet.stale.insert(0);
        fleet.advance(seconds(11));
        REQUIRE(fleet.refused(fleet.callModel(0, "base:greeting", 1, Fleet::forbidden)) == RefusalReason::ConfigurationStale);
        REQUIRE(fleet.refused(fleet.callPlainService(0, "/registry/x", 1, "", Fleet::forbidden)) == RefusalReason::ConfigurationStale);
        const RequestId open = fleet.callPlainService(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.running(open));
        fleet.finish(open, Outcome::Completed);
    }
    fleet.advance(milliseconds(100));
    requireNoViolations(fleet);
}

// Guards against new calls on servers that were taken out of service, and against the loss of calls that run there.
TEST_CASE("P8 and P12: servers and failure domains out of service get no new calls")
{
    Fleet fleet;
    fleet.start();
    const std::vector<RequestId> running = fillRegistry(fleet);
    const RequestId waiting = fleet.callPlainService(0, "/open/x", std::nullopt);
    fleet.advance(milliseconds(100));
    REQUIRE_FALSE(fleet.running(waiting));

    const bool wholeDomain = GENERATE(true, false);
    if (wholeDomain) {
        fleet.configuration.domains[0].outOfService = true;
    } else {
        fleet.configuration.servers[1].outOfService = true;
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
    requireNoViolations(fleet);
}

// Guards against a shutdown that aborts running calls, or that loses the unused tokens of organisations.
TEST_CASE("P13: an instance shuts down while a call runs")
{
    Fleet fleet;
    fleet.start();
    const RequestId id = fleet.callModel(0, "base:greeting", 1, "greeting@1");
    fleet.advance(seconds(2));
    REQUIRE(fleet.running(id));
    Actions actions;
    beginDrain(fleet.states[0], fleet.now, actions);
    REQUIRE(actions.empty());
    REQUIRE(fleet.refused(fleet.callModel(0, "base:greeting", 1, "greeting@1")) == RefusalReason::ShuttingDown);
    REQUIRE_FALSE(fleet.states[0].tokensReturned);

    SECTION("the tokens are returned when the call has ended")
    {
        fleet.finish(id, Outcome::Completed);
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.states[0].calls.empty());
        REQUIRE(fleet.states[0].tokensReturned);
        REQUIRE(admission::available(fleet.states[0].quotas, admission::accountOf(OrganisationId{1}), fleet.now) == 0);
    }
}

// Guards against retries that run a non-repeatable call twice, against the refusal "not run" for a call that may have run, and
// against retries without limit.
TEST_CASE("failed attempts")
{
    Fleet fleet;
    fleet.start();
    SECTION("P11: a non-repeatable call is not sent again after a byte of it was sent")
    {
        const RequestId id = fleet.callPlainService(0, "/registry/x", 1);
        fleet.advance(milliseconds(100));
        fleet.finish(id, Outcome::FailedBeforeAnswer);
        fleet.advance(seconds(1));
        REQUIRE(fleet.calls[id].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("a non-repeatable call is sent again when the connection was refused")
    {
        const RequestId id = fleet.callPlainService(0, "/registry/x", 1);
        fleet.advance(milliseconds(100));
        fleet.finish(id, Outcome::ConnectionRefused);
        fleet.advance(seconds(2));
        REQUIRE(fleet.running(id));
        fleet.finish(id, Outcome::Completed);
    }
    SECTION("P10: a call that may have run is not refused as not run when a retry finds no server")
    {
        const RequestId id = fleet.callPlainService(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        fleet.configuration.domains[0].outOfService = true;
        fleet.configuration.domains[1].outOfService = true;
        fleet.configure();
        fleet.finish(id, Outcome::FailedBeforeAnswer);
        fleet.advance(seconds(21));
        REQUIRE(fleet.calls[id].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("P6: no tokens are refunded for a refused call that may have run")
    {
        const RequestId id = fleet.callModel(0, "base:greeting", 1, "greeting@1");
        fleet.advance(seconds(2));
        REQUIRE(fleet.running(id));
        const double before = netSpent(fleet.states[0], OrganisationId{1});
        // The retries take milliseconds, so the quota lease is still the same one at the end.
        for (int attempt = 0; attempt < 10 && !fleet.calls[id].refusal; ++attempt) {
            if (fleet.running(id)) {
                fleet.finish(id, Outcome::FailedBeforeAnswer);
            }
            fleet.advance(milliseconds(50));
        }
        REQUIRE(fleet.calls[id].refusal.has_value());
        REQUIRE(fleet.calls[id].refusal->outcome == CallOutcome::Unknown);
        REQUIRE(netSpent(fleet.states[0], OrganisationId{1}) == Approx(before));
    }
    SECTION("retries are limited by the retry budget, the number of attempts and the deadline")
    {
        fleet.states[0].retryBudget.balance = admission::retryReserve;
        const RequestId failing = fleet.callPlainService(0, "/open/x", std::nullopt);
        while (fleet.calls[failing].finalReplies == 0) {
            fleet.advance(milliseconds(100));
            fleet.finish(failing, Outcome::FailedBeforeAnswer);
        }
        REQUIRE(fleet.calls[failing].runs == 3);

        fleet.states[0].retryBudget = {};
        unsigned attempts = 0;
        const unsigned calls = 30;
        for (unsigned i = 0; i < calls; ++i) {
            const RequestId id = fleet.callPlainService(0, "/open/x", std::nullopt);
            while (fleet.calls[id].finalReplies == 0) {
                fleet.advance(milliseconds(100));
                fleet.finish(id, Outcome::FailedBeforeAnswer);
            }
            REQUIRE(fleet.calls[id].runs <= 3);
            attempts += fleet.calls[id].runs;
        }
        REQUIRE(attempts <= calls + calls / 10 + 1); // retries of 10 % of the calls, and one with which a budget starts
        fleet.advance(seconds(10));
        const RequestId late = fleet.callPlainService(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        fleet.now += seconds(20);
        fleet.finish(late, Outcome::FailedBeforeAnswer);
        REQUIRE(fleet.refused(late) == RefusalReason::DeadlineExceeded);
    }
    SECTION("unused tokens are refunded")
    {
        const RequestId id = fleet.callModel(0, "base:greeting", 1, "greeting@1");
        fleet.advance(seconds(2));
        REQUIRE(fleet.running(id));
        const double before = netSpent(fleet.states[0], OrganisationId{1});
        fleet.finish(id, Outcome::Completed); // 5 of the 10 output tokens were used
        REQUIRE(netSpent(fleet.states[0], OrganisationId{1}) == Approx(before - 5));
    }
    fleet.advance(milliseconds(100));
    requireNoViolations(fleet);
}

// Longer than the 2 s for which a resend waits for the record of the first call before it is refused as in progress.
constexpr Duration resendWait = milliseconds(2500);

// Guards against a second run of a call with an idempotency key, and against records of calls that did not run, which would
// block a resend.
TEST_CASE("P11: calls with an idempotency key")
{
    Fleet fleet;
    fleet.start();
    SECTION("a resend through another instance gets the stored answer")
    {
        const RequestId first = fleet.callPlainService(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        const RequestId during = fleet.callPlainService(3, "/registry/x", 1, "key");
        fleet.advance(resendWait);
        REQUIRE(fleet.refused(during) == RefusalReason::InProgress);
        fleet.finish(first, Outcome::Completed);
        fleet.advance(milliseconds(100));
        const RequestId after = fleet.callPlainService(2, "/registry/x", 1, "key");
        const RequestId other = fleet.callPlainService(2, "/registry/y", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.calls[after].stored->body == "answer");
        REQUIRE(fleet.refused(other) == RefusalReason::IdempotencyConflict);
    }
    SECTION("a resend that arrives before the answer is stored waits for it")
    {
        const RequestId first = fleet.callPlainService(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        const RequestId resend = fleet.callPlainService(3, "/registry/x", 1, "key");
        fleet.advance(milliseconds(500));
        fleet.finish(first, Outcome::Completed);
        fleet.advance(milliseconds(500));
        REQUIRE(fleet.calls[resend].stored->body == "answer");
    }
    SECTION("an answer that is too large to be stored is not replaced by an empty one")
    {
        fleet.largeAnswers = true;
        const RequestId first = fleet.callPlainService(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        fleet.finish(first, Outcome::Completed);
        fleet.advance(milliseconds(100));
        const RequestId resend = fleet.callPlainService(2, "/registry/x", 1, "key");
        fleet.advance(resendWait);
        REQUIRE(fleet.calls[resend].refusal.has_value());
        REQUIRE(fleet.calls[resend].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("a resend does not run after the reply of the server was lost")
    {
        const RequestId first = fleet.callPlainService(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        fleet.finish(first, Outcome::FailedBeforeAnswer);
        const RequestId resend = fleet.callPlainService(2, "/registry/x", 1, "key");
        fleet.advance(resendWait);
        REQUIRE(fleet.calls[resend].refusal->outcome == CallOutcome::Unknown);
    }
    SECTION("a call does not run when the result of its commit is lost, and a resend runs")
    {
        fleet.loseCommitAnswers = true;
        const RequestId first = fleet.callPlainService(0, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.refused(first) == RefusalReason::NoQuorum);
        fleet.loseCommitAnswers = false;
        const RequestId resend = fleet.callPlainService(2, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.running(resend));
        fleet.finish(resend, Outcome::Completed);
    }
    SECTION("a caller that disconnects, or a deadline that passes, during the commit does not block a resend")
    {
        fleet.holdCommits = true;
        const RequestId first = fleet.callPlainService(0, "/registry/x", 1, "key");
        const bool leaves = GENERATE(true, false);
        if (leaves) {
            fleet.disconnectCaller(first);
        }
        fleet.advance(seconds(leaves ? 1 : 21));
        fleet.holdCommits = false;
        for (const auto &commit : fleet.held) {
            commit();
        }
        fleet.advance(milliseconds(100));
        const RequestId resend = fleet.callPlainService(2, "/registry/x", 1, "key");
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.running(resend));
        fleet.finish(resend, Outcome::Completed);
    }
    fleet.advance(milliseconds(100));
    requireNoViolations(fleet);
}

// Guards against calls and queued requests that remain after their caller has disconnected.
TEST_CASE("a caller disconnects while its call waits")
{
    Fleet fleet;
    SECTION("for tokens")
    {
        fleet.configure();
        fleet.advance(milliseconds(600));
        const RequestId id = fleet.callModel(0, "base:greeting", 1, "greeting@1");
        REQUIRE(fleet.states[0].calls.at(id).stage == CallStage::AwaitingTokens);
        fleet.disconnectCaller(id);
        REQUIRE(fleet.states[0].quotas.accounts.at(admission::accountOf(OrganisationId{1})).waiting.empty());
    }
    SECTION("for a grant")
    {
        fleet.start();
        const std::vector<RequestId> running = fillRegistry(fleet);
        const RequestId id = fleet.callPlainService(0, "/open/x", std::nullopt);
        fleet.advance(milliseconds(100));
        fleet.disconnectCaller(id);
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
    requireNoViolations(fleet);
}
