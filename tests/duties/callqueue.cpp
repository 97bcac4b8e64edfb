#include "mimosahollow/duties/callqueue.h"

#include "support/windows.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::duties;
using mimosahollow::tests::mostInWindow;

namespace {

constexpr Duration step = milliseconds(25); // tick of a coordinator
constexpr unsigned rate = 50;

UsageReport report(std::uint64_t window)
{
    return {window, {{"one", window}, {"two", 2 * window}}};
}

/** Stand-in of the platform: how long a call takes, and its outcome. It notes what arrives. */
struct Platform
{
    Platform()
    {
        queue.options.callsPerSecond = rate;
    }

    void run(
        Duration time, const std::function<void()> &each = [] {})
    {
        for (const TimePoint end = now + time; now < end; now += step) {
            each();
            std::erase_if(underway, [this](const Underway &call) {
                if (now < call.end) {
                    return false;
                }
                callEnded(queue, call.number, call.outcome, now);
                return true;
            });
            while (const auto call = takeCall(queue, now)) {
                arrivals.push_back(now);
                if (outcome != DutyOutcome::Unanswered) { // down: nothing arrives
                    contents.push_back(call->content);
                }
                underway.push_back({call->number, outcome, now + latency});
                mostUnderway = std::max(mostUnderway, underway.size());
            }
        }
    }

    std::vector<unsigned> numbersOf(const std::string &domain) const
    {
        std::vector<unsigned> numbers;
        for (const DutyContent &content : contents) {
            if (const auto *order = std::get_if<ScalingOrder>(&content); order != nullptr && order->domain == domain) {
                numbers.push_back(order->desired);
            }
        }
        return numbers;
    }

    std::vector<std::uint64_t> windows() const
    {
        std::vector<std::uint64_t> windows;
        for (const DutyContent &content : contents) {
            if (const auto *usage = std::get_if<UsageReport>(&content)) {
                CHECK(*usage == report(usage->window));
                windows.push_back(usage->window);
            }
        }
        return windows;
    }

    struct Underway
    {
        std::uint64_t number = 0;
        DutyOutcome outcome{};
        TimePoint end{};
    };
    TimePoint now{seconds(100)};
    CallQueue queue;
    Duration latency = milliseconds(20);
    DutyOutcome outcome = DutyOutcome::Accepted;
    std::vector<Underway> underway;
    std::vector<TimePoint> arrivals;
    std::vector<DutyContent> contents;
    std::size_t mostUnderway = 0;
};

} // namespace

// Guards against refusals for a burst of calls, after a start or after the platform was down.
TEST_CASE("Calls are sent at less than the rate of the platform")
{
    Platform platform;
    unsigned desired = 0;
    platform.run(seconds(10), [&] {
        ++desired;
        for (unsigned i = 0; i < 100; ++i) {
            setWanted(platform.queue, {"service", std::to_string(i), desired});
        }
    });
    CHECK(mostInWindow(platform.arrivals, seconds(1)) <= rate);
    CHECK(platform.arrivals.size() > 10 * rate / 2);
}

// Guards against usage reports with two contents, without an order, or lost.
TEST_CASE("Each window is reported once, in order, with one content")
{
    Platform platform;
    const auto add = [&](std::uint64_t window) {
        return addReport(platform.queue, report(window));
    };

    SECTION("while the platform answers")
    {
        CHECK(add(7));
        platform.run(seconds(1));
        CHECK(add(8));
        CHECK(add(9));
        CHECK_FALSE(addReport(platform.queue, {9, {{"one", 1}}}));
        platform.run(seconds(1));
        CHECK_FALSE(addReport(platform.queue, {7, {{"one", 1}}}));
        platform.run(seconds(1));
        CHECK(platform.windows() == std::vector<std::uint64_t>{7, 8, 9});
    }
    SECTION("while it answers to no call, though it gets them")
    {
        platform.latency = seconds(2);
        add(7);
        const auto first = takeCall(platform.queue, platform.now);
        REQUIRE(first);
        CHECK_FALSE(addReport(platform.queue, {7, {{"one", 1}}}));
        callEnded(platform.queue, first->number, DutyOutcome::Unanswered, platform.now + seconds(2));
        platform.now += seconds(3);
        const auto second = takeCall(platform.queue, platform.now);
        REQUIRE(second);
        CHECK(second->content == first->content);
        CHECK(second->number != first->number);
    }
    SECTION("also behind one that it rejects")
    {
        platform.outcome = DutyOutcome::Rejected;
        add(7);
        platform.run(seconds(1));
        platform.outcome = DutyOutcome::Accepted;
        add(8);
        platform.run(seconds(1));
        CHECK(platform.windows() == std::vector<std::uint64_t>{7, 8});
    }
}

