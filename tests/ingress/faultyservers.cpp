#include "entryfixture.h"

#include <boost/asio/steady_timer.hpp>

#include <fstream>
#include <sstream>

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace {

/** Resident memory of this process in KiB. */
std::size_t residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

constexpr std::string_view chunkEnd = "0\r\n\r\n";

/** Head of an event stream that answers call @p id. */
std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream size;
    size << std::hex << bytes.size();
    return size.str() + "\r\n" + bytes + "\r\n";
}

std::string event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/** The default routes, for callers with the key of an organisation that has a rate. */
catalog::Catalog catalogWithRate()
{
    catalog::Catalog catalog = EntryFixture::defaultCatalog();
    for (catalog::CallRoute &route : catalog.routes) {
        route.isOpen = false;
    }
    catalog.organisations = {{"one", {"key"}, -1, true, 1, 1000, 1000}};
    return catalog;
}

} // namespace

// Guards against the answer of an earlier call on a kept connection reaching the next caller.
TEST_CASE("A second copy of an answer never reaches the next caller on the connection")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    fixture.script = [](const ConnectionPointer &connection, const std::string &) {
        connection->write(EntryFixture::response("c1", "first"));
    };
    REQUIRE(fixture.call(caller, EntryFixture::request("/once/x", "c1"), "first").ends_with("first"));
    REQUIRE(fixture.connections.size() == 1);

    SECTION("the copy arrives before the connection is used again")
    {
        fixture.connections.front()->write(EntryFixture::response("c1", "first"));
        fixture.runFor(milliseconds(50));
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            connection->write(EntryFixture::response("c2", "second"));
        };
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c2"), "second").ends_with("second"));
    }
    SECTION("the copy is sent in place of the next answer, which follows")
    {
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            connection->write(EntryFixture::response("c1", "first") + EntryFixture::response("c2", "second"));
        };
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c2"), "second").ends_with("second"));
    }
    SECTION("the copy does not name its call")
    {
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            connection->write(EntryFixture::response("", "first") + EntryFixture::response("c2", "second"));
        };
        const std::string answer = fixture.call(caller, EntryFixture::request("/once/x", "c2"), "}\n", seconds(3));
        CHECK(answer.find("first") == std::string::npos);
        CHECK(answer.find(" 502 ") != std::string::npos); // it may have run
    }
    SECTION("the copy is that of a refusal, and the next call runs")
    {
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nCall-Id: c2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        fixture.script = [&refusal](const ConnectionPointer &connection, const std::string &) {
            connection->write(refusal);
        };
        REQUIRE(fixture.call(caller, EntryFixture::request("/once/x", "c2"), "}\n").find(" 503 ") != std::string::npos);
        unsigned runs = 0;
        fixture.script = [&refusal, &runs](const ConnectionPointer &connection, const std::string &) {
            ++runs;
            connection->write(refusal + EntryFixture::response("c3", "third"));
        };
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c3"), "third").ends_with("third"));
        CHECK(runs == 1);
    }
    SECTION("the copy is that of a refusal without the id of its call, and the next call may have run")
    {
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            connection->write("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        };
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c2"), "}\n").find(" 502 ") != std::string::npos);
    }
    SECTION("the next call has no id itself, so nothing can tell the copy from its answer")
    {
        fixture.script = [&fixture](const ConnectionPointer &connection, const std::string &) {
            const bool isReused = connection == fixture.connections.front();
            connection->write(isReused ? EntryFixture::response("", "first") : EntryFixture::response("", "third"));
        };
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", ""), "third").ends_with("third"));
    }
}

// Guards against a call that runs twice because a late copy of the answer to its first try says that the second one has not run.
TEST_CASE("A call that is sent to the same backend server again uses a connection that has not carried it")
{
    catalog::Catalog catalog = EntryFixture::defaultCatalog();
    catalog.services[0].engine = catalog::EngineSpec{};
    EntryFixture fixture(catalog);
    fixture.held = {{"m", "a", 1}};
    fixture.announce(registry::ServerState::Ready, 2);
    REQUIRE(fixture.runUntil([&fixture] {
        return !fixture.entry->dispatchState().servers.at("s1").adapters.empty();
    }));
    const auto caller = fixture.connect();
    const std::string missing = "HTTP/1.1 421 Misdirected Request\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n";
    const std::string text = EntryFixture::request("/once/x", "c1", "Model: m/a\r\n");
    unsigned runs = 0;
    unsigned rejections = 0;
    ConnectionPointer rejecting;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        if (rejections == 0) {
            ++rejections;
            rejecting = connection;
            connection->write(missing);
            return;
        }
        ++runs;
        connection->write(connection == rejecting ? missing + EntryFixture::response("c1", "done") : EntryFixture::response("c1", "done"));
    };
    SECTION("while the first one is idle")
    {
        CHECK(fixture.call(caller, text, "done").ends_with("done"));
    }
    SECTION("and another call has used the first one in between")
    {
        fixture.script = [&, first = fixture.script](const ConnectionPointer &connection, const std::string &head) {
            if (head.find("Call-Id: c2") != std::string::npos) {
                connection->write(EntryFixture::response("c2", "other"));
            } else {
                first(connection, head);
            }
        };
        caller->write(text);
        REQUIRE(fixture.runUntil([&rejections] {
            return rejections == 1;
        }));
        CHECK(fixture.call(fixture.connect(), EntryFixture::request("/once/x", "c2"), "other").ends_with("other"));
        CHECK(fixture.runUntil([&caller] {
            return caller->received.ends_with("done");
        }));
    }
    CHECK(runs == 1);
}

