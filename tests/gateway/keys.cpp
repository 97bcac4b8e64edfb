#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

const std::string key = "mh-3f9c2b7d41e8a605";

bool sawKey(const standin::EngineCall &call)
{
    bool seen = call.target.find(key) != std::string::npos || call.body.find(key) != std::string::npos;
    for (const auto &[name, value] : call.headers) {
        seen = seen || value.find(key) != std::string::npos || name.find(key) != std::string::npos;
    }
    return seen;
}

} // namespace

// Guards against a backend server that learns a caller's key (P4).
TEST_CASE("A caller puts its key")
{
    standin::EngineOptions options = engineOptions();
    const std::string authorization = "Authorization: Bearer " + key + "\r\n";

    SECTION("into every part of a model call that is not content")
    {
        GatewayFixture fixture(options);
        const std::string headers =
            authorization + "X-Api-Key: " + key + "\r\nCookie: key=" + key + "\r\nOpenAI-Organization: " + key + "\r\nUser-Agent: " + key + "\r\n";
        std::string call = chatCall(2, GENERATE(true, false), ",\"user\":\"" + key + "\",\"" + key + "\":1", headers);
        call.replace(call.find("/v1/chat/completions"), 20, "/v1/chat/completions?api_key=" + key);
        REQUIRE(fixture.client().call(call).status == 200);
        REQUIRE(fixture.engine.calls().size() == 1);
        REQUIRE_FALSE(sawKey(fixture.engine.calls()[0]));
    }

    SECTION("into every part of a plain service call that is not content")
    {
        options.plainService = true;
        GatewayFixture fixture(options);
        const std::string headers = "authorization: bearer " + key + "\r\nX-Api-Key: " + key + "\r\nCookie: key=" + key + "\r\nReferer: http://test/?key=" + key
                                    + "\r\nX-Request-Id: " + key + "\r\nContent-Type: application/json; key=" + key + "\r\nIdempotency-Key: k1\r\n";
        REQUIRE(fixture.client().call(request("POST", "/registry/entries?key=" + key + "#" + key, "{}", headers)).status == 200);
        REQUIRE(fixture.engine.calls().size() == 1);
        REQUIRE_FALSE(sawKey(fixture.engine.calls()[0]));
        REQUIRE(fixture.dispatch.requests()[0].keyHash);
    }

    SECTION("into its own content, and the call is refused")
    {
        options.plainService = true;
        GatewayFixture fixture(options);
        HttpClient client = fixture.client();
        REQUIRE(client.call(chatCall(2, false, ",\"stop\":\"" + key + "\"", authorization)).status == 400);
        REQUIRE(client.call(chatCall(2, false, ",\"stop\":\"\\u006d" + key.substr(1) + "\"", authorization)).status == 400);
        REQUIRE(client.call(request("POST", "/registry/entries", "{\"key\":\"" + key + "\"}", authorization)).status == 400);
        REQUIRE(client.call(request("POST", "/registry/%6d" + key.substr(1), "{}", authorization)).status == 400);
        REQUIRE(client.call(request("POST", "/registry/x", "{}", authorization + "Content-Type: " + key + "\r\n")).status == 400);
        REQUIRE(fixture.engine.calls().empty());
    }
}
