#include "mimosahollow/control/configuration.h"
#include "mimosahollow/serving/serving.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::serving;

namespace {

constexpr std::uint32_t localInstances = 16;

std::shared_ptr<const control::Configuration> makeConfiguration(std::uint32_t instances)
{
    control::Configuration configuration;
    configuration.version = 1;
    configuration.baseModels = {"base"};
    for (std::uint32_t i = 1; i <= 2; ++i) {
        configuration.domains.push_back({DomainId{i}, "domain-" + std::to_string(i), 0.5, false});
    }
    for (std::uint32_t i = 1; i <= instances; ++i) {
        control::Instance instance;
        instance.id = InstanceId{i};
        instance.name = "instance-" + std::to_string(i);
        instance.domain = DomainId{i <= localInstances ? 1U : 2U};
        configuration.instances.push_back(instance);
    }
    configuration.servers.push_back({ServerId{1}, "server", DomainId{1}, "base", "127.0.0.1:1", false});
    configuration.pools.push_back({PoolId{1}, DomainId{1}, "base", InstanceId{1}, 1});
    return std::make_shared<control::Configuration>(std::move(configuration));
}

/** Counts the summaries that an instance of the same and one of the other failure domain receive within @p duration. */
std::pair<int, int> countSummaries(std::uint32_t instances, Duration duration)
{
    ServingState state = makeServingState(1, 1);
    TimePoint now = TimePoint{} + seconds(1000);
    Actions actions;
    setConfiguration(state, makeConfiguration(instances), InstanceId{1}, DomainId{1}, now, actions);
    setPoolLease(state, {PoolId{1}, 1, now + seconds(3600), now}, now, actions);
    actions.clear();
    for (const TimePoint end = now + duration; now < end; now += milliseconds(10)) {
        tick(state, now, actions);
    }
    int local = 0;
    int remote = 0;
    for (const Action &action : actions) {
        const auto *send = std::get_if<SendToPeer>(&action);
        const auto *message = send != nullptr ? std::get_if<PoolMessage>(&send->message) : nullptr;
        if (message != nullptr && std::holds_alternative<scheduling::PoolSummary>(message->body)) {
            local += send->to == InstanceId{2} ? 1 : 0;
            remote += send->to == InstanceId{instances} ? 1 : 0;
        }
    }
    return {local, remote};
}

} // namespace

// Guards against summary traffic that grows with the square of the fleet: 132 pools x 4 summaries a second would be 53 KB/s.
TEST_CASE("the interval of summaries to other failure domains grows with the fleet")
{
    SECTION("in a small fleet every instance receives four summaries of each pool a second")
    {
        const auto [local, remote] = countSummaries(17, seconds(10));
        REQUIRE(local == 40);
        REQUIRE(remote >= 39);
    }
    SECTION("in a fleet of 340 instances other failure domains receive a summary every 3.5 s, and the same one four a second")
    {
        const auto [local, remote] = countSummaries(340, seconds(20));
        REQUIRE(local == 80);
        REQUIRE(remote == 6);
    }
}
