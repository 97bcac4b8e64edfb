#include "platform/engineclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace mimosahollow;
using namespace mimosahollow::platform;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** The report that the client reads from an engine which answers @p answer; nothing if it is refused. */
std::optional<placement::ModelReport> readReport(const std::string &answer)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket engine(context);
    std::string request;
    acceptor.async_accept(engine, [&](boost::system::error_code) {
        asio::async_read_until(engine, asio::dynamic_buffer(request), "\r\n\r\n", [&](boost::system::error_code, std::size_t) {
            asio::async_write(engine, asio::buffer(answer), [](boost::system::error_code, std::size_t) {});
        });
    });
    EngineClient client(context, "core-1");
    std::optional<placement::ModelReport> report;
    bool isAnswered = false;
    client.port().report("i-1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), [&](std::optional<placement::ModelReport> read) {
        report = std::move(read);
        isAnswered = true;
    });
    while (!isAnswered) {
        context.run_one();
    }
    return report;
}

std::string answerWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A valid report of about @p bytes. */
std::string reportOf(std::size_t bytes)
{
    return R"({"sequence":9,"models":[],"filler":")" + std::string(bytes, 'x') + "\"}";
}

} // namespace

// Guards against a coordinator that runs out of memory because a faulty engine sends a body without end.
TEST_CASE("A report of an engine is read up to a limit")
{
    SECTION("below it")
    {
        const auto report = readReport(answerWith(reportOf(100'000)));
        REQUIRE(report);
        CHECK(report->sequence == 9);
    }
    SECTION("above it, with a length")
    {
        CHECK_FALSE(readReport(answerWith(reportOf(1'000'000))));
    }
    SECTION("above it, ended by the connection")
    {
        CHECK_FALSE(readReport("HTTP/1.1 200 OK\r\n\r\n" + std::string(1'000'000, ' ')));
    }
}
