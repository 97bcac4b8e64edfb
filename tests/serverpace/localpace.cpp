#include "mimosahollow/serverpace/localpace.h"

#include "mimosahollow/serverpace/pacebounds.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serverpace;

namespace {

const TimePoint start{seconds(100)};

} // namespace

// Guards against figures of the past, and against false ones that weigh more than what is measured.
TEST_CASE("A stated load counts for 300 ms")
{
    LocalPace local;
    CHECK(statedFactor(local, start) == 1);
    CHECK(statedQueue(local, start) == 0);
    local.stated = {11, 3, 12, 3.0};
    local.statedAt = start;
    CHECK(statedFactor(local, start) == Approx(2));
    CHECK(statedFactor(local, start + milliseconds(150)) == Approx(1.5));
    CHECK(statedFactor(local, start + milliseconds(300)) == 1);
    CHECK(statedQueue(local, start) == Approx(0.25));
    CHECK(statedQueue(local, start + milliseconds(300)) == 0);

    SECTION("with bounds")
    {
        local.stated = {0, 1'000'000, 1, 0.0001};
        CHECK(statedFactor(local, start) >= fastestPace);
        CHECK(statedQueue(local, start) == 1);
        local.stated.pace = 10'000;
        CHECK(statedFactor(local, start) <= slowestPace);
    }
}

// Guards against further calls to a server that has stopped answering, and against one long prompt that empties a server.
TEST_CASE("A call without an answer for several times the usual time raises the pace")
{
    LocalPace local;
    UsualAnswer usual;
    local.awaited.push_back(start);
    CHECK(stalledPace(local, usual, start + seconds(9)) == 0); // nothing is usual yet
    for (int answer = 0; answer < 20; ++answer) {
        recordAnswer(usual, milliseconds(150));
    }
    CHECK(usual.seconds == Approx(0.15));
    CHECK(stalledPace(local, usual, start + milliseconds(590)) == 0);
    CHECK(stalledPace(local, usual, start + milliseconds(610)) > 1.9);
    CHECK(stalledPace(local, usual, start + milliseconds(1200)) > 3.9);
    CHECK(stalledPace(local, usual, start + seconds(60)) == slowestPace);

    SECTION("until it ends")
    {
        local.awaited.clear();
        CHECK(stalledPace(local, usual, start + seconds(9)) == 0);
    }
    SECTION("calls at stalled servers do not pass for usual ones")
    {
        recordAnswer(usual, seconds(60));
        CHECK(usual.seconds < 0.2);
    }
}
