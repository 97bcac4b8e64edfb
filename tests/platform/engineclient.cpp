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

/** An engine that answers its first request with the same bytes, whatever it asks for. */
struct AnsweringEngine
{
    AnsweringEngine(asio::io_context &context, std::string bytes)
        : answer(std::move(bytes)), acceptor(context, {asio::ip::address_v4::loopback(), 0}), engine(context)
    {
        acceptor.async_accept(engine, [this](boost::system::error_code) {
            asio::async_read_until(engine, asio::dynamic_buffer(request), "\r\n\r\n", [this](boost::system::error_code, std::size_t) {
                asio::async_write(engine, asio::buffer(answer), [](boost::system::error_code, std::size_t) {});
            });
        });
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    std::string answer;
    tcp::acceptor acceptor;
    tcp::socket engine;
    std::string request;
};

/** The report that the client reads from an engine which answers @p answer; nothing if it is refused. */
std::optional<placement::ModelReport> readReport(const std::string &answer)
{
    asio::io_context context;
    AnsweringEngine engine(context, answer);
    EngineClient client(context, "core-1");
    std::optional<placement::ModelReport> report;
    bool isAnswered = false;
    client.port().report("i-1", engine.address(), [&](std::optional<placement::ModelReport> read) {
        report = std::move(read);
        isAnswered = true;
    });
    while (!isAnswered) {
        context.run_one();
    }
    return report;
}

/** The outcome of an order that an engine answers with @p answer. */
placement::OrderOutcome orderOutcome(const std::string &answer)
{
    asio::io_context context;
    AnsweringEngine engine(context, answer);
    EngineClient client(context, "core-1");
    placement::ModelOrder order;
    order.server = "i-1";
    order.address = engine.address();
    std::optional<placement::OrderOutcome> outcome;
    client.port().order(order, [&](placement::OrderOutcome answered) {
        outcome = answered;
    });
    while (!outcome) {
        context.run_one();
    }
    return *outcome;
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

// Guards against an order that is taken for rejected although the engine may carry it out, and against a report out of such an answer.
TEST_CASE("An answer of an engine with an invalid status is none")
{
    const std::string end = " OK\r\nContent-Length: 0\r\n\r\n";
    for (const char *status : {"000", "001", "099", "100", "600", "999", "20", "2000", "-20"}) {
        CAPTURE(status);
        CHECK(orderOutcome("HTTP/1.1 " + std::string(status) + end) == placement::OrderOutcome::Unknown);
    }
    CHECK(orderOutcome("HTTP/2.0 202" + end) == placement::OrderOutcome::Unknown);
    CHECK(orderOutcome("HTTP/1.1 202" + end) == placement::OrderOutcome::Accepted);
    CHECK(orderOutcome("HTTP/1.1 404" + end) == placement::OrderOutcome::Rejected);
    const std::string report = reportOf(10);
    CHECK_FALSE(readReport("HTTP/2.0 200 OK\r\nContent-Length: " + std::to_string(report.size()) + "\r\n\r\n" + report));
}

// Guards against an answer of an engine in trouble whose damaged line becomes part of another field, or hides the length of the body.
TEST_CASE("An answer of an engine with a folded line is none")
{
    const std::string report = reportOf(10);
    const std::string length = "Content-Length: " + std::to_string(report.size()) + "\r\n";
    for (const char *line : {" Name: value\r\n", "\tName: value\r\n", " \r\n", "Na me: value\r\n", "Name : value\r\n"}) {
        CAPTURE(line);
        CHECK(orderOutcome("HTTP/1.1 202 OK\r\nDate: x\r\n" + std::string(line) + "Content-Length: 0\r\n\r\n") == placement::OrderOutcome::Unknown);
        CHECK(orderOutcome("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n" + std::string(line) + "\r\n") == placement::OrderOutcome::Unknown);
        CHECK_FALSE(readReport("HTTP/1.1 200 OK\r\nDate: x\r\n" + std::string(line) + length + "\r\n" + report));
        CHECK_FALSE(readReport("HTTP/1.1 200 OK\r\n" + length + std::string(line) + "\r\n" + report));
    }
}
