#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace {

constexpr std::size_t uploadBytes = 4'000'000; // more than the socket buffers hold, so that it is still being written

std::string upload(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: host\r\nCall-Id: c1\r\nContent-Length: " + std::to_string(uploadBytes) + "\r\n\r\n"
           + std::string(uploadBytes, 'u');
}

std::string event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

const std::string openHead = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\n\r\n"; // neither a length nor chunks

} // namespace

// Guards against a part of an answer that reaches the caller as the whole: the write of the upload takes the error of the reset, so that
// the read sees an orderly end.
TEST_CASE("An answer without a length whose connection is reset during the upload is never complete")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    unsigned runs = 0;
    std::string sent;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++runs;
        boost::asio::write(connection->socket, boost::asio::buffer(sent));
        connection->reset();
    };
    SECTION("a plain answer")
    {
        sent = openHead + "half";
        const std::string answer = fixture.call(caller, upload("/once/x"), "}\n", seconds(3));
        CHECK(answer.starts_with("HTTP/1.1 502 ")); // it may have run
        CHECK(answer.find("half") == std::string::npos);
        CHECK(runs == 1);
    }
    SECTION("a plain answer to a call that may be repeated: both attempts end so")
    {
        sent = openHead + "half";
        fixture.announceServer("s2");
        fixture.runFor(milliseconds(50));
        const std::string answer = fixture.call(caller, upload("/twice/x"), "}\n", seconds(3));
        CHECK(answer.starts_with("HTTP/1.1 502 "));
        CHECK(answer.find("half") == std::string::npos);
        CHECK(runs == 2);
    }
    SECTION("an answer that is longer than the buffer, of which the caller has a part")
    {
        sent = openHead + std::string(200'000, 'x');
        const std::string answer = fixture.call(caller, upload("/once/x"), "0\r\n\r\n", seconds(3));
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        CHECK(caller->isBroken);
    }
    SECTION("a stream, after a whole event")
    {
        sent = openHead + event(1);
        const std::string answer = fixture.call(caller, upload("/stream/x"), "0\r\n\r\n", seconds(3));
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        CHECK(caller->isBroken);
    }
    SECTION("a stream that is resumed, and its resumption")
    {
        const auto withSecondServer = [&, first = fixture.script](const ConnectionPointer &connection, const std::string &head) {
            sent = openHead + event(runs + 1);
            fixture.announceServer("s2");
            first(connection, head);
        };
        fixture.script = withSecondServer;
        const std::string answer = fixture.call(caller, upload("/resume/x"), "0\r\n\r\n", seconds(3));
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
        CHECK(caller->isBroken);
        CHECK(runs == 2);
    }
    SECTION("a late answer to another call, which is skipped")
    {
        sent = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c0\r\n\r\nhalf";
        const std::string answer = fixture.call(caller, upload("/once/x"), "}\n", seconds(3));
        CHECK(answer.starts_with("HTTP/1.1 502 "));
    }
}

// Guards against early answers that are lost although their end is certain, and against a write that uses the connection after it was destroyed
// (shown by the address sanitizer).
TEST_CASE("An answer that is complete reaches the caller although the upload was not read")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    SECTION("its length tells the end, before a reset")
    {
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            boost::asio::write(connection->socket, boost::asio::buffer(EntryFixture::response("c1", "whole")));
            connection->reset();
        };
    }
    SECTION("the server ends its side in order and goes on reading")
    {
        fixture.script = [](const ConnectionPointer &connection, const std::string &) {
            boost::asio::write(connection->socket, boost::asio::buffer(openHead + "whole"));
            connection->socket.shutdown(boost::asio::socket_base::shutdown_send);
        };
    }
    CHECK(fixture.call(caller, upload("/once/x"), "whole").ends_with("whole"));
}