// Guards against an answer that broke off and looks complete, and against a false statement on whether its call has run.
TEST_CASE("An answer that breaks off never looks complete, and its call is not said not to have run")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    unsigned runs = 0;
    std::string sent;
    bool resets = false;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++runs;
        boost::asio::write(connection->socket, boost::asio::buffer(sent));
        resets ? connection->reset() : connection->close();
    };
    SECTION("within a body of known length")
    {
        sent = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 100\r\n\r\nhalf";
    }
    SECTION("between two chunks")
    {
        sent = streamHead("c1") + chunk("half");
    }
    SECTION("within a chunk")
    {
        sent = streamHead("c1") + "64\r\nhalf";
    }
    SECTION("within the head")
    {
        sent = "HTTP/1.1 200 OK\r\nSignat";
    }
    SECTION("after a whole field of the head")
    {
        sent = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\n";
    }
    SECTION("within the line that ends the head")
    {
        sent = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\n\r";
    }
    SECTION("before its first byte")
    {
        sent = " ";
        resets = true;
    }
    const std::string answer = fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n", seconds(3));
    CHECK(answer.find("HTTP/1.1 502 ") == 0);
    CHECK(answer.find("half") == std::string::npos);
    CHECK(runs == 1);
}

// Guards against an empty stream that looks complete: its backend server closed the connection within the head of the answer.
TEST_CASE("A stream whose head is cut off is answered as a failure")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    std::string head = streamHead("c1");
    head.resize(GENERATE(10U, 30U, 50U, 72U, 73U));
    CAPTURE(head);
    fixture.script = [&head](const ConnectionPointer &connection, const std::string &) {
        boost::asio::write(connection->socket, boost::asio::buffer(head));
        connection->close();
    };
    const std::string answer = fixture.call(caller, EntryFixture::request("/stream/x", "c1"), "}\n", seconds(3));
    CHECK(answer.starts_with("HTTP/1.1 502 "));
    CHECK(answer.find("200 OK") == std::string::npos);
}

TEST_CASE("A stream that breaks off is closed without its end")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    unsigned runs = 0;
    std::string rest;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++runs;
        boost::asio::write(connection->socket, boost::asio::buffer(streamHead("c1") + chunk(event(1)) + rest));
        connection->close();
    };
    SECTION("after an event")
    {
        rest = "";
    }
    SECTION("within an event, with a correct end of the body")
    {
        rest = chunk("id: 2\ndata: ha") + std::string(chunkEnd);
    }
    const std::string answer = fixture.call(caller, EntryFixture::request("/stream/x", "c1"), chunkEnd, seconds(3));
    CHECK(answer.find("id: 1") != std::string::npos);
    CHECK(answer.find("id: 2") == std::string::npos);
    CHECK_FALSE(answer.ends_with(chunkEnd));
    CHECK(caller->isBroken);
    CHECK(runs == 1);
}

