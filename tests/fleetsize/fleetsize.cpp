#include "mimosahollow/fleetsize/fleetsize.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::fleetsize;

namespace {

const TimePoint start{seconds(100)};
constexpr Duration interval = milliseconds(100);
constexpr unsigned slots = 12;
constexpr Duration bootTime = seconds(8);

/** Servers of one service in three failure domains, as the platform starts and ends them. Calls run in the failure domain that they come from. */
struct Platform
{
    explicit Platform(unsigned servers, double callsEach)
    {
        for (const char *name : {"a", "b", "c"}) {
            calls[name] = callsEach;
            desired[name] = servers;
            ready[name] = servers;
        }
    }

    ServiceLoad load() const
    {
        ServiceLoad load{scaling, slots, {}, isComplete};
        for (const auto &[name, servers] : ready) {
            load.domains.push_back({name, calls.at(name), isCutOff.contains(name) ? 0 : servers, draining, true});
        }
        return load;
    }

    void advance()
    {
        now += interval;
        for (const DomainTarget &target : update(size, load(), now)) {
            unsigned &number = desired.at(target.domain);
            if (target.wanted > number) {
                boots.push_back({target.domain, target.wanted, now + bootTime});
            }
            orders += target.wanted != number ? 1 : 0;
            lowest = std::min(lowest, target.wanted);
            number = target.wanted;
            ready.at(target.domain) = std::min(ready.at(target.domain), number);
        }
        std::erase_if(boots, [this](const Boot &boot) {
            const bool isOver = now >= boot.end;
            if (isOver) {
                unsigned &servers = ready.at(boot.domain);
                servers = std::max(servers, std::min(boot.servers, desired.at(boot.domain)));
            }
            return isOver;
        });
    }

    /** @p demand gets the time since the beginning in seconds; @p check is called after each step. */
    void run(
        Duration time, const std::function<void(double)> &demand = [](double) {}, const std::function<void()> &check = [] {})
    {
        const TimePoint begin = now;
        while (now < begin + time) {
            demand(toSeconds(now - begin));
            advance();
            check();
        }
    }

    /** Part of the slots in use, over all failure domains that are not cut off. */
    double use() const
    {
        double running = 0;
        double capacity = 0;
        for (const auto &[name, servers] : ready) {
            running += calls.at(name);
            capacity += isCutOff.contains(name) ? 0 : servers * slots;
        }
        return running / capacity;
    }

    void setCalls(double each)
    {
        for (auto &[name, number] : calls) {
            number = each;
        }
    }

    struct Boot
    {
        std::string domain;
        unsigned servers = 0;
        TimePoint end{};
    };
    TimePoint now = start;
    FleetSize size;
    catalog::ScalingSpec scaling{4, 94, bootTime};
    std::map<std::string, double> calls;
    std::map<std::string, unsigned> desired;
    std::map<std::string, unsigned> ready;
    std::set<std::string> isCutOff;
    std::vector<Boot> boots;
    unsigned draining = 0;
    unsigned orders = 0;
    unsigned lowest = 1'000;
    bool isComplete = true;
};

/** A steady state: 100 calls in each failure domain. */
Platform steadyPlatform()
{
    Platform platform(15, 100);
    platform.run(seconds(60));
    platform.orders = 0;
    platform.lowest = 1'000;
    return platform;
}

} // namespace

// Guards against servers that are ordered when the demand is there, and arrive a boot time later.
TEST_CASE("Servers are ready for a demand that rises over a boot time")
{
    Platform platform = steadyPlatform();
    REQUIRE(platform.use() < 0.6);
    double highestUse = 0;
    const auto doubleWithin = [&](double rise, double observedFrom) {
        double now = 0;
        platform.run(
            seconds(40),
            [&](double second) {
                now = second;
                platform.setCalls(100 + 100 * std::min(1.0, second / rise));
            },
            [&] {
                highestUse = now >= observedFrom ? std::max(highestUse, platform.use()) : highestUse;
            });
    };

    SECTION("and goes on to rise")
    {
        doubleWithin(2 * toSeconds(bootTime), 0);
        CHECK(highestUse < 1);
    }
    SECTION("and doubles in that time, which no order comes early enough for")
    {
        // The first order is due within the lead, and the servers take calls a boot time later.
        doubleWithin(toSeconds(bootTime), toSeconds(bootTime + platform.size.options.lead + seconds(1)));
        CHECK(highestUse <= platform.size.options.highestUse);
    }
    CHECK(platform.use() < 0.6);
    CHECK(platform.desired.at("a") <= 45); // 30 for the demand; half of that more while it was rising
}