// Guards against a pile of old calls that arrive when the platform is back, and against calls that hold it down.
TEST_CASE("Nothing piles up while the platform fails")
{
    Platform platform;
    std::uint64_t window = 0;
    unsigned desired = 10;
    const auto demand = [&] { // a new window and new numbers every second
        if ((platform.now.time_since_epoch() % seconds(1)) == Duration::zero()) {
            addReport(platform.queue, report(++window));
            ++desired;
            for (const char *domain : {"a", "b", "c"}) {
                setWanted(platform.queue, {"service", domain, desired});
            }
        }
    };
    platform.run(milliseconds(900), demand);
    REQUIRE(platform.numbersOf("a") == std::vector<unsigned>{11});
    platform.arrivals.clear();
    const auto returns = [&] {
        platform.outcome = DutyOutcome::Accepted;
        platform.latency = milliseconds(20);
        platform.arrivals.clear();
        platform.contents.clear();
        platform.run(milliseconds(9900), demand); // the longest pause, a call on its way, and the windows missed
        REQUIRE_FALSE(platform.numbersOf("a").empty());
    };

    SECTION("by answering to no call")
    {
        platform.outcome = DutyOutcome::Unanswered;
        platform.latency = seconds(2);
        platform.run(seconds(60), demand);
        CHECK(platform.mostUnderway <= 4); // one for each subject
        CHECK(platform.arrivals.size() <= 4 + 60 / 6 + 5); // one in six seconds once the pause is four
        returns();
        const auto numbers = platform.numbersOf("b");
        CHECK(numbers.back() == desired);
        CHECK(numbers.size() <= 11); // of these seconds, and none of the sixty before but the newest
        const auto windows = platform.windows();
        CHECK(windows.size() >= 60);
        CHECK(std::is_sorted(windows.begin(), windows.end()));
        CHECK(windows.back() == window);
        CHECK(mostInWindow(platform.arrivals, seconds(1)) <= rate);
    }
    SECTION("by refusing each call at once")
    {
        platform.outcome = DutyOutcome::Throttled;
        platform.run(seconds(60), demand);
        CHECK(platform.arrivals.size() <= 4 + 60 / 4 + 5);
        returns();
        CHECK(platform.numbersOf("c").back() == desired);
        CHECK(platform.windows().back() == window);
    }
    SECTION("by taking fifty times as long")
    {
        platform.latency = seconds(1);
        platform.run(seconds(60), demand);
        CHECK(platform.mostUnderway <= 4);
        CHECK(platform.numbersOf("a").back() >= desired - 1);
        CHECK(platform.windows().back() >= window - 1);
    }
}

// Guards against pauses that end too early, or grow by many failures at the same moment.
TEST_CASE("The pause after a failure doubles up to four seconds")
{
    CallQueue queue;
    TimePoint now{seconds(100)};
    const auto fail = [&](std::uint64_t number) {
        callEnded(queue, number, DutyOutcome::Throttled, now);
    };
    const auto pause = [&] { // from now until the next call
        const TimePoint begin = now;
        std::optional<QueuedCall> call;
        while (!(call = takeCall(queue, now))) {
            now += milliseconds(10);
        }
        const Duration waited = now - begin;
        fail(call->number);
        return waited;
    };
    for (const char *domain : {"a", "b", "c"}) {
        setWanted(queue, {"service", domain, 5});
    }
    std::vector<std::uint64_t> calls;
    while (const auto call = takeCall(queue, now)) {
        calls.push_back(call->number);
    }
    REQUIRE(calls.size() == 3);
    for (const std::uint64_t number : calls) {
        fail(number);
    }
    for (const int milliseconds : {250, 500, 1000, 2000, 4000, 4000}) {
        CHECK(pause() == std::chrono::milliseconds(milliseconds));
    }

    SECTION("and starts again after an answer")
    {
        now += seconds(4);
        const auto call = takeCall(queue, now);
        REQUIRE(call);
        callEnded(queue, call->number, DutyOutcome::Accepted, now);
        (void)pause();
        CHECK(pause() == milliseconds(250));
    }
}

