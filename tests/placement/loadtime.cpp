#include "mimosahollow/placement/loadtime.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace mimosahollow;
using namespace mimosahollow::placement;

namespace {

const TimePoint start{seconds(100)};

/** Loads at an even rate, each ordered with the estimate of that moment; their results reach the leader in reports every 150 ms. */
struct Loads
{
    double perSecond = 100;
    Duration loadTime{};
    Duration jitter{}; /**< Loads take up to this much longer. */
    LoadTimeEstimate estimate;
    TimePoint now = start;
    unsigned ordered = 0; /**< Of them, as in the following counts, those ordered in the last run(). */
    unsigned late = 0;
    Duration highest{};

    void run(Duration duration)
    {
        ordered = 0;
        late = 0;
        highest = estimate.value;
        for (const TimePoint end = now + duration; now < end; now += milliseconds(1)) {
            if (now >= m_nextOrder) {
                m_nextOrder = std::max(m_nextOrder, now - milliseconds(1)) + fromSeconds(1 / perSecond);
                const Duration lasts = loadTime + jitter * (m_drawn++ * 37 % 100) / 100;
                const bool isLate = lasts > estimate.value + milliseconds(8); // PlacementOptions::loadMargin
                m_results.push_back({now + estimate.value, isLate});
                ++ordered;
                late += isLate ? 1 : 0;
            }
            if (now >= m_nextReport) {
                m_nextReport = now + milliseconds(150);
                LoadResults results;
                std::erase_if(m_results, [this, &results](const Result &result) {
                    const bool isKnown = result.at <= now;
                    results.late += isKnown && result.isLate ? 1 : 0;
                    results.prompt += isKnown && !result.isLate ? 1 : 0;
                    return isKnown;
                });
                recordLoadResults(estimate, results, now);
                highest = std::max(highest, estimate.value);
            }
        }
    }

private:
    struct Result
    {
        TimePoint at{};
        bool isLate = false;
    };
    std::deque<Result> m_results;
    unsigned m_drawn = 0;
    TimePoint m_nextOrder = start;
    TimePoint m_nextReport = start;
};

} // namespace

// Load pattern: loads take longer than specified. Guards against calls that come too early for the whole life of a leader: a fifth of the arrivals at
// engines were rejected so, and used up the retry budget.
TEST_CASE("The assumed load time follows loads that take longer")
{
    Loads loads;
    SECTION("within a second at a hundred loads a second")
    {
        loads.loadTime = milliseconds(288);
        loads.run(seconds(1));
        CHECK(loads.estimate.value >= milliseconds(280));
        loads.run(seconds(20));
        CHECK(loads.late <= loads.ordered / 10);
        CHECK(loads.highest < milliseconds(288) * 12 / 10);
        SECTION("and returns to the specified time with them")
        {
            loads.loadTime = milliseconds(240);
            loads.run(seconds(30));
            CHECK(loads.estimate.value <= loads.estimate.specified);
            CHECK(loads.late <= loads.ordered / 20);
        }
    }
    SECTION("if they vary, about one in twenty is late")
    {
        loads.loadTime = milliseconds(270);
        loads.jitter = milliseconds(40);
        loads.run(seconds(20));
        loads.run(seconds(60));
        CHECK(loads.late <= loads.ordered / 10);
        CHECK(loads.estimate.value < milliseconds(330));
    }
    SECTION("at few loads a second, slowly")
    {
        loads.perSecond = 3;
        loads.loadTime = milliseconds(288);
        loads.run(seconds(30));
        CHECK(loads.estimate.value >= milliseconds(280));
        CHECK(loads.highest < milliseconds(288) * 12 / 10);
    }
}

// Guards against a change for deployments whose loads take as long as specified.
TEST_CASE("The assumed load time stays near the specified one while loads end on time")
{
    Loads loads;
    loads.loadTime = milliseconds(250);
    loads.run(seconds(120));
    CHECK(loads.late <= loads.ordered / 100);
    CHECK(loads.highest <= milliseconds(262)); // 5%
    CHECK(loads.estimate.value >= milliseconds(237));
}

// Guards against an estimate without bounds when calls do not find their adapters for a reason other than slow loads.
TEST_CASE("The assumed load time stays within its bounds and outlives single late loads")
{
    LoadTimeEstimate estimate;
    TimePoint now = start;
    SECTION("all late")
    {
        for (int i = 0; i < 10'000; ++i, now += milliseconds(50)) {
            recordLoadResults(estimate, {100, 0}, now);
        }
        CHECK(estimate.value == seconds(2));
    }
    SECTION("all prompt")
    {
        for (int i = 0; i < 1'000'000; ++i, now += milliseconds(50)) {
            recordLoadResults(estimate, {0, 100}, now);
        }
        CHECK(estimate.value == milliseconds(100));
    }
    SECTION("a late load among prompt ones")
    {
        recordLoadResults(estimate, {1, 0}, now);
        recordLoadResults(estimate, {0, 1}, now + milliseconds(150));
        CHECK(estimate.value < milliseconds(255));
    }
}
