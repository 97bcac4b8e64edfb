#include "fleetfixture.h"

#include "fleetlink/bootclock.h"
#include "fleetlink/linkhub.h"
#include "mimosahollow/duties/reportingwindow.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>

using namespace mimosahollow;
using namespace mimosahollow::coordinator;

namespace {

constexpr std::int64_t windowLength = 500;

/** The platform's side of the calls, with its rules. */
struct Platform
{
    struct Call
    {
        duties::DutyCall call;
        std::function<void(duties::DutyOutcome)> done;
        TimePoint at = std::chrono::steady_clock::now();
    };

    void receive(duties::DutyCall call, std::function<void(duties::DutyOutcome)> done)
    {
        if (const auto *order = std::get_if<duties::ScalingOrder>(&call.content)) {
            orders.push_back(*order);
            done(duties::DutyOutcome::Accepted);
            return;
        }
        const auto &report = std::get<duties::UsageReport>(call.content);
        CHECK(windows.try_emplace(report.window, report.counts).first->second == report.counts);
        CHECK(holders.try_emplace(call.fencingNumber, call.holder).first->second == call.holder);
        CHECK((calls.empty() || call.fencingNumber >= calls.back().call.fencingNumber));
        calls.push_back({std::move(call), std::move(done)});
        if (answer) {
            calls.back().done(*answer);
        }
    }

    [[nodiscard]] std::size_t countOf(std::uint64_t window) const
    {
        return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [window](const Call &call) {
            return std::get<duties::UsageReport>(call.call.content).window == window;
        }));
    }

    std::optional<duties::DutyOutcome> answer = duties::DutyOutcome::Accepted; // empty: no answer
    std::vector<Call> calls; // with usage reports
    std::vector<duties::ScalingOrder> orders;
    std::map<std::uint64_t, std::map<std::string, std::uint64_t>> windows;
    std::map<std::uint64_t, std::string> holders;
};

/** An entry instance that reports two calls of one organisation in each window. */
class ScriptedEntry
{
public:
    ScriptedEntry(asio::io_context &context, const std::string &name) : m_timer(context)
    {
        fleetlink::LinkHubOptions options;
        options.self = {name, {}, "domain-1", {}};
        m_hub = std::make_unique<fleetlink::LinkHub>(context,
                                                     options,
                                                     fleetlink::LinkHubEvents{[](const fleetlink::Peer &) {},
                                                                              [](const fleetlink::Peer &) {},
                                                                              [this](const fleetlink::Peer &, const fleetlink::LinkMessage &message) {
                                                                                  if (const auto *reply = std::get_if<fleetlink::LeaderReply>(&message)) {
                                                                                      fixed = std::max(fixed, reply->fixedWindow);
                                                                                      fleetMilliseconds = reply->fleetMilliseconds;
                                                                                  }
                                                                              },
                                                                              [](const fleetlink::Peer &, std::span<const std::uint8_t>) {}});
        REQUIRE(m_hub->start().empty());
        for (unsigned number : {1U, 2U, 3U}) {
            m_hub->dial(Fleet::address(number));
        }
        report();
    }

    std::uint64_t fixed = 0;
    std::int64_t fleetMilliseconds = 0;
    std::int64_t clockError = 0;
    std::vector<fleetlink::ServerLoad> running;

private:
    void report()
    {
        const std::int64_t wall = fleetlink::wallMilliseconds();
        const std::uint64_t current = duties::windowAt(wall, windowLength);
        fleetlink::EntryReport message;
        message.stamp = static_cast<std::uint64_t>(fleetlink::bootMilliseconds());
        message.incarnation = 7;
        message.wallMilliseconds = wall + clockError;
        for (std::uint64_t window = std::max({fixed + 1, m_firstWindow, current - 20}); window <= current; ++window) {
            message.usage.push_back({window, "acme", 2});
        }
        message.usage.push_back({current - 1, {}, 0});
        message.running = running;
        for (const fleetlink::Peer &peer : m_hub->peers()) {
            m_hub->send(peer.number, message);
        }
        m_timer.expires_after(milliseconds(50));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                report();
            }
        });
    }

    asio::steady_timer m_timer;
    std::uint64_t m_firstWindow = duties::windowAt(fleetlink::wallMilliseconds(), windowLength);
    std::unique_ptr<fleetlink::LinkHub> m_hub;
};

