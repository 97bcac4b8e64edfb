#include "leasesimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace mimosahollow;
using namespace mimosahollow::membership;
using namespace mimosahollow::membership::test;

namespace {

constexpr std::uint64_t firstSeed = 20261204;
constexpr std::uint64_t seedCount = 200;

/** Injects a fault about every 1.5 s: link cuts in one or both directions, pauses, crashes, leader changes, handovers. */
void randomFault(LeaseSimulation &simulation)
{
    if (simulation.randomBelow(150) != 0) {
        return;
    }
    const std::size_t count = simulation.nodes.size();
    const std::size_t node = 1 + simulation.randomBelow(count - 1);
    const std::size_t owner = std::max<std::size_t>(1, simulation.ownerOf(1 + simulation.randomBelow(LeaseSimulation::poolCount)));
    switch (simulation.randomBelow(10)) {
    case 0:
        simulation.cuts.emplace(simulation.randomBelow(count), simulation.randomBelow(count));
        break;
    case 1:
        for (std::size_t other = 0; other < count; ++other) {
            simulation.setLinkCut(node, other, true);
        }
        break;
    case 2:
        for (std::size_t other = 1; other < count; ++other) {
            simulation.setLinkCut(0, other, true);
        }
        break;
    case 3:
    case 4:
        simulation.setLinkCut(0, owner, true);
        break;
    case 5:
        simulation.cuts.clear();
        break;
    case 6:
        simulation.nodes[node].pausedUntil = simulation.now + static_cast<std::int64_t>(simulation.randomBelow(6'000'000'000));
        break;
    case 7:
        // In half of the crashes the link to the owner is cut, so that the owner cannot request the lost promise again.
        simulation.crash(node, milliseconds(50 + simulation.randomBelow(4'000)));
        if (node != owner && simulation.randomBelow(2) == 0) {
            simulation.setLinkCut(node, owner, true);
        }
        break;
    case 8:
        simulation.release(owner);
        break;
    default:
        if (simulation.randomBelow(2) == 0) {
            simulation.changeLeader();
        }
        simulation.commitChange();
        break;
    }
}

struct Violations
{
    std::size_t doubleOwners = 0;
    std::size_t staleWithLease = 0;
    std::size_t ownedSteps = 0;
    std::size_t freshSteps = 0;
    Version acknowledged = 0;
};

Violations runSeeds(Mutation mutation)
{
    Violations violations;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seedCount; ++seed) {
        LeaseSimulation simulation(seed, 2 + seed % 3, mutation);
        simulation.throughRelay = seed % 2 == 0;
        simulation.maximumDelay = milliseconds(200);
        simulation.lossRate = 0.05;
        // The last instance joins later, so that an isolated owner may not know it as a peer.
        for (std::size_t node = 1; node + 1 < simulation.nodes.size(); ++node) {
            simulation.startNode(node);
        }
        simulation.run(seconds(10));
        simulation.startNode(simulation.nodes.size() - 1);
        simulation.run(seconds(110), [&simulation] {
            randomFault(simulation);
        });
        violations.doubleOwners += simulation.doubleOwners;
        violations.staleWithLease += simulation.staleWithLease;
        violations.ownedSteps += simulation.ownedSteps;
        violations.freshSteps += simulation.freshSteps;
        violations.acknowledged += simulation.acknowledged;
        if (mutation == Mutation::None && simulation.doubleOwners + simulation.staleWithLease > 0) {
            UNSCOPED_INFO("seed " << seed << ": " << simulation.doubleOwners << " double owners, " << simulation.staleWithLease << " stale");
        }
    }
    return violations;
}

/** The successor of an isolated owner loses its promise in a crash, and the owner cannot request it again. */
std::size_t doubleOwnersAfterForgottenPromise(Mutation mutation)
{
    LeaseSimulation simulation(firstSeed, 2, mutation);
    simulation.startAndStabilize();
    const std::size_t owner = simulation.ownerOf(1);
    const std::size_t successor = 3 - owner;
    simulation.setLinkCut(0, owner, true);
    simulation.run(milliseconds(2'500));
    simulation.crash(successor, milliseconds(100));
    simulation.setLinkCut(owner, successor, true);
    simulation.run(seconds(20));
    REQUIRE(simulation.ownerOf(1) == successor);
    return simulation.doubleOwners;
}

/** An instance joins while the only owner is isolated, so that the owner does not request promises from it. */
std::size_t doubleOwnersAfterUnknownSuccessor(Mutation mutation)
{
    LeaseSimulation simulation(firstSeed, 2, mutation);
    simulation.startNode(1);
    simulation.run(seconds(20));
    REQUIRE(simulation.ownerOf(1) == 1);
    simulation.setLinkCut(1, 0, true);
    simulation.setLinkCut(1, 2, true);
    simulation.startNode(2);
    simulation.run(seconds(60));
    REQUIRE(simulation.ownerOf(1) == 1);
    return simulation.doubleOwners;
}

} // namespace

// Guards against two instances that own the same pool at once and so both assign its servers, and against an instance that
// serves a configuration after its replacement was acknowledged. Both happen when an instance relies on a lease
// that the leader or a peer regards as expired.
TEST_CASE("Leases hold under loss, delay, cuts, pauses, crashes and leader changes")
{
    WARN("seeds " << firstSeed << " to " << firstSeed + seedCount - 1);

    SECTION("no pool has two valid owners, and no fresh instance is behind an acknowledged index")
    {
        const Violations violations = runSeeds(Mutation::None);
        REQUIRE(violations.doubleOwners == 0);
        REQUIRE(violations.staleWithLease == 0);
        SECTION("although pools are owned, instances are fresh and changes are acknowledged during the runs")
        {
            REQUIRE(violations.freshSteps > 10'000);
            REQUIRE(violations.ownedSteps > 10'000);
            REQUIRE(violations.acknowledged > 1'000);
        }
    }
}

// Guards against invariant checks that cannot fail: each mutation breaks one rule of the leases and must be detected.
TEST_CASE("The lease checks detect deliberately broken rules")
{
    SECTION("a lease measured from the receipt of the reply")
    {
        const Violations violations = runSeeds(Mutation::LeaseFromReceipt);
        REQUIRE(violations.staleWithLease > 0);
    }
    SECTION("a promise measured from its receipt")
    {
        REQUIRE(runSeeds(Mutation::PromiseFromReceipt).doubleOwners > 0);
    }
    SECTION("a process that takes over pools immediately after a restart")
    {
        REQUIRE(doubleOwnersAfterForgottenPromise(Mutation::None) == 0);
        REQUIRE(doubleOwnersAfterForgottenPromise(Mutation::NoWaitAfterRestart) > 0);
    }
    SECTION("a successor that the isolated owner does not know")
    {
        REQUIRE(doubleOwnersAfterUnknownSuccessor(Mutation::None) == 0);
        REQUIRE(doubleOwnersAfterUnknownSuccessor(Mutation::AnyInstanceSucceeds) > 0);
    }
    SECTION("a new leader that does not wait for the leases of the old one")
    {
        REQUIRE(runSeeds(Mutation::NewLeaderForgetsLeases).staleWithLease > 0);
    }
    SECTION("an instance that takes over a pool in spite of its promise")
    {
        REQUIRE(runSeeds(Mutation::PromisesIgnored).doubleOwners > 0);
    }
    SECTION("a relay that renews leases of its followers without a reply of the leader")
    {
        REQUIRE(runSeeds(Mutation::RelayRenewsAlone).staleWithLease > 0);
    }
}

// Guards against pools without an owner while a failure domain is isolated from the leader, and against pools that stay with
// a failed owner or move back and forth.
TEST_CASE("Pool ownership moves away from failed instances")
{
    LeaseSimulation simulation(firstSeed, 3);
    simulation.startAndStabilize();
    std::array<std::size_t, LeaseSimulation::poolCount + 1> owners{};
    for (std::size_t pool = 1; pool <= LeaseSimulation::poolCount; ++pool) {
        owners.at(pool) = simulation.ownerOf(pool);
        REQUIRE(owners.at(pool) != 0);
    }
    const std::size_t victim = owners[1];

    // Guards against freshness leases that are never granted, which would satisfy all other checks.
    SECTION("without faults all instances stay fresh")
    {
        simulation.run(seconds(60));
        REQUIRE(simulation.freshSteps == 6000 * (simulation.nodes.size() - 1));
    }

    SECTION("a failure domain that is isolated as a whole keeps its owners without interruption")
    {
        for (std::size_t node = 1; node <= 3; ++node) {
            simulation.setLinkCut(0, node, true);
        }
        simulation.run(seconds(60));
        REQUIRE(simulation.ownedSteps == 6000);
        for (std::size_t pool = 1; pool <= LeaseSimulation::poolCount; ++pool) {
            REQUIRE(simulation.ownerOf(pool) == owners.at(pool));
        }
        SECTION("and keeps them after it is reconnected")
        {
            simulation.cuts.clear();
            simulation.run(seconds(60));
            REQUIRE(simulation.ownedSteps == 12'000);
            REQUIRE(simulation.reassignments == 0);
        }
    }

    SECTION("a single isolated instance loses its pools within the lease time")
    {
        for (std::size_t other = 0; other <= 3; ++other) {
            simulation.setLinkCut(victim, other, true);
        }
        simulation.run(milliseconds(3'050)); // 3 s on a clock that is 1% slow
        REQUIRE(simulation.ownerOf(1) != victim);
        SECTION("another instance owns them within 2 s")
        {
            simulation.run(seconds(2));
            REQUIRE(simulation.ownerOf(1) != 0);
            REQUIRE(simulation.ownerOf(1) != victim);
        }
    }

    SECTION("an instance that can send but not receive loses its pools once")
    {
        for (std::size_t other = 0; other <= 3; ++other) {
            simulation.cuts.emplace(other, victim);
        }
        simulation.run(seconds(10));
        REQUIRE(simulation.ownerOf(1) != 0);
        REQUIRE(simulation.ownerOf(1) != victim);
        simulation.run(seconds(110));
        REQUIRE(simulation.reassignments <= LeaseSimulation::poolCount);
    }

    SECTION("a flapping instance moves each pool at most once")
    {
        for (int turn = 0; turn < 20; ++turn) {
            for (std::size_t other = 0; other <= 3; ++other) {
                simulation.setLinkCut(victim, other, turn % 2 == 0);
            }
            simulation.run(seconds(8));
        }
        const auto victimPools = std::count(owners.begin(), owners.end(), victim);
        REQUIRE(simulation.reassignments == static_cast<std::uint64_t>(victimPools));
        REQUIRE(simulation.ownerOf(1) != victim);
    }

    SECTION("an instance that shuts down hands its pools over without waiting for a lease to expire")
    {
        simulation.stopAccepting(victim);
        simulation.run(milliseconds(1'500));
        REQUIRE(simulation.ownerOf(1) != 0);
        REQUIRE(simulation.ownerOf(1) != victim);
    }
}
