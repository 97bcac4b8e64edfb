#include "fakefleet.h"

#include "mimosahollow/control/configuration.h"

using namespace mimosahollow;
using namespace mimosahollow::coordination;

namespace {

std::shared_ptr<const control::Configuration> smallBundle()
{
    control::Configuration configuration;
    configuration.version = 1;
    configuration.baseModels = {"base"};
    std::uint32_t id = 0;
    for (const char *domain : {"a", "b", "c"}) {
        ++id;
        configuration.domains.push_back({static_cast<DomainId>(id), domain, 0.3, false});
        configuration.servers.push_back({static_cast<ServerId>(id), std::string("server-") + domain, static_cast<DomainId>(id), "base", "127.0.0.1:1", false});
    }
    configuration.organisations.push_back({OrganisationId{1}, "north", 100, 100, 1});
    configuration.keys.push_back({"north-key", KeyHash{1}, OrganisationId{1}});
    return std::make_shared<control::Configuration>(std::move(configuration));
}

control::Command makeCommand(std::uint64_t id, control::CommandBody body)
{
    control::Command command;
    command.id = {77, id};
    command.sender = "test";
    command.body = std::move(body);
    return command;
}

std::size_t freshInstances(FakeFleet &fleet)
{
    std::size_t count = 0;
    for (const auto &[name, node] : fleet.nodes()) {
        count += fleet.isFresh(name) ? 1 : 0;
    }
    return count;
}

std::size_t ownedPools(FakeFleet &fleet)
{
    std::size_t count = 0;
    for (const auto &[name, node] : fleet.nodes()) {
        for (const auto &[pool, lease] : node.leases) {
            count += node.state && lease.ownedUntil > fleet.now() ? 1 : 0;
        }
    }
    return count;
}

constexpr std::size_t instanceCount = 7;
constexpr std::size_t poolCount = 6; // one pool and one set of token buckets in each of three failure domains
// An election takes up to 0.6 s, a lease renewal up to 1 s, and the loss of a relay is detected after 2 s.
constexpr Duration recoveryTime = seconds(8);

} // namespace

