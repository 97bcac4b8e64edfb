#include "entryfixture.h"

#include <map>

using namespace mimosahollow;
using namespace mimosahollow::ingress;

namespace {

constexpr std::int64_t fleetStart = 1'767'225'600'000; // beginning of a window
constexpr std::uint64_t window = fleetStart / 60'000;

catalog::Catalog catalogWithKeys()
{
    catalog::Catalog catalog = EntryFixture::defaultCatalog();
    catalog.organisations = {{"acme", {"key"}, -1, false, 1, 0, 0}};
    for (catalog::CallRoute &route : catalog.routes) {
        route.isOpen = false;
    }
    return catalog;
}

/** Newest counts of all windows that the leader has got. */
std::uint64_t reportedCalls(const EntryFixture &fixture)
{
    std::map<std::uint64_t, std::uint64_t> calls;
    for (const fleetlink::EntryReport &report : fixture.usageReports) {
        for (const fleetlink::UsageCount &count : report.usage) {
            if (!count.organisation.empty()) {
                CHECK(count.organisation == "acme");
                calls[count.window] = count.calls;
            }
        }
    }
    std::uint64_t sum = 0;
    for (const auto &[number, count] : calls) {
        sum += count;
    }
    return sum;
}

} // namespace

// Guards against calls that are counted twice or not at all when backend servers fail.
TEST_CASE("A call counts once, when a backend server has begun to run it")
{
    EntryFixture fixture(catalogWithKeys(), seconds(60));
    fixture.fleetMilliseconds = fleetStart;
    fixture.announceServer("s2");
    fixture.runFor(milliseconds(600)); // one report of an idle instance
    const auto caller = fixture.connect();
    const std::string key = "Authorization: Bearer key\r\n";
    unsigned sends = 0;
    const auto call = [&](const std::string &path, std::string_view end) {
        fixture.call(caller, EntryFixture::request(path, "c1", key), end, milliseconds(2000));
        fixture.runFor(milliseconds(700));
        return reportedCalls(fixture);
    };
    SECTION("a plain answer")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            connection->write(EntryFixture::response("c1", "done"));
        };
        CHECK(call("/once/x", "done") == 1);
        CHECK(call("/once/x", "done") == 2);
        CHECK(fixture.usageReports.back().incarnation != 0);
        CHECK(fixture.usageReports.back().wallMilliseconds != 0);
    }
    SECTION("a repeated call, whose first server ended without an answer")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            if (++sends == 1) {
                connection->close();
            } else {
                connection->write(EntryFixture::response("c1", "done"));
            }
        };
        CHECK(call("/twice/x", "done") == 1);
        CHECK(sends == 2);
    }
    SECTION("a stream that another server resumes")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            const std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\nCall-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n";
            if (++sends == 1) {
                connection->write(head + "f\r\nid: 1\ndata: a\n\n\r\n");
                connection->close();
            } else {
                connection->write(head + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
            }
        };
        CHECK(call("/resume/x", "0\r\n\r\n") == 1);
        CHECK(sends == 2);
    }
    SECTION("but not one that no server has run")
    {
        fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
            ++sends;
            connection->write("HTTP/1.1 503 Full\r\nSignature: s\r\nNot-Run: 1\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n");
        };
        CHECK(call("/once/x", "}\n") == 0);
        CHECK(sends > 0);
    }
}

// Guards against counts that are lost with a leader, and against reports without end.
TEST_CASE("Counts are reported until their window is fixed")
{
    EntryFixture fixture(catalogWithKeys(), seconds(60));
    fixture.fleetMilliseconds = fleetStart;
    fixture.runFor(milliseconds(600));
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        connection->write(EntryFixture::response("c1", "done"));
    };
    fixture.leaderAnswers = false;
    fixture.call(fixture.connect(), EntryFixture::request("/once/x", "c1", "Authorization: Bearer key\r\n"), "done");
    fixture.runFor(milliseconds(1200));
    const auto withCounts = [&fixture] {
        return std::count_if(fixture.usageReports.begin(), fixture.usageReports.end(), [](const fleetlink::EntryReport &report) {
            return !report.usage.empty() && report.usage.front().window == window && report.usage.front().calls == 1;
        });
    };
    CHECK(withCounts() >= 2);
    fixture.leaderAnswers = true;
    fixture.runFor(milliseconds(1200));
    const auto before = withCounts();
    fixture.fixedWindow = window - 1;
    fixture.runFor(milliseconds(1200));
    CHECK(withCounts() == before);
    CHECK(fixture.usageReports.back().usage.empty());
}

// Guards against other bytes on the wire in deployments without duties.
TEST_CASE("Without a window, or a leader with the duty, no usage is reported")
{
    const bool hasWindow = GENERATE(true, false);
    EntryFixture fixture(catalogWithKeys(), seconds(hasWindow ? 60 : 0));
    fixture.fleetMilliseconds = hasWindow ? 0 : fleetStart;
    fixture.script = [&](const ConnectionPointer &connection, const std::string &) {
        connection->write(EntryFixture::response("c1", "done"));
    };
    CHECK(fixture.call(fixture.connect(), EntryFixture::request("/once/x", "c1", "Authorization: Bearer key\r\n"), "done").ends_with("done"));
    fixture.runFor(milliseconds(700));
    CHECK(fixture.usageReports.empty());
}