// Guards against the refusals of a fleet that is sized for all of its failure domains.
TEST_CASE("The other failure domains carry the load of a lost one")
{
    Platform platform = steadyPlatform();
    const auto before = platform.desired;
    const auto lose = [&](const char *lost, double each) {
        platform.isCutOff = {lost};
        platform.setCalls(each);
        platform.calls.at(lost) = 0;
    };

    SECTION("with the servers that are there at that moment")
    {
        lose("b", 150);
        CHECK(platform.use() <= 0.85);
        platform.run(
            seconds(30),
            [](double) {},
            [&] {
                CHECK(platform.use() <= 0.85);
            });
        CHECK(platform.desired.at("a") <= before.at("a") * 1.1); // the reserve is there to be used
    }
    SECTION("and its own servers are kept for its return")
    {
        lose("b", 150);
        platform.run(seconds(120));
        CHECK(platform.desired.at("b") == before.at("b"));
    }
    SECTION("also if it had most of the load")
    {
        platform.run(seconds(60), [&](double) {
            platform.calls = {{"a", 50}, {"b", 400}, {"c", 50}};
        });
        lose("b", 250);
        CHECK(platform.use() <= 0.85);
    }
}

// Guards against servers taken away in a short lull, or all at once.
TEST_CASE("The number of servers falls late and slowly")
{
    Platform platform = steadyPlatform();
    const unsigned before = platform.desired.at("a");

    SECTION("after ten seconds of lower need")
    {
        platform.setCalls(20);
        platform.run(seconds(10));
        CHECK(platform.desired.at("a") == before);
        platform.run(seconds(3));
        CHECK(platform.desired.at("a") < before);
    }
    SECTION("not at all when the demand returns within them")
    {
        platform.run(seconds(60), [&](double second) {
            platform.setCalls(std::fmod(second, 9) < 6 ? 20 : 100);
        });
        CHECK(platform.lowest == before);
    }
    SECTION("by a tenth each time")
    {
        platform.setCalls(20);
        unsigned last = before;
        platform.run(
            seconds(120),
            [](double) {},
            [&] {
                const unsigned number = platform.desired.at("a");
                CHECK(number + std::max(1U, last / 10) >= last);
                last = number;
            });
        CHECK(last < before / 2);
        CHECK(platform.use() < 0.6);
    }
    SECTION("never below the minimum")
    {
        platform.setCalls(0);
        platform.run(seconds(300));
        CHECK(platform.desired.at("a") == 4);
    }
    SECTION("to none where the minimum is none, and from there at once")
    {
        platform.scaling.minimum = 0;
        platform.setCalls(0);
        platform.run(seconds(300));
        CHECK(platform.desired == std::map<std::string, unsigned>{{"a", 0}, {"b", 0}, {"c", 0}});
        platform.calls.at("a") = 1;
        platform.run(seconds(2));
        CHECK(platform.desired.at("a") > 0);
    }
}

// Guards against calls to the platform for every change of the number of calls, and servers that come and go.
TEST_CASE("Random changes of a steady demand don't move the number of servers")
{
    Platform platform = steadyPlatform();
    std::mt19937 random(GENERATE(range(1U, 21U)));
    std::normal_distribution<double> noise(0, 10); // the square root of 100 calls
    platform.run(seconds(120), [&](double) {
        for (auto &[name, number] : platform.calls) {
            number = 0.95 * (number - 100) + 100 + noise(random) * std::sqrt(1 - 0.95 * 0.95); // calls last for two seconds
        }
    });
    const auto [least, most] = std::minmax({platform.desired.at("a"), platform.desired.at("b"), platform.desired.at("c")});
    CHECK(least >= 14);
    CHECK(most <= 20);
    CHECK(platform.orders <= 36); // one for each failure domain in ten seconds
}