// Guards against servers ordered by a number that is out of date.
TEST_CASE("The newest number of servers is the last one that the platform gets")
{
    Platform platform;
    const auto want = [&](unsigned desired) {
        setWanted(platform.queue, {"service", "a", desired});
    };
    want(6);
    platform.run(seconds(1));

    SECTION("and it gets it once")
    {
        want(6);
        platform.run(seconds(1));
        want(8);
        want(6);
        platform.run(seconds(1));
        CHECK(platform.numbersOf("a") == std::vector<unsigned>{6});
    }
    SECTION("while an earlier one is on its way")
    {
        platform.latency = seconds(1);
        want(7);
        platform.run(milliseconds(200));
        want(8);
        want(9);
        platform.run(seconds(3));
        CHECK(platform.numbersOf("a") == std::vector<unsigned>{6, 7, 9});
    }
    SECTION("also when it has it unless an unanswered call has changed it")
    {
        platform.outcome = DutyOutcome::Unanswered;
        want(7);
        platform.run(milliseconds(100));
        want(6);
        platform.outcome = DutyOutcome::Accepted;
        platform.run(seconds(3));
        CHECK(platform.numbersOf("a") == std::vector<unsigned>{6, 6});
    }
    SECTION("and one that it rejects is not repeated")
    {
        platform.outcome = DutyOutcome::Rejected;
        want(7);
        platform.run(seconds(10));
        CHECK(platform.numbersOf("a") == std::vector<unsigned>{6, 7});
    }
}

// Guards against one service that fails and holds up the usage reports and the other services.
TEST_CASE("A subject whose calls fail lets others go first")
{
    CallQueue queue;
    TimePoint now{seconds(100)};
    std::map<std::string, unsigned> accepted;
    unsigned reports = 0;
    for (unsigned second = 0; second < 60; ++second, now += seconds(1)) {
        addReport(queue, report(second));
        setWanted(queue, {"faulty", "a", 5});
        setWanted(queue, {"sound", "a", second});
        while (const auto call = takeCall(queue, now)) {
            const CallSubject subject = subjectOf(call->content);
            const bool isFaulty = subject.first == "faulty";
            callEnded(queue, call->number, isFaulty ? DutyOutcome::Unanswered : DutyOutcome::Accepted, now);
            reports += subject.first.empty() ? 1 : 0;
            ++accepted[subject.first];
        }
    }
    CHECK(reports >= 50);
    CHECK(accepted["sound"] >= 25);
}

// Guards against calls of a machine that has lost the duty, and against two calls for one subject when it gets it back.
TEST_CASE("A lost duty leaves nothing to send")
{
    Platform platform;
    platform.latency = seconds(2);
    platform.outcome = DutyOutcome::Unanswered;
    addReport(platform.queue, report(7));
    addReport(platform.queue, report(8));
    setWanted(platform.queue, {"service", "a", 6});
    setWanted(platform.queue, {"service", "b", 6});
    platform.run(milliseconds(100));
    REQUIRE(platform.arrivals.size() == 3);
    setWanted(platform.queue, {"service", "a", 7});
    abandonReports(platform.queue);
    abandonOrders(platform.queue);

    SECTION("also after the outcome of earlier calls")
    {
        platform.run(seconds(10));
        CHECK(platform.arrivals.size() == 3);
    }
    SECTION("and what comes with the duty again waits for the outcome")
    {
        addReport(platform.queue, report(7));
        setWanted(platform.queue, {"service", "a", 6});
        platform.run(seconds(1));
        CHECK(platform.arrivals.size() == 3);
        platform.outcome = DutyOutcome::Accepted;
        platform.run(seconds(5));
        CHECK(platform.windows() == std::vector<std::uint64_t>{7});
        CHECK(platform.numbersOf("a") == std::vector<unsigned>{6});
    }
}
