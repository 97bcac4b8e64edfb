#include "mimosahollow/duties/fleetclock.h"
#include "mimosahollow/duties/usagecounter.h"
#include "mimosahollow/duties/usageledger.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::duties;

namespace {

constexpr std::int64_t length = 5000;
constexpr std::int64_t start = 353'445'120 * length; // Unix time at the boot time 0 of the entry instance
constexpr std::uint64_t window = 353'445'120;

using Counts = std::map<std::string, std::uint64_t>;

} // namespace

// Guards against windows by the clock of a machine whose time of day jumps.
TEST_CASE("The time of the fleet is the median of its clocks")
{
    FleetClock clock;
    for (int machine = 0; machine < 5; ++machine) {
        recordClock(clock, "core-" + std::to_string(machine), start + machine, 100);
    }
    CHECK(fleetTime(clock, 3, 100) == start + 2);
    CHECK(fleetTime(clock, 3, 600) == start + 502);

    SECTION("a step of one clock shifts it to a neighbour at most")
    {
        recordClock(clock, "core-2", start + 3'600'000, 600);
        CHECK(fleetTime(clock, 3, 600) == start + 503);
    }
    SECTION("it is unknown when most readings are old")
    {
        CHECK(fleetTime(clock, 3, 10'000) == std::nullopt);
        recordClock(clock, "core-1", start, 10'000);
        CHECK(fleetTime(clock, 1, 10'000) == start);
    }
}

TEST_CASE("An entry instance counts calls by the time of the fleet")
{
    UsageCounter counter;
    counter.windowLength = length;
    countCall(counter, "acme", 0); // the first answer of the leader has not arrived
    synchronise(counter, start + 100, 90, 100);
    countCall(counter, "acme", 200);
    countCall(counter, "umbra", 300);
    countCall(counter, "", 300);

    auto report = countsToReport(counter, 400, 400);
    REQUIRE(report.size() == 3); // and the mark of the window before
    CHECK(report[0].organisation == "acme");
    CHECK(report[0].window == window);
    CHECK(report[0].calls == 2);
    CHECK(report[2].organisation.empty());
    CHECK(report[2].window == window - 1);

    // Guards against counts that a broken connection loses.
    SECTION("a count is reported until the leader has answered a report with it")
    {
        CHECK(countsToReport(counter, 500, 500).size() == 3);
        reportAnswered(counter, 450, window - 1);
        CHECK(countsToReport(counter, 600, 600).size() == 2);
        reportAnswered(counter, 600, window - 1);
        CHECK(countsToReport(counter, 700, 700).empty());
        countCall(counter, "umbra", 800);
        report = countsToReport(counter, 800, 800);
        REQUIRE(report.size() == 1);
        CHECK(report[0].calls == 2);

        reportAll(counter);
        CHECK(countsToReport(counter, 900, 900).size() == 2);
    }
    SECTION("the mark names a window once it is over, and counts after it go to the next one")
    {
        report = countsToReport(counter, 5000, 5000);
        CHECK(report.back().window == window);
        synchronise(counter, start + 4980, 5000, 5000); // the clocks of the fleet say that it is not over yet
        countCall(counter, "acme", 5001);
        CHECK(counter.counts.at({window + 1, "acme"}).calls == 1);
    }
    // Guards against calls in a wrong window after an answer lay in a buffer while the machine was suspended.
    SECTION("an answer that took long does not replace a good time")
    {
        synchronise(counter, start + 500, 400, 9000);
        countCall(counter, "acme", 9000);
        CHECK(counter.counts.contains({window + 1, "acme"}));
    }
    SECTION("a fixed window is dropped, and without a leader only the newest windows are kept")
    {
        reportAnswered(counter, 400, window);
        CHECK(counter.counts.empty());
        for (std::int64_t at = 5000; at < 1'000'000; at += length) {
            countCall(counter, "acme", at);
        }
        static_cast<void>(countsToReport(counter, 1'000'000, 1'000'000));
        CHECK(counter.counts.size() <= 24);
    }
}

TEST_CASE("A window is fixed once its counts are complete, or at its deadline")
{
    UsageLedger ledger;
    const std::vector<std::string> entries{"entry-1", "entry-2"};
    const auto fixable = [&](std::int64_t after) {
        return windowToFix(ledger, window, entries, start + length + after, length);
    };
    recordUsage(ledger, {"entry-1", 1}, std::vector<fleetlink::UsageCount>{{window, "acme", 4}, {window, "umbra", 1}});
    recordUsage(ledger, {"entry-2", 2}, std::vector<fleetlink::UsageCount>{{window, "acme", 3}, {window, "", 0}});

    SECTION("it waits for an entry instance that may still count, but no longer than the deadline")
    {
        CHECK(fixable(-1) == std::nullopt);
        CHECK(fixable(200) == std::nullopt);
        CHECK(fixable(4999) == std::nullopt);
        CHECK(fixable(5000) == window);
    }
    SECTION("it is fixed as soon as all have reported")
    {
        recordUsage(ledger, {"entry-1", 1}, std::vector<fleetlink::UsageCount>{{window, "acme", 6}, {window, "", 0}});
        CHECK(fixable(-1) == std::nullopt);
        CHECK(fixable(200) == window);
        CHECK(sumOf(ledger, window) == UsageReport{window, Counts{{"acme", 9}, {"umbra", 1}}});
    }
    // Guards against calls that are lost or counted twice when an entry instance restarts.
    SECTION("a restarted entry instance adds to what it had reported before")
    {
        recordUsage(ledger, {"entry-2", 3}, std::vector<fleetlink::UsageCount>{{window, "acme", 2}});
        recordUsage(ledger, {"entry-2", 2}, std::vector<fleetlink::UsageCount>{{window, "acme", 1}}); // delayed on its old connection
        CHECK(sumOf(ledger, window).counts == Counts{{"acme", 9}, {"umbra", 1}});
    }
    SECTION("after it is fixed, only new calls count as late")
    {
        setFixedWindow(ledger, window);
        CHECK(recordUsage(ledger, {"entry-1", 1}, std::vector<fleetlink::UsageCount>{{window, "acme", 4}}) == 0);
        CHECK(recordUsage(ledger, {"entry-1", 1}, std::vector<fleetlink::UsageCount>{{window, "acme", 6}}) == 2);
        CHECK(sumOf(ledger, window).counts == Counts{{"acme", 7}, {"umbra", 1}});
        CHECK(fixable(5000) == std::nullopt);
        CHECK(fixable(10'000) == window + 1);
    }
    SECTION("after an outage of the whole fleet, windows of the last minute are fixed one after the other")
    {
        setFixedWindow(ledger, window);
        CHECK(fixable(100 * length) == window + 101 - 12);
    }
}