// Guards against servers that are ended in one failure domain before those of another one have booted.
TEST_CASE("Demand that moves between failure domains and back finds servers")
{
    Platform platform = steadyPlatform();
    double highestUse = 0;
    platform.run(
        seconds(240),
        [&](double second) {
            const double moved = 80 * std::sin(second / 40 * 2 * 3.14159);
            platform.calls = {{"a", 100 + moved}, {"b", 100 - moved}, {"c", 100}};
        },
        [&] {
            highestUse = std::max(highestUse, platform.use());
        });
    CHECK(highestUse < 0.6);
}

// Guards against an instance that knows a part of the calls and takes away servers that the others need.
TEST_CASE("An incomplete view lowers no number")
{
    Platform platform = steadyPlatform();
    const auto before = platform.desired;

    SECTION("of an instance that is cut off from some entry instances")
    {
        platform.isComplete = false;
        platform.setCalls(10);
        platform.run(seconds(60));
        CHECK(platform.desired == before);
        platform.isComplete = true;
        platform.setCalls(100);
        platform.run(seconds(30));
        CHECK(platform.desired == before); // the return of the reports is no trend
    }
    SECTION("but raises it")
    {
        platform.isComplete = false;
        platform.setCalls(300);
        platform.run(seconds(5));
        CHECK(platform.desired.at("a") > before.at("a"));
    }
    SECTION("of an instance that has just started to lead")
    {
        platform.size = {};
        platform.isComplete = false;
        platform.setCalls(0);
        platform.run(seconds(30));
        CHECK(platform.desired == before);
    }
}

// Guards against a new holder that cancels what the previous one has ordered.
TEST_CASE("A new holder takes over the numbers in force")
{
    Platform platform = steadyPlatform();

    SECTION("while servers boot")
    {
        platform.desired.at("a") = 40;
        platform.boots.push_back({"a", 40, platform.now + seconds(7)});
        platform.size = {};
        platform.run(seconds(15));
        CHECK(platform.desired.at("a") == 40);
    }
    SECTION("while a failure domain is cut off")
    {
        platform.isCutOff = {"b"};
        platform.calls.at("b") = 0;
        platform.size = {};
        platform.run(seconds(60));
        CHECK(platform.desired.at("b") == 15);
    }
    SECTION("unless the demand needs more at once")
    {
        platform.setCalls(400);
        platform.size = {};
        platform.run(seconds(1));
        CHECK(platform.desired.at("a") > 15);
    }
}

// Guards against numbers that the platform rejects, and against demand without servers at the bounds.
TEST_CASE("Numbers of servers stay within the bounds of the configuration")
{
    Platform platform = steadyPlatform();
    platform.scaling.maximum = 30;

    SECTION("what exceeds the maximum goes to the other failure domains")
    {
        platform.run(seconds(30), [&](double) {
            platform.calls = {{"a", 600}, {"b", 50}, {"c", 50}};
        });
        CHECK(platform.desired.at("a") == 30);
        CHECK(platform.desired.at("b") == 30);
    }
    SECTION("a new maximum holds at once")
    {
        platform.scaling.maximum = 10;
        platform.run(interval);
        CHECK(platform.desired.at("a") == 10);
    }
    SECTION("servers that drain are replaced at once, except those that are not needed")
    {
        platform.ready = {{"a", 15}, {"b", 12}, {"c", 15}};
        platform.draining = 3;
        platform.run(interval);
        CHECK(platform.desired == std::map<std::string, unsigned>{{"a", 15}, {"b", 18}, {"c", 15}});
    }
}
