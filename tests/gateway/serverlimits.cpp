#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;

// Guards against limits that backend servers name and nobody reads, and against limits that never end.
TEST_CASE("The gateway passes on the limit that a backend server names")
{
    standin::EngineOptions options = engineOptions();
    const std::string address = options.address;
    bool isLimited = false;
    const auto decide = [&](const gateway::ServingRequest &request, unsigned) -> std::optional<ReplyContent> {
        gateway::ServingGrant grant = grantFor(request, address);
        grant.isLimited = isLimited;
        return grant;
    };

    SECTION("in the head of a stream, before its end")
    {
        options.faults.namedLimit = "3.5";
        options.tokenTime = seconds(30);
        GatewayFixture fixture(options, decide);
        HttpClient client = fixture.client();
        REQUIRE(client.send(chatCall(2, true)));
        REQUIRE(waitFor([&] {
            return fixture.dispatch.limits().size() == 1;
        }));
        CHECK(fixture.dispatch.limits()[0].callsPerSecond == 3.5);
        CHECK(fixture.dispatch.results().empty());
    }
    SECTION("0 as the lowest limit, so that the server can name another one")
    {
        options.faults.namedLimit = "0";
        GatewayFixture fixture(options, decide);
        HttpClient client = fixture.client();
        REQUIRE(client.call(chatCall(2, false)).status == 200);
        REQUIRE(fixture.dispatch.awaitResult(1));
        REQUIRE(fixture.dispatch.limits().size() == 1);
        CHECK(fixture.dispatch.limits()[0].callsPerSecond > 0);
    }
    SECTION("its end, if the server was limited before, and nothing otherwise")
    {
        GatewayFixture fixture(options, decide);
        HttpClient client = fixture.client();
        REQUIRE(client.call(chatCall(2, false)).status == 200);
        REQUIRE(fixture.dispatch.awaitResult(1));
        CHECK(fixture.dispatch.limits().empty());
        isLimited = true;
        REQUIRE(client.call(chatCall(2, false)).status == 200);
        REQUIRE(fixture.dispatch.awaitResult(2));
        REQUIRE(fixture.dispatch.limits().size() == 1);
        CHECK(fixture.dispatch.limits()[0].callsPerSecond == 0);
        CHECK(fixture.dispatch.limits()[0].id == fixture.dispatch.results()[1].id);
    }
    SECTION("nothing from an answer to a call that has not run")
    {
        GatewayFixture fixture(options, [&](const gateway::ServingRequest &request, unsigned attempt) -> std::optional<ReplyContent> {
            if (attempt > 0) {
                return gateway::ServingRefusal{RefusalReason::NoCapacity, CallOutcome::NotRun, {}};
            }
            gateway::ServingGrant grant = grantFor(request, address);
            grant.isLimited = true;
            grant.adapter = "missing@1";
            return grant;
        });
        HttpClient client = fixture.client();
        REQUIRE(client.call(chatCall(2, false)).status == 503);
        CHECK(fixture.dispatch.limits().empty());
    }
    SECTION("nothing if it is no number, and the limit stays")
    {
        options.faults.namedLimit = "many";
        isLimited = true;
        GatewayFixture fixture(options, decide);
        HttpClient client = fixture.client();
        REQUIRE(client.call(chatCall(2, false)).status == 200);
        REQUIRE(fixture.dispatch.awaitResult(1));
        CHECK(fixture.dispatch.limits().empty());
    }
}
