#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace {

constexpr std::string_view chunkEnd = "0\r\n\r\n";

/** Status lines that begin no answer. */
std::string invalidStatusLine()
{
    const std::string line = GENERATE("HTTP/1.1 000 OK",
                                      "HTTP/1.1 001 OK",
                                      "HTTP/1.1 099 OK",
                                      "HTTP/1.1 20 OK",
                                      "HTTP/1.1 600 OK",
                                      "HTTP/1.1 999 OK",
                                      "HTTP/1.1 2000 OK",
                                      "HTTP/1.1 0200 OK",
                                      "HTTP/1.1 -20 OK",
                                      "HTTP/1.1 +20 OK",
                                      "HTTP/1.1  20 OK",
                                      "HTTP/1.1 2 0 OK",
                                      "HTTP/2.0 200 OK",
                                      "HTTP/0.9 200 OK");
    return line;
}

} // namespace

// Guards against a caller that waits for its deadline, or gets a status that isn't one, when a backend server in trouble answers.
TEST_CASE("An answer with an invalid status is a failure of its backend server at once")
{
    EntryFixture fixture;
    const auto caller = fixture.connect();
    const std::string line = invalidStatusLine();
    CAPTURE(line);
    const std::string fields = "\r\nSignature: s\r\nCall-Id: c1\r\n";
    unsigned runs = 0;
    const std::string body = GENERATE("", "none"); // without one, nothing follows that could show the fault
    std::string sent = line + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        ++runs;
        connection->write(sent);
    };
    SECTION("to a plain call")
    {
        const std::string answer = fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n");
        CHECK(answer.starts_with("HTTP/1.1 502 "));
        CHECK(answer.find("none") == std::string::npos);
    }
    SECTION("after an interim response")
    {
        sent = "HTTP/1.1 100 Continue\r\n\r\n" + sent;
        CHECK(fixture.call(caller, EntryFixture::request("/once/x", "c1"), "}\n").starts_with("HTTP/1.1 502 "));
    }
    SECTION("to a stream")
    {
        sent = line + fields + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";
        const std::string answer = fixture.call(caller, EntryFixture::request("/stream/x", "c1"), "}\n");
        CHECK(answer.starts_with("HTTP/1.1 502 "));
        CHECK(answer.find("id: 1") == std::string::npos);
    }
    SECTION("to a stream that is resumed, which ends without its end before the deadline")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            if (++runs == 2) {
                connection->write(line + fields + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n");
                return;
            }
            boost::asio::write(connection->socket,
                               boost::asio::buffer("HTTP/1.1 200 OK" + fields + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n"));
            fixture.announceServer("s2");
            connection->reset();
        };
        const TimePoint begin = std::chrono::steady_clock::now();
        const std::string answer = fixture.call(caller, EntryFixture::request("/resume/x", "c1"), chunkEnd);
        CHECK(runs == 2);
        CHECK(std::chrono::steady_clock::now() - begin < milliseconds(1400)); // the deadline is 1500 ms
        CHECK(answer.find("id: 1") != std::string::npos);
        CHECK(answer.find("id: 2") == std::string::npos);
        CHECK(caller->isBroken);
    }
}
