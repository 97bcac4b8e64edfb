#include "fleet.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serving;
using Outcome = gateway::AttemptOutcome;

namespace {

constexpr std::uint64_t seed = 20'240'611;
constexpr int events = 6000;
// The deadline of a call (20 s), the grace period for a missing result (5 s), and 2 s for the last messages.
constexpr Duration settleTime = seconds(27);

struct Random
{
    std::mt19937_64 engine;

    std::size_t below(std::size_t bound)
    {
        return engine() % bound;
    }
};

void startCall(Fleet &fleet, Random &random)
{
    const std::size_t entry = random.below(4);
    switch (random.below(6)) {
    case 0:
        fleet.callModel(entry, "base:greeting@2", 1, "greeting@2");
        break;
    case 1:
        fleet.callModel(entry, "base:other", 2, "other@1", milliseconds(200 + random.below(5000)));
        break;
    case 2:
        fleet.callModel(entry, "base:other", 1, Fleet::forbidden);
        break;
    case 3:
        fleet.callPlainService(entry, "/registry/x", 1, "key" + std::to_string(random.below(400)));
        break;
    case 4:
        fleet.callPlainService(entry, "/registry/x", 1);
        break;
    default:
        fleet.callPlainService(entry, "/open/x", std::nullopt);
        break;
    }
}

void endRandomCall(Fleet &fleet, Random &random)
{
    const bool includeWaiting = random.below(4) == 0;
    std::vector<RequestId> open;
    for (const auto &[id, call] : fleet.calls) {
        if (call.grant || (includeWaiting && call.finalReplies == 0)) {
            open.push_back(id);
        }
    }
    if (open.empty()) {
        return;
    }
    const RequestId id = open[random.below(open.size())];
    if (random.below(12) == 0) {
        fleet.disconnectCaller(id);
    } else {
        constexpr std::array outcomes{
            Outcome::Completed, Outcome::Completed, Outcome::Completed, Outcome::FailedBeforeAnswer, Outcome::ConnectionRefused, Outcome::FailedDuringAnswer};
        fleet.finish(id, outcomes.at(random.below(outcomes.size())));
    }
}

void injectFault(Fleet &fleet, Random &random)
{
    switch (random.below(6)) {
    case 0:
        fleet.configuration.domains[random.below(2)].outOfService = random.below(4) == 0;
        fleet.configure();
        break;
    case 1:
        fleet.configuration.servers[random.below(4)].outOfService = random.below(4) == 0;
        fleet.configure();
        break;
    case 2: {
        const auto pool = static_cast<std::uint32_t>(random.below(4) + 1);
        const auto owner = static_cast<std::uint32_t>(random.below(2) + 1);
        fleet.assign(pool, pool <= 2 ? owner : owner + 2);
        break;
    }
    case 3: {
        const std::size_t first = random.below(4);
        fleet.breakLink(first, (first + 1 + random.below(3)) % 4);
        break;
    }
    case 4:
        fleet.loseCommitAnswers = !fleet.loseCommitAnswers;
        break;
    default:
        fleet.unleased.clear();
        if (random.below(2) == 0) {
            fleet.unleased.insert(random.below(4));
        }
        break;
    }
}

void run(Fleet &fleet)
{
    Random random{std::mt19937_64(seed)};
    fleet.start();
    for (int i = 0; i < events; ++i) {
        const std::size_t kind = random.below(100);
        if (kind < 30) {
            startCall(fleet, random);
        } else if (kind < 65) {
            endRandomCall(fleet, random);
        } else if (kind < 80) {
            fleet.step();
        } else if (kind < 98) {
            fleet.deliver(random.below(40));
        } else {
            injectFault(fleet, random);
        }
    }
    for (control::FailureDomain &domain : fleet.configuration.domains) {
        domain.outOfService = false;
    }
    for (control::BackendServer &server : fleet.configuration.servers) {
        server.outOfService = false;
    }
    fleet.unleased.clear();
    fleet.loseCommitAnswers = false;
    fleet.configure();
    fleet.advance(settleTime);
    // Further calls must run on each instance. They could not if a slot, a token or a pool had been lost.
    for (std::size_t entry = 0; entry < 4; ++entry) {
        const std::array ids{fleet.callModel(entry, "base:greeting", 1, "greeting@1"), fleet.callPlainService(entry, "/registry/x", 1)};
        fleet.advance(seconds(3));
        for (const RequestId &id : ids) {
            CHECK(fleet.running(id));
            fleet.finish(id, Outcome::Completed);
        }
    }
    fleet.advance(seconds(1));
    fleet.checkEnd();
}

bool reports(const std::vector<std::string> &violations, const std::string &text)
{
    return std::any_of(violations.begin(), violations.end(), [&](const std::string &violation) {
        return violation.starts_with(text);
    });
}

} // namespace

// Guards against violations that only arise from sequences of events: calls, failures, and changes of owners and configuration.
TEST_CASE("a random sequence of events violates no property")
{
    WARN("seed " << seed);
    Fleet fleet;
    run(fleet);
    for (const std::string &violation : std::set<std::string>(fleet.violations.begin(), fleet.violations.end())) {
        UNSCOPED_INFO(violation);
    }
    REQUIRE(fleet.violations.empty());
    unsigned executed = 0;
    for (const auto &[id, call] : fleet.calls) {
        executed += call.runs > 0 ? 1 : 0;
    }
    REQUIRE(executed > 200); // a run in which most calls are refused would not exercise the properties
}

// Guards against checks in the simulation that detect nothing: injected faults must be reported.
TEST_CASE("the checks detect injected faults")
{
    Fleet fleet;
    SECTION("a call that runs twice under one grant")
    {
        fleet.runsGrantsTwice = true;
    }
    SECTION("a retry of a call that is not repeatable")
    {
        fleet.repeatsEverything = true;
    }
    run(fleet);
    REQUIRE(reports(fleet.violations, "P11"));
}