// Guards against the head and body of an error being written into the chunked body of a stream that has begun.
TEST_CASE("A stream that is resumed and answered with an error is closed without its end")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    unsigned runs = 0;
    std::string second;
    std::string body = "broken";
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++runs;
        if (runs > 1) {
            connection->write(second + body);
            return;
        }
        boost::asio::write(connection->socket, boost::asio::buffer(streamHead("c1") + chunk(event(1))));
        fixture.announceServer("s2");
        connection->reset();
    };
    SECTION("in one piece")
    {
        second = "HTTP/1.1 500 Error\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 6\r\n\r\n";
    }
    SECTION("that exceeds the buffer and is forwarded in chunks")
    {
        body = std::string(200'000, 'x');
        second = "HTTP/1.1 500 Error\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 200000\r\n\r\n";
    }
    SECTION("that says that the call has not run")
    {
        second = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nCall-Id: c1\r\nContent-Length: 6\r\n\r\n";
    }
    SECTION("that has the status of a success and no signature")
    {
        second = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Length: 6\r\n\r\n";
    }
    SECTION("in the body of a success")
    {
        second = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 6\r\n\r\n";
    }
    SECTION("that no stream is answered with")
    {
        second = "HTTP/1.1 404 Not Found\r\nSignature: s\r\nCall-Id: c1\r\nContent-Length: 6\r\n\r\n";
    }
    const std::string answer = fixture.call(caller, EntryFixture::request("/resume/x", "c1"), chunkEnd, seconds(3));
    CHECK(runs == 2);
    CHECK(answer.find("id: 1") != std::string::npos);
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(answer.find(body) == std::string::npos);
    CHECK(caller->isBroken);
}

// Guards against a stream without a length and chunks, which ends with its connection, being cut or passed on as complete when it has broken off.
TEST_CASE("A stream that ends with its connection is complete only after whole events")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    std::string events;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        boost::asio::write(connection->socket, boost::asio::buffer("HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\n\r\n" + events));
        connection->close();
    };
    SECTION("after its last event")
    {
        events = event(1) + event(2);
        const std::string answer = fixture.call(caller, EntryFixture::request("/stream/x", "c1"), chunkEnd, seconds(3));
        CHECK(answer.find("id: 2") != std::string::npos);
        CHECK(answer.ends_with(chunkEnd));
    }
    SECTION("within an event")
    {
        events = event(1) + "id: 2\nda";
        const std::string answer = fixture.call(caller, EntryFixture::request("/stream/x", "c1"), chunkEnd, seconds(3));
        CHECK(answer.find("id: 1") != std::string::npos);
        CHECK_FALSE(answer.ends_with(chunkEnd));
        CHECK(caller->isBroken);
    }
    SECTION("before its first event")
    {
        const std::string answer = fixture.call(caller, EntryFixture::request("/stream/x", "c1"), "}\n", seconds(3));
        CHECK(answer.starts_with("HTTP/1.1 502 "));
    }
}

// Guards against work that is done twice because a backend server is only silent, or its announcements are.
TEST_CASE("A call that runs on a backend server declared gone ends there, once")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    unsigned runs = 0;
    ConnectionPointer running;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++runs;
        running = connection;
        connection->write(streamHead("c1") + chunk(event(1)));
    };
    caller->write(EntryFixture::request("/resume/x", "c1"));
    REQUIRE(fixture.runUntil([&caller] {
        return caller->received.find("id: 1") != std::string::npos;
    }));
    fixture.announce(registry::ServerState::Gone, 2);
    REQUIRE(fixture.runUntil([&fixture] {
        return fixture.entry->dispatchState().servers.at("s1").record.state == registry::ServerState::Gone;
    }));
    fixture.runFor(milliseconds(300));
    running->write(chunk(event(2)) + std::string(chunkEnd));
    CHECK(fixture.runUntil([&caller] {
        return caller->received.ends_with(chunkEnd);
    }));
    CHECK(caller->received.find("id: 2") != std::string::npos);
    CHECK(runs == 1);
}

// Guards against streams that are cut although they make progress, and against streams that never end although they make none.
TEST_CASE("Slow streams go on until the time limit of their call, and no longer")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    SECTION("one event now and then is passed on to the end")
    {
        ConnectionPointer running;
        fixture.script = [&running](const ConnectionPointer &connection, const std::string &) {
            running = connection;
            connection->write(streamHead("c1"));
        };
        caller->write(EntryFixture::request("/stream/x", "c1"));
        REQUIRE(fixture.runUntil([&running] {
            return running != nullptr;
        }));
        for (unsigned id = 1; id <= 3; ++id) {
            fixture.runFor(milliseconds(250));
            running->write(chunk(event(id)));
        }
        running->write(std::string(chunkEnd));
        CHECK(fixture.runUntil([&caller] {
            return caller->received.ends_with(chunkEnd);
        }));
        CHECK(caller->received.find("id: 3") != std::string::npos);
    }
    SECTION("bytes that are no event end at the time limit")
    {
        boost::asio::steady_timer timer(fixture.context);
        ConnectionPointer running;
        std::function<void()> drip = [&] {
            running->write(chunk(":"));
            timer.expires_after(milliseconds(30));
            timer.async_wait([&](boost::system::error_code error) {
                if (!error && !running->isBroken) {
                    drip();
                }
            });
        };
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            running = connection;
            connection->write(streamHead("c1") + chunk(event(1)));
            drip();
        };
        const TimePoint start = std::chrono::steady_clock::now();
        const std::string answer = fixture.call(caller, EntryFixture::request("/stream/x", "c1"), chunkEnd, seconds(5));
        CHECK(caller->isBroken);
        CHECK_FALSE(answer.ends_with(chunkEnd));
        CHECK(std::chrono::steady_clock::now() - start < seconds(3));
        CHECK(fixture.runUntil([&fixture] {
            return fixture.connections.front()->isBroken;
        }));
    }
}

