#include "entryfixture.h"

#include "httpio/retryafter.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

// Guards against a value that silences a backend server for ever, or ends the instance.
TEST_CASE("A Retry-After has one reading")
{
    CHECK(httpio::parseRetryAfter("2") == seconds(2));
    CHECK(httpio::parseRetryAfter("0.25") == milliseconds(250));
    CHECK(httpio::parseRetryAfter("0") == Duration::zero());
    CHECK(httpio::parseRetryAfter("86400") == httpio::maximumRetryAfter);
    for (const char *text : {"", "-1", "soon", "2 s", "1e3", "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CHECK_FALSE(httpio::parseRetryAfter(text));
    }
    CHECK_FALSE(httpio::parseRetryAfter(std::string(400, '9')));
}

// Guards against calls at a backend server that has said, in any answer, that it leaves.
TEST_CASE("An answer says that its backend server leaves")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    unsigned runs = 0;
    std::string answer = EntryFixture::response("c1", "done", "Leaving: 1\r\n");
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++runs;
        connection->write(answer);
    };
    const auto call = [&](const std::string &path) {
        return fixture.call(caller, EntryFixture::request(path, "c1"), "}\n", milliseconds(700));
    };
    const auto isLeaving = [&fixture] {
        return fixture.entry->dispatchState().servers.at("s1").isLeaving;
    };
    SECTION("a success, which is passed on; the next call is refused and reaches nobody")
    {
        CHECK(call("/once/x").ends_with("done"));
        CHECK(isLeaving());
        CHECK(call("/once/x").starts_with("HTTP/1.1 503 "));
        CHECK(runs == 1);
        AND_WHEN("an announcement calls it ready")
        {
            fixture.announce(registry::ServerState::Ready, 2);
            fixture.runFor(milliseconds(50));
            CHECK(call("/once/x").starts_with("HTTP/1.1 503 "));
            CHECK(runs == 1);
        }
    }
    SECTION("an error, which is not repeated there")
    {
        answer = "HTTP/1.1 500 Error\r\nSignature: s\r\nLeaving: 1\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n";
        call("/twice/x");
        CHECK(isLeaving());
        CHECK(runs == 1);
    }
    SECTION("a stream, in its head; the stream itself ends as usual")
    {
        answer = "HTTP/1.1 200 OK\r\nSignature: s\r\nLeaving: 1\r\nCall-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";
        CHECK(fixture.call(caller, EntryFixture::request("/stream/x", "c1"), "0\r\n\r\n").ends_with("0\r\n\r\n"));
        CHECK(isLeaving());
    }
    SECTION("but not with another value, or in an interim response")
    {
        answer = "HTTP/1.1 100 Continue\r\nLeaving: 1\r\n\r\n" + EntryFixture::response("c1", "done", "Leaving: yes\r\n");
        CHECK(call("/once/x").ends_with("done"));
        CHECK_FALSE(isLeaving());
    }
}

// Guards against calls at a backend server that has asked for silence, and against callers that wait for it in vain.
TEST_CASE("A 503 of a backend server asks for silence")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    unsigned arrivals = 0;
    std::string headers = "Retry-After: 1.2\r\n";
    bool isBusy = true;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++arrivals;
        connection->write(isBusy ? "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + headers + "Call-Id: c1\r\nContent-Length: 0\r\n\r\n"
                                 : EntryFixture::response("c1", "done"));
    };
    const auto call = [&] {
        return fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n", milliseconds(700));
    };
    REQUIRE(call().starts_with("HTTP/1.1 503 "));
    isBusy = false;
    SECTION("calls are refused at once until it ends, and served then")
    {
        const TimePoint begin = std::chrono::steady_clock::now();
        const std::string refused = call();
        CHECK(refused.starts_with("HTTP/1.1 503 "));
        CHECK(refused.find("silent-servers") != std::string::npos);
        CHECK(std::chrono::steady_clock::now() - begin < milliseconds(300));
        CHECK(arrivals == 1);
        fixture.runFor(milliseconds(1500));
        CHECK(call().ends_with("done"));
    }
    SECTION("of a status that is no refusal it means nothing")
    {
        fixture.runFor(milliseconds(1500));
        isBusy = true;
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            connection->write(EntryFixture::response("c1", "done", "Retry-After: 60\r\n"));
        };
        CHECK(call().ends_with("done"));
        CHECK(call().ends_with("done"));
    }
}
