#include "mimosahollow/control/configuration.h"
#include "mimosahollow/coordination/coordination.h"
#include "mimosahollow/link/controlcodec.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mimosahollow;
using namespace mimosahollow::coordination;

namespace {

const TimePoint now{seconds(1000)};

/** An instance without a vote that reads control state from voter a1. */
CoordinationState makeSubscriber()
{
    Options options;
    options.name = "a2";
    options.failureDomain = "a";
    options.linkAddress = "a2";
    options.voters = {"a1"};
    CoordinationState state = makeNonVoter(options, now);
    Actions actions;
    peerUp(state, {"a1", "a", "a1", 1}, now, actions);
    tick(state, now, 0, actions);
    REQUIRE(state.upstream == "a1");
    return state;
}

bool changesConfiguration(CoordinationState &state, const membership::Update &update)
{
    Actions actions;
    receive(state, "a1", update, now, actions);
    return std::any_of(actions.begin(), actions.end(), [](const Action &action) {
        return std::holds_alternative<ConfigurationChanged>(action);
    });
}

} // namespace

// Guards against an instance that never gets the configuration because it takes the repeated snapshot for one that it has applied.
TEST_CASE("A snapshot that could not be decoded is applied when it is sent again")
{
    CoordinationState state = makeSubscriber();
    control::Configuration configuration;
    configuration.version = 1;
    membership::Update whole;
    whole.snapshot = true;
    whole.firstIndex = whole.lastIndex = 9;
    whole.payload = link::encode(configuration);
    membership::Update damaged = whole;
    damaged.payload.resize(damaged.payload.size() / 2);
    CHECK_FALSE(changesConfiguration(state, damaged));
    CHECK(changesConfiguration(state, whole));
}
