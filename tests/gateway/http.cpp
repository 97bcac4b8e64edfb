#include "support/gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;

// Guards against callers that are answered wrongly, or not at all, because of the form of their request.
TEST_CASE("A caller speaks HTTP")
{
    standin::EngineOptions options = engineOptions();
    options.plainService = true;
    GatewayFixture fixture(options);
    HttpClient client = fixture.client();

    SECTION("with HEAD")
    {
        const Answer own = client.call(request("HEAD", "/healthz"), true);
        REQUIRE(own.status == 200);
        REQUIRE(own.header("Content-Length") == "3");
        const Answer service = client.call(request("HEAD", "/registry/entries"), true);
        REQUIRE(service.status == 200);
        REQUIRE(service.header("Content-Length") != "0");
        REQUIRE(client.call(request("GET", "/healthz")).body() == "ok\n");
    }

    SECTION("with Expect: 100-continue")
    {
        REQUIRE(client.send("POST /registry/x HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"));
        REQUIRE(client.awaitText("HTTP/1.1 100 Continue\r\n\r\n"));
        client.forget();
        const Answer answer = client.call("body");
        REQUIRE(answer.status == 200);
        REQUIRE(answer.body().find("\"echo\":\"body\"") != std::string::npos);
    }

    SECTION("with Expect: 100-continue and a body above the limit, which is never asked for")
    {
        const Answer answer = client.call("POST /registry/x HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n");
        REQUIRE(answer.status == 413);
    }

    SECTION("with a framing that other programs may read differently; the body must not be served as a second request")
    {
        const std::string smuggled = "GET /registry/smuggled HTTP/1.1\r\nHost: test\r\n\r\n";
        for (const std::string encoding : {"xchunked", "identity", "chunked, identity"}) {
            HttpClient other = fixture.client();
            const Answer answer = other.call("POST /registry/x HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: " + encoding + "\r\n\r\n" + smuggled);
            CHECK(answer.status == 400);
            CHECK(other.awaitEnd());
        }
        for (const std::string headers : {"", "Host: test\r\nHost: other\r\n", "Host: test\r\nAuthorization: Bearer a\r\nAuthorization: Bearer b\r\n"}) {
            HttpClient other = fixture.client();
            CHECK(other.call("GET /registry/x HTTP/1.1\r\n" + headers + "\r\n").status == 400);
            CHECK(other.awaitEnd());
        }
    }

    SECTION("with HTTP/1.0")
    {
        const Answer answer = client.call("GET /registry/x HTTP/1.0\r\n\r\n");
        REQUIRE(answer.status == 200);
        REQUIRE(answer.complete);
        REQUIRE(client.awaitEnd());
    }

    SECTION("with pipelined requests, which are answered in order")
    {
        std::string text;
        for (int i = 0; i < 10; ++i) {
            text += request("POST", "/registry/" + std::to_string(i), "{}");
        }
        REQUIRE(client.send(text));
        for (int i = 0; i < 10; ++i) {
            REQUIRE(client.read().body().find("\"path\":\"/registry/" + std::to_string(i) + "\"") != std::string::npos);
        }
    }

    SECTION("with input that is not valid")
    {
        struct Case
        {
            const char *name;
            std::string text;
            unsigned status;
        };
        const std::string controlModel = R"({"model":"ba\u0000se","messages":[]})";
        const std::string notUtf8 = "{\"model\":\"base\",\"messages\":[\"\xff\xfe\"]}";
        const std::string deep = R"({"model":"base","messages":)" + std::string(5000, '[') + std::string(5000, ']') + "}";
        const std::vector<Case> cases{
            {"not HTTP", "nonsense\r\n\r\n", 400},
            {"head above the limit", "GET / HTTP/1.1\r\nX: " + std::string(10'000, 'x') + "\r\n\r\n", 431},
            {"declared body above the limit", "POST /registry/x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413},
            {"chunked body above the limit",
             "POST /registry/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + std::string(0x20000, 'x') + "\r\n0\r\n\r\n",
             413},
            {"two lengths", "POST /registry/x HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
            {"NUL in the head", std::string("GET /registry/x HTTP/1.1\r\nX: a\0b\r\n\r\n", 37), 400},
            {"bytes that are not ASCII in the path", "GET /registry/\xc3\xa4 HTTP/1.1\r\n\r\n", 400},
            {"path above the root", request("GET", "/registry/../../x"), 400},
            {"method that is not supported", request("TRACE", "/registry/x"), 400},
            {"not JSON", request("POST", "/v1/chat/completions", "{"), 400},
            {"NUL in the model name", request("POST", "/v1/chat/completions", controlModel), 400},
            {"not UTF-8", request("POST", "/v1/chat/completions", notUtf8), 400},
            {"deep nesting", request("POST", "/v1/chat/completions", deep), 400},
            {"unprintable Idempotency-Key", request("POST", "/registry/x", "{}", "Idempotency-Key: \x80\r\n"), 400},
        };
        for (const Case &entry : cases) {
            INFO(entry.name);
            HttpClient other = fixture.client();
            const Answer answer = other.call(entry.text);
            REQUIRE(answer.status == entry.status);
            REQUIRE(answer.error("outcome") == "not-run");
            REQUIRE(answer.error("type") == "invalid_request_error");
            REQUIRE(!answer.error("message").empty());
            REQUIRE(!answer.error("request_id").empty());
        }
        REQUIRE(fixture.engine.calls().empty());
        REQUIRE(client.call(request("GET", "/healthz")).status == 200);
    }
}

// Guards against connections that a slow or silent caller holds for ever.
TEST_CASE("A caller sends slowly")
{
    settings::Settings settings = gatewaySettings();
    settings.headTimeout = milliseconds(200);
    settings.idleTimeout = milliseconds(300);
    GatewayFixture fixture(engineOptions(), {}, settings);
    HttpClient client = fixture.client();

    SECTION("a head that never ends")
    {
        REQUIRE(client.send("GET /healthz HTTP/1.1\r\n"));
        REQUIRE(client.awaitEnd());
    }
    SECTION("a body that never ends")
    {
        REQUIRE(client.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n1"));
        REQUIRE(client.awaitEnd());
    }
    SECTION("nothing at all")
    {
        REQUIRE(client.awaitEnd());
    }
}

// Guards against senders of large bodies that together exhaust the memory of the instance.
TEST_CASE("Many callers declare large bodies")
{
    settings::Settings settings = gatewaySettings();
    settings.maximumBodyBytes = 64U << 20U;
    GatewayFixture fixture(engineOptions(), {}, settings);
    const std::string head = "POST /v1/completions HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " + std::to_string(60U << 20U) + "\r\n\r\n";
    std::vector<HttpClient> senders;
    for (int i = 0; i < 4; ++i) {
        senders.push_back(fixture.client());
        REQUIRE(senders.back().send(head));
        REQUIRE(senders.back().awaitText("100 Continue"));
    }
    const Answer answer = fixture.client().call(head);
    REQUIRE(answer.status == 503);
    REQUIRE(answer.error("code") == "overloaded");
    REQUIRE(answer.error("outcome") == "not-run");
    REQUIRE(fixture.client().call(request("GET", "/healthz")).status == 200);

    AND_WHEN("one of them leaves, its space is free again")
    {
        senders.pop_back();
        REQUIRE(waitFor([&] {
            HttpClient attempt = fixture.client();
            return attempt.send(head) && attempt.awaitText("HTTP/1.1 ") && attempt.awaitText("\r\n\r\n") && attempt.received().starts_with("HTTP/1.1 100");
        }));
    }
}

// Guards against announcements that later code would trip over.
TEST_CASE("A backend server announces itself")
{
    GatewayFixture fixture;
    HttpClient client(fixture.settings.backendAddress);
    const std::string good =
        R"({"name":"s1","address":"127.0.0.1:1","failure_domain":"a","kind":"base","incarnation":1,"slots":2,"adapter_slots":2,"cold_limit":1})";
    REQUIRE(client.call(request("POST", "/backend/v1/announce", good)).status == 200);
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"s1\"", "\"s\\u0000\""}, {"\"s1\"", "7"}, {"\"slots\":2", "\"slots\":-1"}, {"}", ""}}) {
        std::string bad = good;
        bad.replace(bad.find(from), from.size(), to);
        INFO(bad);
        REQUIRE(client.call(request("POST", "/backend/v1/announce", bad)).status == 400);
    }
    REQUIRE(client.call(request("POST", "/v1/chat/completions", good)).status == 404);
}

// Guards against errors that OpenAI clients cannot read, and against a list of models that shows what others use.
TEST_CASE("A caller is refused")
{
    GatewayFixture fixture(engineOptions(), [](const auto &, unsigned) -> std::optional<ReplyContent> {
        return gateway::ServingRefusal{RefusalReason::RateLimited, CallOutcome::NotRun, milliseconds(1500)};
    });
    HttpClient client = fixture.client();

    SECTION("by a rate limit")
    {
        const Answer answer = client.call(chatCall(1, false));
        REQUIRE(answer.status == 429);
        REQUIRE(answer.header("Retry-After") == "2");
        REQUIRE(answer.error("type") == "rate_limit_error");
        REQUIRE(answer.error("code") == "rate-limited");
        REQUIRE(answer.error("outcome") == "not-run");
        REQUIRE(answer.error("request_id") == answer.header("X-Request-Id"));
    }

    SECTION("by the list of models without a known key")
    {
        REQUIRE(client.call(request("GET", "/v1/models")).status == 401);
        REQUIRE(client.call(request("GET", "/v1/models", {}, "Authorization: Bearer other\r\n")).status == 401);
        REQUIRE(client.call(request("GET", "/v1/models", {}, "Authorization: Bearer secret-key\r\n")).status == 200);
    }

    SECTION("and the metrics count it")
    {
        REQUIRE(client.call(chatCall(1, false)).status == 429);
        const std::string text = client.call(request("GET", "/metrics")).body();
        REQUIRE(text.find("mimosahollow_refusals_total{reason=\"rate-limited\"} 1\n") != std::string::npos);
        REQUIRE(text.find("mimosahollow_call_seconds_count{outcome=\"refused\"} 1\n") != std::string::npos);
        REQUIRE(text.find("mimosahollow_connections 1\n") != std::string::npos);
        REQUIRE(text.find("mimosahollow_running_calls 0\n") != std::string::npos);
        REQUIRE(text.find("other_metric 1\n") != std::string::npos);
    }
}