// Guards against a control plane that does not recover after crashes and partitions, lets two instances own a pool at once, or
// acknowledges a change while an instance with a valid freshness lease has not applied it.
TEST_CASE("A fleet of seven instances in three failure domains")
{
    FakeFleet fleet(smallBundle());
    fleet.run(seconds(12));
    REQUIRE_FALSE(fleet.leader().empty());
    REQUIRE(freshInstances(fleet) == instanceCount);
    REQUIRE(ownedPools(fleet) == poolCount);

    SECTION("acknowledges the withdrawal of a key only after every instance has removed it")
    {
        fleet.submitAt("c2", 1, makeCommand(1, control::WithdrawKey{"north-key"}));
        fleet.run(seconds(2));
        REQUIRE(fleet.node("c2").done.size() == 1);
        REQUIRE(fleet.node("c2").done[0].inForceEverywhere);
        for (const auto &[name, node] : fleet.nodes()) {
            REQUIRE(node.configuration->keys.empty());
        }
    }

    SECTION("recovers from the loss of its leader, also in the failure domain where the leader was the relay")
    {
        const std::string leader = fleet.leader();
        fleet.crash(leader);
        fleet.run(recoveryTime);
        REQUIRE_FALSE(fleet.leader().empty());
        REQUIRE(freshInstances(fleet) == instanceCount - 1);
        REQUIRE(ownedPools(fleet) == poolCount);

        SECTION("and lets the former leader rejoin")
        {
            fleet.node(leader).restarted = true;
            fleet.start(leader);
            fleet.run(recoveryTime);
            REQUIRE(freshInstances(fleet) == instanceCount);
            REQUIRE(ownedPools(fleet) == poolCount);
        }
    }

    SECTION("takes changes although the disks of its voters are full one after the other, and each of them counts again")
    {
        std::uint64_t number = 0;
        const auto isInForce = [&](Duration limit) {
            ++number;
            fleet.submitAt(
                "c2", number, makeCommand(number, control::GrantKey{"key" + std::to_string(number), "north", KeyHash{2, static_cast<std::uint8_t>(number)}}));
            fleet.run(limit);
            const auto &done = fleet.node("c2").done;
            return done.size() == number && done.back().inForceEverywhere;
        };
        for (const char *full : {"a1", "b1", "c1"}) {
            fleet.fillDisk(full);
            REQUIRE(isInForce(recoveryTime));
            REQUIRE(isInForce(recoveryTime));
            REQUIRE_FALSE(fleet.leader().empty());
            REQUIRE(fleet.leader() != full);
            fleet.makeRoom(full);
            fleet.run(seconds(1));
        }
        fleet.crash(fleet.leader() == "a1" ? "b1" : "a1"); // the other two are needed
        REQUIRE(isInForce(seconds(20)));
    }

    SECTION("acknowledges a change only after the freshness leases of a partitioned failure domain have expired")
    {
        fleet.isolate({"b1", "b2"});
        fleet.run(seconds(1));
        const std::string outside = "a2";
        fleet.submitAt(outside, 2, makeCommand(2, control::WithdrawKey{"north-key"}));
        bool acknowledgedWhileFresh = false;
        for (int i = 0; i < 150; ++i) {
            fleet.run(milliseconds(100));
            acknowledgedWhileFresh = acknowledgedWhileFresh || (!fleet.node(outside).done.empty() && (fleet.isFresh("b1") || fleet.isFresh("b2")));
        }
        REQUIRE(fleet.node(outside).done.size() == 1);
        REQUIRE(fleet.node(outside).done[0].state == CommandState::Done);
        REQUIRE_FALSE(acknowledgedWhileFresh);
        REQUIRE(fleet.node("b2").configuration->keys.size() == 1);

        SECTION("and the failure domain applies the change before its leases are renewed after the partition")
        {
            fleet.heal();
            for (int i = 0; i < 100; ++i) {
                fleet.run(milliseconds(100));
                for (const char *name : {"b1", "b2"}) {
                    REQUIRE((!fleet.isFresh(name) || fleet.node(name).configuration->keys.empty()));
                }
            }
            REQUIRE(freshInstances(fleet) == instanceCount);
        }
    }

    SECTION("keeps the pools of a failure domain that is partitioned as a whole")
    {
        fleet.isolate({"b1", "b2"});
        fleet.run(seconds(30));
        REQUIRE(ownedPools(fleet) == poolCount);
    }

    SECTION("keeps an accepted change across a restart of all voters")
    {
        fleet.submitAt("a1", 3, makeCommand(3, control::SetDomainOut{"b", true}));
        fleet.run(seconds(2));
        REQUIRE(fleet.node("a1").done.size() == 1);
        for (const char *name : {"a1", "b1", "c1"}) {
            fleet.crash(name);
        }
        fleet.run(seconds(1));
        for (const char *name : {"a1", "b1", "c1"}) {
            fleet.node(name).restarted = true;
            fleet.start(name);
        }
        fleet.run(recoveryTime);
        REQUIRE(freshInstances(fleet) == instanceCount);
        for (const auto &[name, node] : fleet.nodes()) {
            REQUIRE(node.configuration->domains[1].outOfService);
        }

        SECTION("and replies to a repeated command with the same result")
        {
            fleet.submitAt("c3", 4, makeCommand(3, control::SetDomainOut{"b", true}));
            // The new leader waits for the freshness leases that its predecessor granted, at most one freshness period.
            fleet.run(seconds(12));
            REQUIRE(fleet.node("c3").done.size() == 1);
            REQUIRE(fleet.node("c3").done[0].result.outcome == control::CommandOutcome::Accepted);
        }
    }

    SECTION("loses no acknowledged change when a voter returns with an empty disk and another voter crashes")
    {
        fleet.submitAt("a1", 5, makeCommand(5, control::WithdrawKey{"north-key"}));
        fleet.run(seconds(2));
        REQUIRE(fleet.node("a1").done.size() == 1);
        const std::string leader = fleet.leader();
        const std::string other = leader == "b1" ? "c1" : "b1";
        fleet.crash(other);
        fleet.node(other).disk = {};
        fleet.node(other).configuration = nullptr;
        fleet.start(other);
        fleet.run(recoveryTime);
        // If the voter with the empty disk could vote, the third voter could become leader without the newest entries.
        fleet.crash(leader);
        fleet.run(seconds(20));
        REQUIRE(fleet.leader().empty());
        REQUIRE(freshInstances(fleet) == 0);
        fleet.node(leader).restarted = true;
        fleet.start(leader);
        fleet.run(recoveryTime);
        REQUIRE(freshInstances(fleet) == instanceCount);
        for (const auto &[name, node] : fleet.nodes()) {
            REQUIRE(node.configuration->keys.empty());
        }
    }

    SECTION("hands over the pools of a leaving instance without waiting for its leases")
    {
        fleet.leaveAt("c2");
        fleet.run(seconds(1));
        fleet.crash("c2");
        fleet.run(recoveryTime);
        REQUIRE(ownedPools(fleet) == poolCount);
    }
}
