#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

Answer order(const std::string &address, std::string_view kind, std::string_view adapter, unsigned fencing)
{
    const std::string body =
        "{\"order\":\"" + std::string(kind) + "\",\"adapter\":\"" + std::string(adapter) + "\",\"fencing\":" + std::to_string(fencing) + "}";
    return HttpClient(address).call(request("POST", "/orders", body));
}

constexpr std::string_view generateCall = R"({"model":"base","adapter":"a@1","messages":[],"max_tokens":2})";

} // namespace

// Guards against a stand-in that is kinder than the engines it stands for, which would hide faults of the system.
TEST_CASE("A stand-in engine takes orders and calls")
{
    standin::EngineOptions options = engineOptions();
    options.loadTime = Duration::zero();
    options.adapterSlots = 1;

    SECTION("an adapter must be loaded first, and slots are limited")
    {
        standin::Engine engine(options);
        engine.start();
        REQUIRE(HttpClient(options.address).call(request("POST", "/v1/chat/completions", generateCall)).header("X-Not-Run") == "adapter-missing");
        REQUIRE(order(options.address, "load", "a@1", 5).status == 200);
        REQUIRE(HttpClient(options.address).call(request("POST", "/v1/chat/completions", generateCall)).status == 200);
        REQUIRE(order(options.address, "load", "b@1", 5).status == 507);
        REQUIRE(order(options.address, "unload", "a@1", 4).status == 412);
        REQUIRE(engine.calls().size() == 2);

        AND_WHEN("it restarts empty")
        {
            engine.restart();
            REQUIRE(HttpClient(options.address).call(request("POST", "/v1/chat/completions", generateCall)).status == 409);
        }
    }

    SECTION("one that ignores fencing numbers carries out old orders")
    {
        options.checksFencing = false;
        standin::Engine engine(options);
        engine.start();
        REQUIRE(order(options.address, "load", "a@1", 5).status == 200);
        REQUIRE(order(options.address, "unload", "a@1", 4).status == 200);
    }

    SECTION("a cold one resets what it cannot bear")
    {
        options.tokenTime = seconds(30);
        options.bearsWhenCold = 1;
        standin::Engine engine(options);
        engine.start();
        HttpClient first(options.address);
        REQUIRE(first.send(chatCall(2, false)));
        REQUIRE(waitFor([&] {
            return engine.calls().size() == 1;
        }));
        REQUIRE(HttpClient(options.address).call(chatCall(2, false)).status == 0);
    }

    SECTION("tests in other processes inspect it and change its faults")
    {
        standin::Engine engine(options);
        engine.start();
        REQUIRE(HttpClient(options.address).call(request("POST", "/standin/faults", R"({"refuse_loads":true})")).status == 200);
        REQUIRE(order(options.address, "load", "a@1", 1).status == 503);
        REQUIRE(HttpClient(options.address).call(request("POST", "/standin/restart", "{}")).status == 200);
        REQUIRE(HttpClient(options.address).call(chatCall(2, false)).status == 200);
        const Answer calls = HttpClient(options.address).call(request("GET", "/standin/calls"));
        REQUIRE(calls.body().find("\"Authorization\":\"Bearer secret-key\"") != std::string::npos);
    }
}
