#include "platform/dutyclient.h"

#include "support/platformapi.h"
#include "support/scriptedserver.h"

#include <catch2/catch.hpp>

#include <boost/asio/error.hpp>

#include <chrono>
#include <optional>

using namespace mimosahollow;
using namespace mimosahollow::platform;
using duties::DutyOutcome;

namespace {

const duties::DutyCall usage{"core-1", 7, duties::UsageReport{353'445'120, {{"hule930", 412}, {"fida11", 412}}}};
const duties::DutyCall order{"core-1", 9, duties::ScalingOrder{"huvo11a", "ayutthaya", 6}};

struct Fixture
{
    DutyOutcome send(const duties::DutyCall &call)
    {
        std::optional<DutyOutcome> outcome;
        client.port().send(call, [&outcome](DutyOutcome read) {
            outcome = read;
        });
        while (!outcome) {
            context.run_one();
        }
        return *outcome;
    }

    boost::asio::io_context context;
    tests::PlatformApi api{context};
    DutyClient client{context, api.address()};
};

} // namespace

// Guards against calls that the platform can't read, and against a repeated report whose bytes differ.
TEST_CASE("Calls of a duty have the platform's form")
{
    Fixture fixture;
    CHECK(fixture.send(usage) == DutyOutcome::Accepted);
    CHECK(fixture.send(order) == DutyOutcome::Accepted);
    CHECK(fixture.send(usage) == DutyOutcome::Accepted);
    const auto &requests = fixture.api.requests;
    REQUIRE(requests.size() == 3);
    CHECK(requests[0].method_string() == "POST");
    CHECK(requests[0].target() == "/usage");
    CHECK(requests[0]["Duty-Holder"] == "core-1");
    CHECK(requests[0]["Fencing-Token"] == "7");
    CHECK(requests[0].body() == R"({"window":353445120,"counts":{"fida11":412,"hule930":412}})");
    CHECK(requests[1].target() == "/scaling");
    CHECK(requests[1]["Fencing-Token"] == "9");
    CHECK(requests[1].body() == R"({"service":"huvo11a","zone":"ayutthaya","desired-count":6})");
    CHECK(requests[2].body() == requests[0].body());
}

// Guards against calls that are repeated though they were rejected, or given up though the platform was in trouble.
TEST_CASE("The status of the platform's answer decides whether a call is repeated")
{
    Fixture fixture;
    const auto outcome = [&](unsigned status) {
        fixture.api.status = [status] {
            return status;
        };
        return fixture.send(order);
    };
    CHECK(outcome(200) == DutyOutcome::Accepted);
    CHECK(outcome(204) == DutyOutcome::Accepted);
    CHECK(outcome(429) == DutyOutcome::Throttled);
    CHECK(outcome(400) == DutyOutcome::Rejected);
    CHECK(outcome(409) == DutyOutcome::Rejected);
    CHECK(outcome(500) == DutyOutcome::Unanswered);
    CHECK(outcome(503) == DutyOutcome::Unanswered);
    CHECK(outcome(302) == DutyOutcome::Unanswered);
}

// Guards against a coordinator that waits for a platform that is down, and against bytes that arrive after the call was given up.
TEST_CASE("A platform that doesn't answer is given up")
{
    Fixture fixture;
    const auto begin = std::chrono::steady_clock::now();

    SECTION("after two seconds, and the connection is cut so that the operating system sends nothing more")
    {
        fixture.api.status = [] {
            return 0U;
        };
        CHECK(fixture.send(usage) == DutyOutcome::Unanswered);
        CHECK(std::chrono::steady_clock::now() - begin >= seconds(2));
        while (fixture.api.ends.empty()) {
            fixture.context.run_one();
        }
        CHECK(fixture.api.ends[0] == boost::asio::error::connection_reset);
    }
    SECTION("and called again when it is back")
    {
        DutyClient nowhere(fixture.context, "127.0.0.1:1");
        std::optional<DutyOutcome> outcome;
        nowhere.port().send(usage, [&outcome](DutyOutcome read) {
            outcome = read;
        });
        while (!outcome) {
            fixture.context.run_one();
        }
        CHECK(outcome == DutyOutcome::Unanswered);
        CHECK(fixture.send(usage) == DutyOutcome::Accepted);
    }
}

namespace {

/** The outcome of a call that the platform answers with @p answer. */
DutyOutcome outcomeOf(const std::string &answer)
{
    tests::ScriptedServer server([&answer](unsigned, const std::string &) -> tests::ScriptedServer::Reply {
        return {answer, true};
    });
    boost::asio::io_context context;
    DutyClient client(context, server.address);
    std::optional<DutyOutcome> outcome;
    client.port().send(usage, [&outcome](DutyOutcome read) {
        outcome = read;
    });
    while (!outcome) {
        context.run_one();
    }
    return *outcome;
}

} // namespace

// Guards against a report that counts as accepted, or is given up, by an answer that isn't one.
TEST_CASE("A damaged answer of the platform is none")
{
    const std::string end = "Content-Length: 0\r\n\r\n";
    CHECK(outcomeOf("HTTP/1.1 200 OK\r\n" + end) == DutyOutcome::Accepted);
    for (const char *line : {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 100 Continue", "HTTP/2.0 200 OK", "HTTP/2.0 400 OK"}) {
        CAPTURE(line);
        CHECK(outcomeOf(std::string(line) + "\r\n" + end) == DutyOutcome::Unanswered);
    }
    for (const char *status : {"200", "400"}) {
        CAPTURE(status);
        CHECK(outcomeOf("HTTP/1.1 " + std::string(status) + " OK\r\nDate: x\r\n Name: value\r\n" + end) == DutyOutcome::Unanswered);
        CHECK(outcomeOf("HTTP/1.1 " + std::string(status) + " OK\r\nNa me: value\r\n" + end) == DutyOutcome::Unanswered);
    }
}