struct DutyFleet : Fleet
{
    DutyFleet()
    {
        dutySettings.reportsUsage = true;
        dutySettings.reportWindow = milliseconds(windowLength);
        dutySettings.takeoverDelay = milliseconds(600);
        dutySettings.returnDelay = milliseconds(600);
        duties.send = [this](duties::DutyCall call, std::function<void(duties::DutyOutcome)> done) {
            platform.receive(std::move(call), std::move(done));
        };
    }

    void startAll()
    {
        for (unsigned number : {1U, 2U, 3U}) {
            start(number, true);
        }
    }

    /** Waits for @p count more reports with the counts of both entry instances. */
    bool waitForFullReports(std::size_t count)
    {
        const std::set<std::uint64_t> before = fullWindows();
        return runUntil([&] {
            return fullWindows().size() >= before.size() + count;
        });
    }

    [[nodiscard]] std::set<std::uint64_t> fullWindows() const
    {
        std::set<std::uint64_t> full;
        for (const auto &[window, counts] : platform.windows) {
            if (counts == std::map<std::string, std::uint64_t>{{"acme", 4}}) {
                full.insert(window);
            }
        }
        return full;
    }

    [[nodiscard]] unsigned holder() const
    {
        return static_cast<unsigned>(platform.calls.back().call.holder.back() - '0');
    }

    Platform platform;
};

} // namespace

TEST_CASE("The leader reports the calls of each window once")
{
    DutyFleet fleet;
    fleet.startAll();
    ScriptedEntry first(fleet.context, "entry-1");
    ScriptedEntry second(fleet.context, "entry-2");
    REQUIRE(fleet.waitForFullReports(3));
    CHECK(first.fixed != 0);
    CHECK(std::abs(first.fleetMilliseconds - fleetlink::wallMilliseconds()) < 1000);

    SECTION("in order, from one holder, each window with all calls")
    {
        REQUIRE(fleet.waitForFullReports(3));
        std::uint64_t last = 0;
        for (const Platform::Call &call : fleet.platform.calls) {
            const auto &report = std::get<duties::UsageReport>(call.call.content);
            CHECK(report.window > last);
            last = report.window;
        }
        CHECK(fleet.platform.holders.size() == 1);
        CHECK(fleet.platform.windows.size() <= fleet.fullWindows().size() + 2); // the first ones may be incomplete
    }
    // Guards against a second content after the acknowledgement of the first was lost.
    SECTION("a lost acknowledgement leads to the same report again")
    {
        fleet.platform.answer = duties::DutyOutcome::Unanswered;
        const std::size_t before = fleet.platform.calls.size();
        REQUIRE(fleet.runUntil([&] {
            return fleet.platform.calls.size() >= before + 2;
        }));
        const auto window = std::get<duties::UsageReport>(fleet.platform.calls[before].call.content).window;
        CHECK(fleet.platform.countOf(window) >= 2);
        fleet.platform.answer = duties::DutyOutcome::Accepted;
        CHECK(fleet.waitForFullReports(2));
    }
    // Guards against windows by the clock of one machine.
    SECTION("a step of one machine's clock moves no window")
    {
        second.clockError = 3'600'000;
        REQUIRE(fleet.waitForFullReports(2));
        CHECK(std::abs(first.fleetMilliseconds - fleetlink::wallMilliseconds()) < 1000);
    }
    // Guards against windows that the loss of a holder takes along, and against a report that the next holder changes.
    SECTION("the holder is lost after it has fixed a window and before its report is acknowledged")
    {
        fleet.platform.answer.reset();
        const std::size_t before = fleet.platform.calls.size();
        REQUIRE(fleet.runUntil([&] {
            return fleet.platform.calls.size() > before;
        }));
        const duties::DutyCall open = fleet.platform.calls.back().call;
        const unsigned lost = fleet.holder();
        fleet.stop(lost, false);
        const TimePoint lostAt = std::chrono::steady_clock::now();
        fleet.platform.answer = duties::DutyOutcome::Accepted;
        const std::uint64_t window = std::get<duties::UsageReport>(open.content).window;
        REQUIRE(fleet.runUntil([&] {
            return fleet.platform.countOf(window) == 2; // with the same content, which the platform checks
        }));
        const auto next = std::find_if(fleet.platform.calls.begin(), fleet.platform.calls.end(), [&open](const Platform::Call &call) {
            return call.call.holder != open.holder;
        });
        REQUIRE(next != fleet.platform.calls.end());
        CHECK(next->call.fencingNumber > open.fencingNumber);
        CHECK(next->at - lostAt >= milliseconds(600));
        REQUIRE(fleet.waitForFullReports(4));
        CHECK(fleet.platform.countOf(window) == 2);
        for (std::uint64_t following = window; following < window + 4; ++following) {
            CHECK(fleet.platform.windows.contains(following));
        }
    }
}

