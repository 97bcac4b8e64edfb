#include "randomrun.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>
#include <random>
#include <sstream>

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using testing::RandomEvent;
using testing::RandomRun;

namespace {

constexpr std::uint64_t seed = 20261204;

std::vector<RandomEvent> randomEvents(std::uint64_t runSeed, std::size_t count)
{
    std::mt19937_64 random(runSeed);
    std::vector<RandomEvent> events(count);
    for (RandomEvent &event : events) {
        for (std::uint8_t &operand : event) {
            operand = static_cast<std::uint8_t>(random());
        }
    }
    return events;
}

/** First violated property in 20 long runs; empty: none. */
std::string firstViolation(const std::function<void(PoolState &)> &injectFault)
{
    for (std::uint64_t run = 0; run < 20; ++run) {
        RandomRun trial(injectFault);
        trial.run(randomEvents(seed + run, 2000));
        if (!trial.checker.violation.empty()) {
            return trial.checker.violation;
        }
    }
    return {};
}

} // namespace

// Guards against sequences of events that violate P1, P2, P7, P8 or P12 (see PropertyChecker), or answer a request twice.
TEST_CASE("Random events violate no scheduling property")
{
    std::cout << "seed " << seed << '\n';
    SECTION("in short runs, which can be shrunk to a minimal sequence")
    {
        rc::detail::TestParams parameters;
        parameters.seed = seed;
        parameters.maxSuccess = 2000;
        const auto property = [] {
            const auto events =
                *rc::gen::scale(4, rc::gen::container<std::vector<RandomEvent>>(rc::gen::container<RandomEvent>(rc::gen::arbitrary<std::uint8_t>())));
            RandomRun run;
            run.run(events);
            RC_ASSERT(run.checker.violation == std::string());
        };
        const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), parameters);
        std::ostringstream message;
        rc::detail::printResultMessage(result, message);
        INFO(message.str());
        REQUIRE(result.is<rc::detail::SuccessResult>());
    }
    SECTION("in long runs, which include many grants and evictions")
    {
        std::size_t grants = 0;
        std::size_t unloads = 0;
        for (std::uint64_t i = 0; i < 30; ++i) {
            INFO("run " << i);
            RandomRun run;
            run.run(randomEvents(seed + i, 3000));
            REQUIRE(run.checker.violation == std::string());
            grants += run.grants;
            unloads += run.unloads;
        }
        REQUIRE(grants > 1000);
        REQUIRE(unloads > 100);
    }
}

// Guards against a checker that misses violations: each injected fault must be reported as the property it violates.
TEST_CASE("The property checker detects deliberately broken variants")
{
    REQUIRE(firstViolation({}).empty());
    SECTION("an owner that assumes an adapter on a server without it")
    {
        REQUIRE(firstViolation([](PoolState &state) {
                    for (AdapterState &adapter : state.adapters) {
                        if (adapter.holders.size() == 1 && state.servers.size() > 1) {
                            adapter.holders.push_back(adapter.holders[0] == 0 ? 1 : 0);
                        }
                    }
                })
                == "P1");
    }
    SECTION("an owner that loses the use counts of adapters")
    {
        REQUIRE(firstViolation([](PoolState &state) {
                    for (ServerState &server : state.servers) {
                        for (AdapterSlot &slot : server.slots) {
                            slot.users = 0;
                        }
                    }
                })
                == "P2");
    }
    SECTION("an owner without slow start")
    {
        REQUIRE(firstViolation([](PoolState &state) {
                    for (ServerState &server : state.servers) {
                        server.slowStart.limit = server.slowStart.warmLimit;
                    }
                })
                == "P7");
    }
    SECTION("a new owner that assumes that unknown slots are free")
    {
        REQUIRE(firstViolation([](PoolState &state) {
                    for (ServerState &server : state.servers) {
                        server.unknownGrants = 0;
                    }
                })
                == "P7");
    }
    SECTION("an owner that ignores servers and domains out of service")
    {
        REQUIRE(firstViolation([](PoolState &state) {
                    state.domainState = ServiceState::InService;
                    for (ServerState &server : state.servers) {
                        server.serviceState = ServiceState::InService;
                        server.leaving = false;
                    }
                })
                == "P8 or P12");
    }
}
