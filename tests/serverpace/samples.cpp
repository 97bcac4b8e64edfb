#include "mimosahollow/serverpace/pacebounds.h"
#include "mimosahollow/serverpace/samplesums.h"
#include "mimosahollow/serverpace/streammeter.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace mimosahollow;
using namespace mimosahollow::serverpace;

namespace {

const TimePoint start{seconds(100)};

} // namespace

// Guards against figures that depend on how reads cut a stream, or on its caller.
TEST_CASE("A stream with three events gives its intervals")
{
    StreamMeter meter;
    CHECK(eventsArrived(meter, 1, start).count == 0);
    CHECK(eventsArrived(meter, 1, start + milliseconds(40)).count == 0);
    IntervalSum sum = eventsArrived(meter, 1, start + milliseconds(100));
    CHECK(sum.count == 2);
    CHECK(sum.total == milliseconds(100));

    SECTION("events that arrive together share their interval")
    {
        sum = eventsArrived(meter, 3, start + milliseconds(220));
        CHECK(sum.count == 3);
        CHECK(sum.total == milliseconds(120));
    }
    SECTION("a read without events adds nothing")
    {
        CHECK(eventsArrived(meter, 0, start + milliseconds(220)).count == 0);
        CHECK(eventsArrived(meter, 1, start + milliseconds(240)).total == milliseconds(140));
    }
    SECTION("an interval that the caller delays does not count")
    {
        dropInterval(meter);
        CHECK(eventsArrived(meter, 1, start + seconds(9)).count == 0);
        CHECK(eventsArrived(meter, 1, start + seconds(9) + milliseconds(44)).total == milliseconds(44));
    }
    SECTION("a long silence counts with a limit")
    {
        CHECK(eventsArrived(meter, 1, start + seconds(60)).total == seconds(2));
    }
}

// Guards against samples that are reported twice.
TEST_CASE("A report holds the samples since the last one")
{
    SampleSums sums;
    addSample(sums, 7, milliseconds(40), 1);
    addSample(sums, 7, milliseconds(100), 2);
    addSample(sums, 8, milliseconds(10), 0);
    const auto taken = takeSamples(sums);
    REQUIRE(taken.size() == 1);
    CHECK(taken.front().serverKey == 7);
    CHECK(taken.front().milliseconds == Approx(140));
    CHECK(taken.front().count == 3);
    CHECK(takeSamples(sums).empty());
}

TEST_CASE("A pace has bounds")
{
    CHECK(boundedPace(0.1) == fastestPace);
    CHECK(boundedPace(99) == slowestPace);
    CHECK(boundedPace(1.3) == 1.3);
    for (const double value : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        CHECK(boundedPace(value) == 1);
    }
}
