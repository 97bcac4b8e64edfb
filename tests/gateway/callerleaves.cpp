#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;
using gateway::AttemptOutcome;
using standin::EngineCallState;

// Guards against work that goes on for a caller that has closed its connection.
TEST_CASE("A caller leaves")
{
    standin::EngineOptions options = engineOptions();
    options.tokenTime = seconds(30); // nothing is written to the caller, so only the watch can notice

    SECTION("while it waits for a grant")
    {
        GatewayFixture fixture(options, [](const auto &, unsigned) {
            return std::nullopt;
        });
        HttpClient client = fixture.client();
        REQUIRE(client.send(chatCall(5, true)));
        REQUIRE(waitFor([&] {
            return fixture.dispatch.requests().size() == 1;
        }));
        client.socket().close();
        const auto result = fixture.dispatch.awaitResult(1);
        REQUIRE(result);
        REQUIRE(result->outcome == AttemptOutcome::CallerLeft);
        REQUIRE(result->grant == 0);
        REQUIRE(result->id == fixture.dispatch.requests()[0].id);
    }

    SECTION("while the engine generates")
    {
        const bool stream = GENERATE(true, false);
        GatewayFixture fixture(options);
        HttpClient client = fixture.client();
        REQUIRE(client.send(chatCall(5, stream)));
        REQUIRE(fixture.awaitCalls(1));

        AND_WHEN("it closes its connection")
        {
            client.socket().close();
            const auto result = fixture.dispatch.awaitResult(1);
            REQUIRE(result);
            REQUIRE(result->outcome == AttemptOutcome::CallerLeft);
            REQUIRE(result->grant != 0);
            REQUIRE(fixture.awaitState(0, EngineCallState::Cancelled));
        }

        AND_WHEN("it had pipelined another call before")
        {
            REQUIRE(client.send(request("GET", "/healthz")));
            client.socket().close();
            REQUIRE(fixture.dispatch.awaitResult(1)->outcome == AttemptOutcome::CallerLeft);
            REQUIRE(fixture.awaitState(0, EngineCallState::Cancelled));
        }
    }

    SECTION("during a call that may not be repeated, which runs to its end so that its result is known")
    {
        options.plainService = true;
        options.tokenTime = Duration::zero();
        options.faults.answerDelay = milliseconds(200);
        GatewayFixture fixture(options);
        HttpClient client = fixture.client();
        REQUIRE(client.send(request("POST", "/registry/entries", "{}", "Idempotency-Key: k1\r\n")));
        REQUIRE(fixture.awaitCalls(1));
        client.socket().close();
        const auto result = fixture.dispatch.awaitResult(1);
        REQUIRE(result);
        REQUIRE(result->outcome == AttemptOutcome::Completed);
        REQUIRE(result->answerBody.find("\"echo\"") != std::string::npos);
        REQUIRE(fixture.awaitState(0, EngineCallState::Completed));
    }
}