// Guards against memory and time spent on bytes that are no answer and come without end.
TEST_CASE("Bytes without end are read to a limit; the connection is closed and the call answered")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    std::string start;
    std::string repeated(16'384, 'x');
    std::string path = "/once/x";
    std::string expected = "HTTP/1.1 502 ";
    SECTION("in a status line")
    {
        start = "HTTP/1.1 200 ";
    }
    SECTION("in a header")
    {
        start = "HTTP/1.1 200 OK\r\nSignature: ";
    }
    SECTION("as headers")
    {
        start = "HTTP/1.1 200 OK\r\n";
        repeated = "Name: value\r\n";
    }
    SECTION("as interim responses")
    {
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SECTION("in a chunk extension")
    {
        start = streamHead("c1") + "5;";
    }
    SECTION("in the trailer")
    {
        start = streamHead("c1") + "0\r\nName: ";
    }
    SECTION("in the body of an answer to another call")
    {
        start = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: other\r\n\r\n";
    }
    SECTION("in the body of a refusal")
    {
        start = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nCall-Id: c1\r\n\r\n";
        expected = "HTTP/1.1 503 ";
    }
    SECTION("in an event")
    {
        path = "/stream/x";
        start = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\n\r\nid: 1\ndata: ";
    }
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        connection->write(start);
        connection->writeForever(repeated);
    };
    const std::size_t memory = residentKilobytes();
    const TimePoint begin = std::chrono::steady_clock::now();
    const std::string answer = fixture.call(caller, EntryFixture::request(path, "c1"), "}\n", seconds(5));
    CHECK(answer.find(expected) == 0);
    CHECK(std::chrono::steady_clock::now() - begin < milliseconds(1400)); // ended by the limit of bytes, not by the time limit of 1.5 s
    CHECK(fixture.runUntil([&fixture] {
        return fixture.connections.front()->isBroken;
    }));
    CHECK(residentKilobytes() < memory + 16'384);
}

TEST_CASE("Bytes after a complete answer end the connection, not the answer")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    fixture.script = [](const ConnectionPointer &connection, const std::string &) {
        connection->write(EntryFixture::response("c1", "whole"));
        connection->writeForever(std::string(16'384, 'x'));
    };
    CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c1"), "whole").ends_with("whole"));
    CHECK(fixture.runUntil([&fixture] {
        return fixture.connections.front()->isBroken;
    }));
}

// Guards against an organisation that pays for calls which no backend server has run.
TEST_CASE("Tokens of a call that has certainly not run are returned")
{
    EntryFixture fixture(catalogWithRate());
    const auto caller = fixture.connect();
    bool runs = false;
    fixture.script = [&runs](const ConnectionPointer &connection, const std::string &) {
        connection->write(runs ? EntryFixture::response("c1", "done") : "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n");
    };
    fixture.grantableTokens = 60;
    const std::string text = EntryFixture::request("/once/x", "c1", "Authorization: Bearer key\r\nTokens: 40,10\r\n");
    REQUIRE(fixture.call(caller, text, "}\n").find("HTTP/1.1 503 ") == 0);
    runs = true;
    CHECK(fixture.call(caller, text, "done").ends_with("done"));
    CHECK(fixture.call(caller, text, "}\n").find("HTTP/1.1 429 ") == 0);
}

// Guards against calls that count as running for ever, because their caller left before they were sent.
TEST_CASE("A call whose caller leaves while it waits for tokens counts as ended")
{
    EntryFixture fixture(catalogWithRate());
    fixture.leaderAnswers = false;
    const auto caller = fixture.connect();
    caller->write(EntryFixture::request("/once/x", "c1", "Authorization: Bearer key\r\nTokens: 40,10\r\n"));
    fixture.runFor(milliseconds(100));
    caller->close();
    CHECK(fixture.runUntil(
        [&fixture] {
            return fixture.entry->metricsText().find("mimosahollow_call_seconds_count{outcome=\"caller-left\"} 1\n") != std::string::npos;
        },
        seconds(3)));
    CHECK(fixture.entry->metricsText().find("mimosahollow_running_calls 0\n") != std::string::npos);
}
