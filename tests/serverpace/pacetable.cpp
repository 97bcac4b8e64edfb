#include "mimosahollow/serverpace/pacetable.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <string>

using namespace mimosahollow;
using namespace mimosahollow::serverpace;

namespace {

constexpr double usualInterval = 44; // milliseconds between events of 9 tokens
constexpr Duration reportInterval = milliseconds(150);

/** Servers of one service whose streams the test paces. Each step is the time between two reports. */
struct Service
{
    explicit Service(unsigned count) : factors(count, 1.0), streams(count, 4.0)
    {
        for (unsigned server = 0; server < count; ++server) {
            ids.push_back("s" + std::to_string(server));
        }
    }

    std::vector<PaceChange> step()
    {
        now += reportInterval;
        std::vector<fleetlink::ServerPaceSample> samples;
        std::vector<PacedServer> servers;
        for (std::uint32_t server = 0; server < ids.size(); ++server) {
            servers.push_back({server, ids[server], "chat"});
            const double interval = usualInterval * factors[server];
            due[server] += streams[server] * toSeconds(reportInterval) * 1000 / interval;
            const auto count = static_cast<unsigned>(due[server]);
            due[server] -= count;
            if (count > 0) {
                samples.push_back({server, count * interval, count});
            }
        }
        recordSamples(table, samples, now);
        return updatePaces(table, servers, now);
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            step();
        }
    }

    /** Time until @p server is outside the band, or back in it; 10 s if that does not happen before. */
    Duration timeUntil(std::uint32_t server, bool isOutside)
    {
        const TimePoint begin = now;
        while ((relativePace(table, server) != 1) != isOutside && now - begin < seconds(10)) {
            step();
        }
        return now - begin;
    }

    std::vector<double> factors;
    std::vector<double> streams; /**< Running, by server. */
    std::vector<std::string> ids;
    std::map<std::uint32_t, double> due;
    PaceTable table;
    TimePoint now{seconds(100)};
};

} // namespace

// Guards against adapters that are placed on a slow machine whenever its estimate has returned to 1 for lack of calls.
TEST_CASE("The steady pace of a machine outlasts the time without calls")
{
    Service service(6);
    service.factors = {2.4, 1, 1, 1, 1, 1};
    service.run(seconds(5));
    CHECK(steadyPace(service.table, 0) > 2);
    service.streams[0] = 0;
    service.run(seconds(10));
    CHECK(relativePace(service.table, 0) == 1);
    CHECK(steadyPace(service.table, 0) > 2);
    CHECK(steadyPace(service.table, 1) == 1);

    SECTION("and follows the machine once calls show another pace")
    {
        service.factors[0] = 1;
        service.streams[0] = 4;
        service.run(seconds(20));
        CHECK(steadyPace(service.table, 0) == 1);
    }
    SECTION("a server that has left is forgotten")
    {
        updatePaces(service.table, {}, service.now);
        CHECK(steadyPace(service.table, 0) == 1);
    }
}

// Guards against calls that stay at a slow server, and against one that is never tried again.
TEST_CASE("A server that turns slow leaves the band within a second and comes back when it recovers")
{
    const double factor = GENERATE(5.0, 7.5);
    const double streams = GENERATE(1.0, 4.0, 11.0);
    Service service(8);
    service.streams[3] = streams;
    service.run(seconds(3));
    REQUIRE(publishedPaces(service.table).empty());
    service.factors[3] = factor;
    CHECK(service.timeUntil(3, true) <= milliseconds(900));
    service.run(seconds(2));
    CHECK(relativePace(service.table, 3) > 2);
    CHECK(publishedPaces(service.table).size() == 1);

    SECTION("with streams that still run there")
    {
        service.factors[3] = 1;
        CHECK(service.timeUntil(3, false) <= seconds(2));
    }
    SECTION("without any, so that nothing is measured")
    {
        service.streams[3] = 0;
        CHECK(service.timeUntil(3, false) <= seconds(3));
    }
}

// Guards against work that moves for nothing: the pause is over before any call arrives.
TEST_CASE("A pause of 100 ms moves nobody")
{
    const unsigned streams = GENERATE(1U, 3U, 11U);
    Service service(8);
    service.streams[3] = streams;
    service.run(seconds(3));
    const fleetlink::ServerPaceSample pause{3, 100.0 * streams, streams};
    recordSamples(service.table, {&pause, 1}, service.now);
    for (int step = 0; step < 10; ++step) {
        CHECK(service.step().empty());
    }
    CHECK(publishedPaces(service.table).empty());
}

// Guards against calls that follow every change of a machine that is shared with others.
TEST_CASE("A pace that alternates several times a second settles")
{
    Service service(8);
    service.run(seconds(3));
    std::size_t changes = 0;
    for (int step = 0; step < 100; ++step) {
        service.factors[3] = step % 2 == 0 ? 0.6 : 1.8;
        changes += service.step().size();
    }
    CHECK(changes <= 1);
}

// Guards against a median that moves when some of the servers do.
TEST_CASE("Paces are relative to the median of a service")
{
    Service service(10);
    service.factors = {1, 1.5, 1, 2.4, 1, 1, 1.6, 1, 2, 1};
    service.run(seconds(5));
    CHECK(relativePace(service.table, 0) == 1);
    CHECK(relativePace(service.table, 3) > 1.9);
    CHECK(relativePace(service.table, 3) < 2.5);

    SECTION("all servers slow: nobody stands out")
    {
        service.factors.assign(10, 6.0);
        service.run(seconds(8));
        CHECK(publishedPaces(service.table).empty());
    }
    SECTION("other services do not count")
    {
        std::vector<PacedServer> servers{{3, "s3", "other"}};
        updatePaces(service.table, servers, service.now);
        CHECK(relativePace(service.table, 3) == 1);
        CHECK(service.table.servers.size() == 1);
    }
    SECTION("each change of class is told once")
    {
        service.factors[0] = 3;
        std::size_t changes = 0;
        for (int step = 0; step < 30; ++step) {
            const auto told = service.step();
            changes += told.size();
            CHECK((told.empty() || (told.front().id == "s0" && told.front().paceClass == PaceClass::Slow)));
        }
        CHECK(changes == 1);
        CHECK(countServers(service.table, PaceClass::Slow) == 5);
    }
}

// Guards against figures that draw calls to a server or away from all others.
TEST_CASE("False figures have bounded effect")
{
    Service service(4);
    SECTION("a server cannot look more than 1.5 times as fast as the median")
    {
        service.factors[0] = 0.001;
        service.run(seconds(5));
        CHECK(relativePace(service.table, 0) == Approx(1 / 1.5));
        CHECK(relativePace(service.table, 1) == 1);
    }
    SECTION("nor make the only other one look slow")
    {
        Service pair(2);
        pair.factors[0] = 0.001;
        pair.run(seconds(5));
        CHECK(relativePace(pair.table, 1) == 1);
    }
    SECTION("invalid samples are dropped")
    {
        service.run(seconds(2));
        const std::vector<fleetlink::ServerPaceSample> samples{
            {0, std::numeric_limits<double>::quiet_NaN(), 5}, {1, -1e6, 5}, {2, 1e6, 0}, {3, std::numeric_limits<double>::infinity(), 1}, {77, 1e9, 9}};
        recordSamples(service.table, samples, service.now);
        service.run(seconds(1));
        CHECK(publishedPaces(service.table).empty());
        CHECK(service.table.servers.size() == 4);
    }
    SECTION("the only server of a service is usual")
    {
        Service single(1);
        single.factors[0] = 9;
        single.run(seconds(3));
        CHECK(publishedPaces(single.table).empty());
    }
}
