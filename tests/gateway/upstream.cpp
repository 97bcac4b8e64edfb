#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;
using gateway::AttemptOutcome;
using standin::EngineCallState;

// Guards against answers of other calls (P9) and against second runs of calls that may not be repeated (P11).
TEST_CASE("The gateway reuses a connection to a backend server")
{
    settings::Settings settings = gatewaySettings();
    settings.gatewayThreads = 1; // all calls share the idle connections
    standin::EngineOptions options = engineOptions();

    SECTION("that the server closes when the next call arrives")
    {
        options.faults.closeSilently = true;
        GatewayFixture fixture(options, {}, settings);
        HttpClient client = fixture.client();
        for (int i = 0; i < 20; ++i) {
            REQUIRE(client.call(chatCall(1, false)).status == 200);
        }
    }

    SECTION("but not for a call that may not be repeated")
    {
        options.plainService = true;
        options.faults.closeSilently = true;
        GatewayFixture fixture(options, {}, settings);
        HttpClient client = fixture.client();
        for (int i = 0; i < 20; ++i) {
            REQUIRE(client.call(request("POST", "/registry/entries", "{}")).status == 200);
        }
        REQUIRE(fixture.engine.calls().size() == 20);
    }

    SECTION("on which the answer of another call arrives first")
    {
        GatewayFixture fixture(options, {}, settings);
        HttpClient client = fixture.client();
        REQUIRE(client.call(chatCall(1, false)).status == 200);
        standin::EngineFaults faults;
        faults.foreignAnswerFirst = true;
        fixture.engine.setFaults(faults);
        const Answer refused = client.call(chatCall(1, false));
        REQUIRE(refused.status == 502);
        REQUIRE(refused.error("outcome") == "unknown");

        AND_WHEN("the server is in step again, its late answer reaches nobody")
        {
            fixture.engine.setFaults({});
            for (int i = 0; i < 5; ++i) {
                const Answer answer = client.call(chatCall(2, false));
                REQUIRE(answer.status == 200);
                REQUIRE(answer.body().find("word1") != std::string::npos);
            }
        }
    }
}

// Guards against a call that runs twice although it may not be repeated (P11), and against a wrong "not run" (P10).
TEST_CASE("A plain service call may not be repeated")
{
    standin::EngineOptions options = engineOptions();
    options.plainService = true;

    SECTION("and its answer has another id, so the outcome is unknown")
    {
        options.faults.wrongRequestId = true;
        GatewayFixture fixture(options);
        const Answer answer = fixture.client().call(request("POST", "/registry/entries", "{}"));
        REQUIRE(answer.status == 502);
        REQUIRE(answer.error("outcome") == "unknown");
        REQUIRE(fixture.engine.calls().size() == 1);
    }

    SECTION("and its server refuses the connection, so it is placed elsewhere")
    {
        const std::string good = options.address;
        GatewayFixture fixture(options, [good](const gateway::ServingRequest &request, unsigned attempt) -> std::optional<ReplyContent> {
            return grantFor(request, attempt == 0 ? freeAddress() : good);
        });
        REQUIRE(fixture.client().call(request("POST", "/registry/entries", "{}")).status == 200);
        REQUIRE(fixture.dispatch.awaitResult(1)->outcome == AttemptOutcome::ConnectionRefused);
        REQUIRE(fixture.engine.calls().size() == 1);
    }

    SECTION("and its answer is stored only up to a limit")
    {
        GatewayFixture fixture(options);
        const std::string large(60'000, '\x01'); // six bytes each in the echo
        REQUIRE(fixture.client().call(request("POST", "/registry/entries", large, "Idempotency-Key: k\r\n")).status == 200);
        REQUIRE(fixture.dispatch.awaitResult(1)->answerOmitted);
        REQUIRE(fixture.dispatch.awaitResult(1)->answerBody.empty());
    }
}
