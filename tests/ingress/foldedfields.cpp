#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace {

/** Lines whose field name holds a blank or a control byte, or is empty. */
const std::vector<std::string> oddLines{
    " Name: value",
    "\tName: value",
    "  Content-Length: 2",
    "\tTransfer-Encoding: chunked",
    " ",
    "Na me: value",
    "Name : value",
    "Name\t: value",
    "Na\tme: value",
    std::string("Na\0me: value", 12),
    "\x01Name: value",
    "Na\x1fme: value",
    "Name\x7f: value",
    "Na\rme: value",
    "Na\nme: value",
    ": value",
    "Name",
};

/** The fields @p before and @p after with @p line between them, each with its line end. */
std::string between(const std::string &before, const std::string &line, const std::string &after)
{
    return before + line + "\r\n" + after;
}

} // namespace

// Guards against an answer of a server in trouble whose damaged line is passed on as part of another field, or hides the length of the body.
TEST_CASE("An answer with a blank or a control byte in the name of a field is a failure")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    const std::string line = GENERATE(from_range(oddLines));
    const bool isWhole = GENERATE(true, false);
    CAPTURE(line, isWhole);
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string fields = "Signature: s\r\nCall-Id: c1\r\nDate: x\r\n"; // what is folded into the date changes nothing else
    const std::string length = "Content-Length: 4\r\n";
    const std::string end = "\r\nbody";
    std::string answer;
    SECTION("in the first line of the head")
    {
        answer = status + between("", line, fields + length) + end;
    }
    SECTION("in a middle line")
    {
        answer = status + between(fields, line, length) + end;
    }
    SECTION("in the last line")
    {
        answer = status + between(length + fields, line, "") + end;
    }
    SECTION("in the last line, without a length")
    {
        answer = status + between(fields, line, "") + end;
    }
    SECTION("in the only line of an interim head")
    {
        answer = "HTTP/1.1 103 Early Hints\r\n" + between("", line, "") + "\r\n" + EntryFixture::response("c1", "body");
    }
    SECTION("in the last line of an interim head")
    {
        answer = "HTTP/1.1 103 Early Hints\r\n" + between("Link: x\r\n", line, "") + "\r\n" + EntryFixture::response("c1", "body");
    }
    SECTION("in the first line of a trailer")
    {
        answer = status + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + between("", line, "Last: x\r\n") + "\r\n";
    }
    SECTION("in the last line of a trailer")
    {
        answer = status + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + between("First: x\r\n", line, "") + "\r\n";
    }
    SECTION("in a refusal")
    {
        answer = "HTTP/1.1 503 Busy\r\n" + between("Not-Run: 1\r\n", line, "Call-Id: c1\r\nContent-Length: 4\r\n") + end;
    }
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        // In pieces, the line and the blank that begins the next one arrive apart.
        const std::size_t piece = isWhole ? answer.size() : 7;
        for (std::size_t at = 0; at < answer.size(); at += piece) {
            boost::system::error_code ignored; // the connection is closed once the line was read
            boost::asio::write(connection->socket, boost::asio::buffer(answer.substr(at, piece)), ignored);
        }
        connection->socket.shutdown(boost::asio::socket_base::shutdown_send);
    };
    const std::string received = fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n", seconds(3));
    CHECK(received.starts_with("HTTP/1.1 502 "));
    CHECK(received.find("200 OK") == std::string::npos);
}

// Guards against a stream whose damaged head or trailer is passed on, and against a resumption that goes on after one.
TEST_CASE("A stream with a folded line in its head or trailer is no complete stream")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    const std::string event = "f\r\nid: 1\ndata: x\n\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\nTransfer-Encoding: chunked\r\n";
    unsigned runs = 0;
    SECTION("in the head")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            connection->write(head + " Name: value\r\n\r\n" + event + "0\r\n\r\n");
        };
        CHECK(fixture.call(caller, EntryFixture::request("/stream/x", "c1"), "}\n", seconds(3)).starts_with("HTTP/1.1 502 "));
    }
    SECTION("in the trailer")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            connection->write(head + "\r\n" + event + "0\r\nLast: x\r\n Name: value\r\n\r\n");
        };
        CHECK_FALSE(fixture.call(caller, EntryFixture::request("/stream/x", "c1"), "0\r\n\r\n", seconds(3)).ends_with("0\r\n\r\n"));
        CHECK(caller->isBroken);
    }
    SECTION("in the head of the resumption")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            if (++runs == 1) {
                boost::asio::write(connection->socket, boost::asio::buffer(head + "\r\n" + event));
                fixture.announceServer("s2");
                connection->reset();
            } else {
                connection->write(head + " Name: value\r\n\r\nf\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n");
            }
        };
        const std::string answer = fixture.call(caller, EntryFixture::request("/resume/x", "c1"), "0\r\n\r\n", seconds(3));
        CHECK(runs == 2);
        CHECK(answer.find("id: 2") == std::string::npos);
        CHECK(caller->isBroken);
    }
}

// Guards against a late answer that is skipped with another length than its server gave it, so that its body is read as the next answer.
TEST_CASE("A late answer with a folded line ends its connection")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    fixture.script = [](const ConnectionPointer &connection, const std::string &) {
        connection->write("HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c0\r\nDate: x\r\n Content-Length: 99\r\nContent-Length: 0\r\n\r\n"
                          + EntryFixture::response("c1", "body"));
    };
    CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n", seconds(3)).starts_with("HTTP/1.1 502 "));
}

// Guards against sound answers that are refused: blanks belong to values, and a body may hold lines of any form.
TEST_CASE("Blanks in values, and lines of a body that begin with a blank, are no damage")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    const std::string body = "one\r\n two\r\n\tthree\r\n\r\n four";
    fixture.script = [&body](const ConnectionPointer &connection, const std::string &) {
        connection->write(EntryFixture::response("c1", body, "Empty:\r\nSpaced: \t a  b\t \r\n"));
    };
    const std::string answer = fixture.call(caller, EntryFixture::request("/once/x", "c1"), body);
    CHECK(answer.ends_with("\r\n\r\n" + body));
    CHECK(answer.find("Spaced: a  b\r\n") != std::string::npos);
}
