#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;
using gateway::AttemptOutcome;

namespace {

bool endsWithError(const Answer &answer, std::string_view code)
{
    const auto at = answer.body().rfind("event: error\n");
    return at != std::string::npos && answer.body().find("[DONE]") == std::string::npos
           && answer.body().find("\"code\":\"" + std::string(code) + "\"", at) != std::string::npos;
}

} // namespace

// Guards against streams that look complete although they are not (P9), and against lost or repeated tokens.
TEST_CASE("A caller reads a stream")
{
    standin::EngineOptions options = engineOptions();

    SECTION("that is complete")
    {
        GatewayFixture fixture(options);
        HttpClient client = fixture.client();
        const Answer answer = client.call(chatCall(20, true, R"(,"stream_options":{"include_usage":true})"));
        REQUIRE(answer.status == 200);
        REQUIRE(answer.complete);
        REQUIRE(count(answer.body(), "\"content\":\"word") == 20);
        REQUIRE(answer.body().find("\"usage\":{\"completion_tokens\":20}") != std::string::npos);
        REQUIRE(answer.body().find("data: [DONE]\n\n") != std::string::npos);
        REQUIRE(count(answer.body(), "\"model\":\"base\"") == 21);
        REQUIRE(answer.header("X-Model-Served") == "base");
        REQUIRE(fixture.dispatch.awaitResult(1)->outcome == AttemptOutcome::Completed);
        REQUIRE(fixture.dispatch.awaitResult(1)->outputTokens == 20);

        AND_WHEN("the connection carries the next call")
        {
            REQUIRE(client.call(chatCall(3, false)).status == 200);
        }
    }

    SECTION("that the engine cuts off in the middle of an event")
    {
        options.faults.dieAfterTokens = 4;
        GatewayFixture fixture(options);
        HttpClient client = fixture.client();
        const Answer answer = client.call(chatCall(10, true));
        REQUIRE(count(answer.body(), "\"content\":\"word") == 4);
        REQUIRE(endsWithError(answer, "backend-failed"));
        REQUIRE(client.awaitEnd());
        REQUIRE(fixture.dispatch.awaitResult(1)->outcome == AttemptOutcome::FailedDuringAnswer);
        REQUIRE(fixture.dispatch.awaitResult(1)->outputTokens == 4);
    }

    SECTION("that the engine ends early as if it were complete")
    {
        options.faults.endAfterTokens = 4;
        GatewayFixture fixture(options);
        REQUIRE(endsWithError(fixture.client().call(chatCall(10, true)), "backend-failed"));
    }

    SECTION("that fails before its first token, and nothing of it reached the caller")
    {
        options.faults.wrongRequestId = true;
        GatewayFixture fixture(options);
        const Answer answer = fixture.client().call(chatCall(10, true));
        REQUIRE(answer.status == 502);
        REQUIRE(answer.error("outcome") == "unknown");
    }

    SECTION("that an engine with support for it resumes")
    {
        options.supportsResume = true;
        options.faults.dieAfterTokens = 4;
        GatewayFixture fixture(options);
        const Answer answer = fixture.client().call(chatCall(10, true));
        REQUIRE(answer.complete);
        for (unsigned token = 0; token < 10; ++token) {
            REQUIRE(count(answer.body(), "\"word" + std::to_string(token) + " \"") == 1);
        }
        REQUIRE(answer.body().find("event: error") == std::string::npos);
        REQUIRE(fixture.dispatch.awaitResult(1)->outcome == AttemptOutcome::Completed);
        REQUIRE(fixture.engine.calls().back().firstToken == 4);
    }

    // Guards against the error of the backend server being written into the body of the stream.
    SECTION("that an engine with support for it fails to resume")
    {
        options.supportsResume = true;
        options.faults.dieAfterTokens = 4;
        options.faults.failResumes = true;
        GatewayFixture fixture(options);
        HttpClient client = fixture.client();
        const Answer answer = client.call(chatCall(10, true));
        REQUIRE(count(answer.body(), "\"content\":\"word") == 4);
        REQUIRE(answer.body().find("can't be resumed") == std::string::npos);
        REQUIRE(endsWithError(answer, "backend-failed"));
        REQUIRE(client.awaitEnd());
    }

    SECTION("that passes its deadline")
    {
        options.tokenTime = milliseconds(50);
        settings::Settings settings = gatewaySettings();
        settings.requestDeadline = milliseconds(400);
        GatewayFixture fixture(options, {}, settings);
        REQUIRE(endsWithError(fixture.client().call(chatCall(100'000, true)), "deadline-exceeded"));
        REQUIRE(fixture.dispatch.awaitResult(1)->outcome == AttemptOutcome::DeadlineExceeded);
        REQUIRE(fixture.awaitState(0, standin::EngineCallState::Cancelled));
    }

    SECTION("over HTTP/1.0, without chunks")
    {
        GatewayFixture fixture(options);
        std::string call = chatCall(5, true);
        call.replace(call.find("HTTP/1.1"), 8, "HTTP/1.0");
        const Answer answer = fixture.client().call(call);
        REQUIRE(answer.status == 200);
        REQUIRE(answer.header("Transfer-Encoding").empty());
        REQUIRE(answer.body().starts_with("data: {"));
        REQUIRE(answer.body().find("data: [DONE]\n\n") != std::string::npos);
    }
}

// Guards against a call that gets more time than its deadline, in its grant or through retries.
TEST_CASE("A call is held up until its deadline")
{
    standin::EngineOptions options = engineOptions();
    options.faults.hang = true;

    SECTION("which the grant of a plain service shortens")
    {
        options.plainService = true;
        const std::string address = options.address;
        GatewayFixture fixture(options, [address](const gateway::ServingRequest &request, unsigned) -> std::optional<ReplyContent> {
            gateway::ServingGrant grant = grantFor(request, address);
            grant.deadline = request.arrival + milliseconds(200);
            return grant;
        });
        const Answer answer = fixture.client().call(request("POST", "/registry/entries", "{}"));
        REQUIRE(answer.status == 504);
        REQUIRE(answer.error("outcome") == "unknown");
    }

    SECTION("which a second grant does not extend")
    {
        settings::Settings settings = gatewaySettings();
        settings.requestDeadline = milliseconds(300);
        const std::string hanging = options.address;
        GatewayFixture fixture(
            options,
            [hanging](const gateway::ServingRequest &request, unsigned attempt) -> std::optional<ReplyContent> {
                gateway::ServingGrant grant = grantFor(request, attempt == 0 ? freeAddress() : hanging);
                grant.deadline = request.deadline + seconds(60);
                return grant;
            },
            settings);
        const Answer answer = fixture.client().call(chatCall(2, false));
        REQUIRE(answer.status == 504);
        REQUIRE(answer.error("code") == "deadline-exceeded");
        REQUIRE(fixture.dispatch.awaitResult(1)->outcome == AttemptOutcome::ConnectionRefused);
        REQUIRE(fixture.dispatch.awaitResult(2)->outcome == AttemptOutcome::DeadlineExceeded);
    }

    SECTION("while no reply of the dispatch thread arrives")
    {
        settings::Settings settings = gatewaySettings();
        settings.requestDeadline = milliseconds(100);
        GatewayFixture fixture(
            options,
            [](const auto &, unsigned) {
                return std::nullopt;
            },
            settings);
        const Answer answer = fixture.client().call(chatCall(2, false));
        REQUIRE(answer.status == 504);
        REQUIRE(answer.error("outcome") == "not-run");
        REQUIRE(fixture.dispatch.awaitResult(1)->grant == 0);
    }
}
