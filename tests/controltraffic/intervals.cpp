#include "mimosahollow/controltraffic/intervals.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::controltraffic;

// Guards against a leader that has no time for anything but the control messages of a large fleet.
TEST_CASE("Control messages become rarer as the fleet grows")
{
    SECTION("a fleet of 120 servers and 75 entry instances has the shortest intervals")
    {
        CHECK(digestInterval(120) == milliseconds(100));
        CHECK(digestTimeout(120) == milliseconds(1000));
        CHECK(reportInterval(75) == milliseconds(150));
        CHECK(countDelay(120, 75) == milliseconds(125));
        CHECK(planInterval(112) == milliseconds(8));
        CHECK(placementRefreshInterval(112) == seconds(5));

        SECTION("and counts are half as old as reports and digests are apart")
        {
            CHECK(countDelay(120, 75) * 2 == digestInterval(120) + reportInterval(75));
        }
    }
    SECTION("in any larger fleet, their work stays the same")
    {
        for (const std::size_t size : {400U, 1000U, 3000U, 10000U}) {
            CAPTURE(size);
            CHECK(static_cast<double>(size) / toSeconds(digestInterval(size)) <= 4000); // rows that the leader writes
            CHECK(static_cast<double>(size) / toSeconds(reportInterval(size)) <= 1000); // reports that it answers
            CHECK(static_cast<double>(size) / toSeconds(planInterval(size)) <= 50'000); // engines that it examines
            CHECK(static_cast<double>(size) / toSeconds(placementRefreshInterval(size)) <= 100); // placements that are repeated
            CHECK(static_cast<double>(size) / toSeconds(updateInterval(size)) <= 4000); // messages about servers
        }
    }
    SECTION("a digest that is late or lost is not yet a lost feed")
    {
        for (const std::size_t size : {0U, 400U, 3000U, 10000U}) {
            CAPTURE(size);
            CHECK(digestTimeout(size) > 2 * digestInterval(size));
        }
    }
}
