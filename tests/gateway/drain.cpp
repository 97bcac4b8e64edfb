#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

#include <future>

using namespace mimosahollow;
using namespace mimosahollow::tests;

// Guards against a graceful shutdown that cuts requests (P13).
TEST_CASE("An instance drains while a stream runs")
{
    standin::EngineOptions options = engineOptions();
    options.tokenTime = milliseconds(10);
    GatewayFixture fixture(options);
    HttpClient running = fixture.client();
    HttpClient idle = fixture.client();
    HttpClient begun = fixture.client();
    REQUIRE(idle.call(request("GET", "/readyz")).status == 200);
    const std::string late = chatCall(2, false);
    REQUIRE(begun.send(late.substr(0, 20)));
    REQUIRE(running.send(chatCall(100, true)));
    REQUIRE(running.awaitText("word0"));
    auto drained = std::async(std::launch::async, [&] {
        return fixture.gateway.drain();
    });

    // No new connections.
    REQUIRE(waitFor([&] {
        return !RawSocket(fixture.settings.callerAddress).connected();
    }));
    // Open connections: a new call is refused and the connection ends in order.
    const Answer refused = idle.call(chatCall(2, false));
    REQUIRE(refused.status == 503);
    REQUIRE(refused.error("code") == "shutting-down");
    REQUIRE(refused.error("outcome") == "not-run");
    REQUIRE(refused.header("Connection") == "close");
    REQUIRE(idle.awaitEnd());
    // A request that was being received is answered too.
    REQUIRE(begun.call(late.substr(20)).error("code") == "shutting-down");
    // The running stream is whole.
    const Answer stream = running.read();
    REQUIRE(stream.complete);
    REQUIRE(count(stream.body(), "\"content\":\"word") == 100);
    REQUIRE(stream.body().find("data: [DONE]\n\n") != std::string::npos);
    REQUIRE(running.awaitEnd());
    REQUIRE(drained.get());
}

// Guards against a shutdown that hangs, or that ends with an error, when calls do not finish in time.
TEST_CASE("An instance drains while a call hangs")
{
    standin::EngineOptions options = engineOptions();
    options.faults.hang = true;
    settings::Settings settings = gatewaySettings();
    settings.drainTimeout = milliseconds(100);
    GatewayFixture fixture(options, {}, settings);
    HttpClient client = fixture.client();
    REQUIRE(client.send(chatCall(2, GENERATE(true, false))));
    REQUIRE(fixture.awaitCalls(1));
    REQUIRE_FALSE(fixture.gateway.drain());
}