// Guards against calls of a leader that is cut off from the others: they have elected another one.
TEST_CASE("A leader without a majority makes no calls")
{
    DutyFleet fleet;
    fleet.startAll();
    ScriptedEntry first(fleet.context, "entry-1");
    ScriptedEntry second(fleet.context, "entry-2");
    REQUIRE(fleet.waitForFullReports(1));
    fleet.platform.answer = duties::DutyOutcome::Unanswered;
    const std::size_t answered = fleet.platform.calls.size();
    REQUIRE(fleet.runUntil([&] {
        return fleet.platform.calls.size() > answered; // this one is due again
    }));
    const unsigned holder = fleet.holder();
    for (unsigned number : {1U, 2U, 3U}) {
        if (number != holder) {
            fleet.stop(number, false);
        }
    }
    fleet.runUntil(
        [] {
            return false;
        },
        milliseconds(400));
    const std::size_t before = fleet.platform.calls.size();
    fleet.runUntil(
        [] {
            return false;
        },
        seconds(2));
    CHECK(fleet.platform.calls.size() == before);
}

// Guards against numbers of servers that ignore the calls, and against calls that repeat the same number.
TEST_CASE("The leader asks for servers where calls run")
{
    DutyFleet fleet;
    fleet.dutySettings = {};
    fleet.dutySettings.scales = true;
    fleet.decode = [](std::string_view text) {
        catalog::Catalog catalog;
        catalog.version = text.size();
        catalog.services = {{"rest", 0, 0, std::nullopt}};
        catalog.services[0].scaling = catalog::ScalingSpec{1, 30, seconds(1)};
        return std::variant<catalog::Catalog, catalog::CatalogProblem>(catalog);
    };
    fleet.startAll();
    REQUIRE(fleet.commit({fleetstate::CommandKind::PutCatalog, 3, {}, "xxx"}));
    for (const auto &[number, coordinator] : fleet.coordinators) {
        for (unsigned domain : {1U, 2U, 3U}) {
            const std::string name = std::to_string(domain);
            coordinator->announce({"s" + name, "rest", "127.0.0.1:9", "domain-" + name, 4, registry::ServerState::Ready, 1, 1, 0, {}});
        }
    }
    ScriptedEntry entry(fleet.context, "entry-1");
    entry.running = {{registry::serverKey("s2"), 40}};
    REQUIRE(fleet.runUntil([&fleet] {
        return std::any_of(fleet.platform.orders.begin(), fleet.platform.orders.end(), [](const duties::ScalingOrder &order) {
            return order.service == "rest" && order.domain == "domain-2" && order.desired >= 10;
        });
    }));
    CHECK(fleet.platform.calls.empty());
    fleet.runUntil(
        [] {
            return false;
        },
        seconds(2));
    for (const std::string domain : {"domain-1", "domain-2", "domain-3"}) {
        std::optional<unsigned> last;
        for (const duties::ScalingOrder &order : fleet.platform.orders) {
            if (order.domain == domain) {
                CHECK(last != order.desired);
                CHECK(order.desired <= 30);
                last = order.desired;
            }
        }
    }
}

// Guards against work for duties in deployments without them.
TEST_CASE("Without duties nothing is sent, fixed or told")
{
    DutyFleet fleet;
    fleet.dutySettings = {};
    fleet.startAll();
    ScriptedEntry entry(fleet.context, "entry-1");
    REQUIRE(fleet.commit({fleetstate::CommandKind::EvacuateDomain, 0, "north", {}}));
    fleet.runUntil(
        [] {
            return false;
        },
        seconds(2));
    CHECK(fleet.platform.calls.empty());
    CHECK(entry.fleetMilliseconds == 0);
    CHECK(entry.fixed == 0);
    for (const auto &[number, coordinator] : fleet.coordinators) {
        CHECK(coordinator->metricsText().find("usage") == std::string::npos);
        CHECK(coordinator->metricsText().find("duty") == std::string::npos);
    }
}
