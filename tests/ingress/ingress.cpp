#include "ingress/callerrequest.h"
#include "ingress/eventrelay.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace http = boost::beast::http;

namespace {

HeaderNames names()
{
    HeaderNames made;
    made.callId = "Call-Id";
    made.deadline = "Patience";
    made.model = "Model-Name";
    made.tokenCounts = "Counts";
    made.lastEvent = "Last-Event-Id";
    made.answerSignature = "Signature";
    made.notRun = "Not-Run";
    made.organisation = "Organisation";
    made.expectedServer = "Server-Id";
    made.expectedVersion = "Model-Version";
    made.priority = "Urgency";
    made.reserved = {"Reserve"};
    return made;
}

CallerRequest request()
{
    CallerRequest made(http::verb::post, "/a/b?c=d", 11);
    made.set(http::field::host, "one.example:80");
    made.set(http::field::authorization, "Bearer key-1");
    made.set("Call-Id", "q1");
    made.set("Model-Name", "base/a7");
    made.set("Counts", "1460,80");
    made.body() = "body";
    made.set(http::field::content_length, "4");
    return made;
}

} // namespace

// Guards against requests whose end is in doubt: what follows could be taken for another caller's request.
TEST_CASE("A request with doubtful framing is refused")
{
    CallerRequest made = request();
    REQUIRE(findFraming(made).empty());

    SECTION("no host, or two")
    {
        made.insert(http::field::host, "two.example");
        CHECK_FALSE(findFraming(made).empty());
        made.erase(http::field::host);
        CHECK_FALSE(findFraming(made).empty());
    }
    SECTION("two keys")
    {
        made.insert(http::field::authorization, "Bearer key-2");
        CHECK_FALSE(findFraming(made).empty());
    }
    SECTION("a transfer encoding that is not exactly chunked")
    {
        made.erase(http::field::content_length);
        for (const char *encoding : {"xchunked", "identity", "gzip, chunked"}) {
            made.set(http::field::transfer_encoding, encoding);
            CHECK_FALSE(findFraming(made).empty());
        }
        made.set(http::field::transfer_encoding, "chunked");
        CHECK(findFraming(made).empty());
    }
    SECTION("both a length and a transfer encoding")
    {
        made.set(http::field::transfer_encoding, "chunked");
        CHECK_FALSE(findFraming(made).empty());
    }
}

// Guards against calls that run with headers of the caller that only the system may set, or with its key.
TEST_CASE("The forwarded head has the caller's headers but for those of the system")
{
    CallerRequest made = request();
    made.set("Organisation", "forged");
    made.set("Reserve", "forged");
    made.set("Urgency", "0");
    made.set("Custom", "kept");
    made.set(http::field::connection, "keep-alive, Custom-Hop");
    made.set("Custom-Hop", "dropped");
    ForwardedHeaders added;
    added.organisation = "one";
    added.expectedServer = "i-1";
    added.expectedVersion = 3;
    added.remaining = milliseconds(1200);
    const std::string head = makeForwardedHead(made, names(), added);

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

TEST_CASE("The head of a call is decoded once")
{
    const CallHead head = readHead(request(), names());
    CHECK(head.host == "one.example");
    CHECK(head.path == "/a/b");
    CHECK(head.key == "key-1");
    CHECK(head.model == "base");
    CHECK(head.adapter == "a7");
    CHECK(head.tokens == 1540.0);
    CHECK_FALSE(head.patience);
}

// Guards against half events, missing ones and doubled ones where a second backend server continues a stream.
TEST_CASE("Only whole events are passed on, each once")
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
        CHECK(relay.events == 2);
    }
    SECTION("another backend server repeats an event and goes on")
    {
        relay.partial.clear();
        out.clear();
        relayEvents(relay, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", out);
        CHECK(out == "id: 2\ndata: y\n\n");
    }
    SECTION("lines that end with a carriage return")
    {
        relay = {};
        out.clear();
        relayEvents(relay, "id: 7\r\ndata: z\r\n\r\n", out);
        CHECK(out == "id: 7\r\ndata: z\r\n\r\n");
        CHECK(relay.lastId == 7);
    }
}
