#include "httpio/framing.h"
#include "ingress/callerrequest.h"
#include "ingress/eventrelay.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace http = boost::beast::http;

namespace {

HeaderNames makeHeaderNames()
{
    HeaderNames headerNames;
    headerNames.callId = "Call-Id";
    headerNames.deadline = "Patience";
    headerNames.model = "Model-Name";
    headerNames.tokenCounts = "Counts";
    headerNames.promptParts = "Parts";
    headerNames.lastEventId = "Last-Event-Id";
    headerNames.responseSignature = "Signature";
    headerNames.notRun = "Not-Run";
    headerNames.organisation = "Organisation";
    headerNames.expectedServer = "Server-Id";
    headerNames.expectedVersion = "Model-Version";
    headerNames.priority = "Urgency";
    headerNames.reserved = {"Reserve"};
    return headerNames;
}

CallerRequest makeRequest()
{
    CallerRequest request(http::verb::post, "/a/b?c=d", 11);
    request.set(http::field::host, "one.example:80");
    request.set(http::field::authorization, "Bearer key-1");
    request.set("Call-Id", "q1");
    request.set("Model-Name", "base/a7");
    request.set("Counts", "1460,80");
    request.set("Parts", "5c1e:800,91bd:410,e440:250");
    request.body() = "body";
    request.set(http::field::content_length, "4");
    return request;
}

} // namespace

// Guards against request smuggling: if the end of a request is ambiguous, part of its body could be parsed as another request.
TEST_CASE("A request with invalid or ambiguous framing is refused")
{
    CallerRequest request = makeRequest();
    REQUIRE(httpio::findFramingError(request).empty());

    SECTION("no Host header, or two")
    {
        request.insert(http::field::host, "two.example");
        CHECK_FALSE(httpio::findFramingError(request).empty());
        request.erase(http::field::host);
        CHECK_FALSE(httpio::findFramingError(request).empty());
    }
    SECTION("two Authorization headers")
    {
        request.insert(http::field::authorization, "Bearer key-2");
        CHECK_FALSE(httpio::findFramingError(request).empty());
    }
    SECTION("a transfer encoding that is not exactly chunked")
    {
        request.erase(http::field::content_length);
        for (const char *encoding : {"xchunked", "identity", "gzip, chunked"}) {
            request.set(http::field::transfer_encoding, encoding);
            CHECK_FALSE(httpio::findFramingError(request).empty());
        }
        request.set(http::field::transfer_encoding, "chunked");
        CHECK(httpio::findFramingError(request).empty());
    }
    SECTION("both a length and a transfer encoding")
    {
        request.set(http::field::transfer_encoding, "chunked");
        CHECK_FALSE(httpio::findFramingError(request).empty());
    }
}

// Guards against forwarding headers that only the system may set, or the caller's API key, to a backend server.
TEST_CASE("The forwarded head contains the caller's headers except reserved and hop-by-hop ones")
{
    CallerRequest request = makeRequest();
    request.set("Organisation", "forged");
    request.set("Reserve", "forged");
    request.set("Urgency", "0");
    request.set("Custom", "kept");
    request.set(http::field::connection, "keep-alive, Custom-Hop");
    request.set("Custom-Hop", "dropped");
    ForwardedHeaders added;
    added.organisation = "one";
    added.expectedServer = "i-1";
    added.expectedVersion = 3;
    added.remaining = milliseconds(1200);
    const std::string head = makeForwardedHead(request, makeHeaderNames(), added);

    CHECK(head.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
    CHECK(head.find("Custom: kept\r\n") != std::string::npos);
    CHECK(head.find("Organisation: one\r\n") != std::string::npos);
    CHECK(head.find("Server-Id: i-1\r\n") != std::string::npos);
    CHECK(head.find("Model-Version: 3\r\n") != std::string::npos);
    CHECK(head.find("Patience: 1200\r\n") != std::string::npos);
    CHECK(head.find("Content-Length: 4\r\n") != std::string::npos);
    CHECK(head.find("forged") == std::string::npos);
    CHECK(head.find("key-1") == std::string::npos);
    CHECK(head.find("dropped") == std::string::npos);
    CHECK(head.find("Urgency") == std::string::npos);
}

// Guards against a wrong host, path, key, model or token count, which would misroute or mischarge the call.
TEST_CASE("Call parameters are parsed from the request head")
{
    const CallHead head = parseCallHead(makeRequest(), makeHeaderNames());
    CHECK(head.host == "one.example");
    CHECK(head.path == "/a/b");
    CHECK(head.key == "key-1");
    CHECK(head.model == "base");
    CHECK(head.adapter == "a7");
    CHECK(head.tokens == 1540.0);
    CHECK(head.sharedParts == std::vector<std::string>{"5c1e", "91bd"});
    CHECK_FALSE(head.timeout);
}

// Guards against truncated, lost and duplicated events when another backend server resumes a stream.
TEST_CASE("Only complete events are forwarded, each exactly once")
{
    EventRelay relay;
    std::string out;
    relayEvents(relay, "id: 1\ndata: x\n\nid: 2\nda", out);
    CHECK(out == "id: 1\ndata: x\n\n");
    CHECK(relay.lastId == 1);

    SECTION("the rest of an event arrives later")
    {
        relayEvents(relay, "ta: y\n\n", out);
        CHECK(out == "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
        CHECK(relay.forwardedEvents == 2);
    }
    SECTION("another backend server repeats an event and continues")
    {
        relay.partial.clear();
        out.clear();
        relayEvents(relay, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", out);
        CHECK(out == "id: 2\ndata: y\n\n");
    }
    SECTION("lines that end with CR LF")
    {
        relay = {};
        out.clear();
        relayEvents(relay, "id: 7\r\ndata: z\r\n\r\n", out);
        CHECK(out == "id: 7\r\ndata: z\r\n\r\n");
        CHECK(relay.lastId == 7);
    }
}
