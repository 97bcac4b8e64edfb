#include "support/enginefleet.h"
#include "support/windows.h"

#include <algorithm>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

constexpr double limit = 4; // calls per second, as each engine names it
constexpr Duration window = seconds(4);
constexpr double allowed = 1.5 * limit * 4 + 5; // in each window, from contactTime after the limit was named first

/** Sends @p callsPerSecond calls, @p firstEntryShare of ten through the first entry instance, for @p time; returns how many were served. */
unsigned sendCalls(EngineFleet &fleet, double callsPerSecond, unsigned firstEntryShare, Duration time)
{
    std::vector<std::shared_ptr<Connection>> callers;
    const TimePoint begin = Clock::now();
    while (Clock::now() - begin < time) {
        const auto due = static_cast<std::size_t>(toSeconds(Clock::now() - begin) * callsPerSecond);
        while (callers.size() < due) {
            callers.push_back(fleet.startCall(callers.size() % 10 < firstEntryShare ? 0 : 1, EngineFleet::unique("tenant:5")));
        }
        fleet.runFor(milliseconds(5));
    }
    fleet.runFor(seconds(1));
    return static_cast<unsigned>(std::count_if(callers.begin(), callers.end(), [](const auto &caller) {
        return EngineFleet::isServed(caller->received);
    }));
}

/** Largest number of calls that one server got in any window beginning at @p from or later. */
std::size_t mostArrivals(const EngineFleet &fleet, TimePoint from)
{
    std::size_t most = 0;
    for (const EngineFleet::Server &server : fleet.servers) {
        most = std::max(most, mostInWindow(server.arrivals, window, from));
    }
    return most;
}

} // namespace

// Guards against entry instances that each keep a limit for themselves, or none, so that a server in need gets several times what it takes.
TEST_CASE("A backend server gets no more calls from all entry instances together than it has named as its limit")
{
    const unsigned firstEntryShare = GENERATE(5U, 9U);
    INFO(firstEntryShare << " of 10 calls come through the first entry instance");
    EngineFleet fleet;
    fleet.namedLimit = "4.0";
    sendCalls(fleet, 90, firstEntryShare, contactTime);
    const TimePoint from = Clock::now();
    const unsigned served = sendCalls(fleet, 90, firstEntryShare, window + seconds(1));
    CHECK(static_cast<double>(mostArrivals(fleet, from)) <= allowed);
    // Most of what the servers take is used, though the calls come through the entry instances unevenly.
    CHECK(served >= serverCount * limit * 5 * 0.7);
}

// Guards against backend servers with a limit that get no calls until the next leader answers.
TEST_CASE("A backend server that has named a limit gets calls while no leader answers")
{
    EngineFleet fleet;
    fleet.namedLimit = "4.0";
    sendCalls(fleet, 60, 5, contactTime);
    const TimePoint from = Clock::now();
    fleet.heartbeat.cancel(); // announcements go to the coordinator
    fleet.coordinator.reset();
    const unsigned served = sendCalls(fleet, 60, 5, window);
    CHECK(static_cast<double>(mostArrivals(fleet, from)) <= allowed);
    CHECK(served >= serverCount * limit * toSeconds(window) * 0.5);
}

// Guards against a limit that binds after the server has stopped naming it.
TEST_CASE("A limit that a backend server names no more ends")
{
    EngineFleet fleet;
    fleet.namedLimit = "0.5";
    sendCalls(fleet, 30, 5, seconds(1));
    fleet.namedLimit.clear();
    sendCalls(fleet, 30, 5, seconds(5));
    CHECK(sendCalls(fleet, 60, 5, seconds(2)) >= 100);
}
