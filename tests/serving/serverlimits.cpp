#include "fleet.h"
#include "support/windows.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serving;
using mimosahollow::tests::mostInWindow;

namespace {

const std::string serverOfDomainA = "127.0.0.1:2";
const std::string serverOfDomainB = "127.0.0.1:4";
constexpr double limit = 4; // calls per second
constexpr Duration window = seconds(4);

/** Calls of the plain service through all instances, @p callsPerStep every 100 ms; each runs for 100 ms. */
std::vector<RequestId> press(Fleet &fleet, Duration time, unsigned callsPerStep)
{
    std::vector<RequestId> all;
    for (const TimePoint end = fleet.now + time; fleet.now < end;) {
        for (unsigned i = 0; i < callsPerStep; ++i) {
            all.push_back(fleet.callPlainService(all.size() % 4, "/open/x", std::nullopt));
        }
        fleet.advance(milliseconds(100));
        for (const auto &[id, call] : fleet.calls) {
            fleet.finish(id, Fleet::Outcome::Completed);
        }
    }
    return all;
}

} // namespace

// Guards against pool owners that grant calls to a server as long as slots are free, although it has named a limit.
TEST_CASE("A backend server that names a limit gets no more calls from all instances together")
{
    Fleet fleet;
    fleet.start();
    fleet.namedLimits = {{serverOfDomainA, limit}, {serverOfDomainB, limit}};
    press(fleet, milliseconds(500), 4);
    const TimePoint named = fleet.now;
    const std::vector<RequestId> calls = press(fleet, seconds(12), 4);
    for (const std::string &server : {serverOfDomainA, serverOfDomainB}) {
        CHECK(mostInWindow(fleet.sends[server], window, named) <= static_cast<std::size_t>(toSeconds(window) * limit * 1.5 + 5));
        CHECK(static_cast<double>(fleet.sends[server].size()) >= limit * 10); // it is used up to the limit
    }

    SECTION("calls beyond the limits are refused at once, with the time after which a call may succeed")
    {
        const auto isRefused = [&fleet](const RequestId &id) {
            return fleet.refused(id).has_value();
        };
        CHECK(std::any_of(calls.begin(), calls.end(), isRefused));
        for (const RequestId &id : calls) {
            if (isRefused(id)) {
                CHECK(fleet.refused(id) != RefusalReason::DeadlineExceeded);
                CHECK(fleet.calls.at(id).refusal->retryAfter > seconds(1));
            }
        }
    }
    SECTION("calls go through again once the answers name no limit")
    {
        fleet.namedLimits.clear();
        press(fleet, seconds(2), 1);
        const std::size_t before = fleet.sends[serverOfDomainA].size();
        press(fleet, seconds(2), 2);
        CHECK(fleet.sends[serverOfDomainA].size() - before >= 15);
    }
    SECTION("a new process of the server has no limit until it names one")
    {
        fleet.namedLimits.clear();
        ++fleet.incarnations[1];
        fleet.advance(seconds(1));
        const std::size_t before = fleet.sends[serverOfDomainA].size();
        press(fleet, seconds(1), 2);
        CHECK(fleet.sends[serverOfDomainA].size() - before >= 8);
    }
    CHECK(fleet.violations.empty());
}
