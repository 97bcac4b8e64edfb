#include "tokenfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <iostream>

using namespace mimosahollow;
using namespace mimosahollow::tests;

namespace {

// A fixed seed makes each run check the same histories. RapidCheck reads RC_PARAMS when the first property runs.
const bool seedFixed = [] {
    const char *parameters = "seed=20261204 max_success=40 max_size=100";
    std::cout << "RapidCheck: " << parameters << '\n';
    return setenv("RC_PARAMS", parameters, 0) == 0;
}();

// Multiples of the rate: idle, below the rate, overload, and a burst that empties every bucket and lease.
constexpr std::array loadFactors{0.0, 0.6, 3.0, 30.0};

/** Random traffic of about @p load x the rate at all instances for @p steps x 10 ms. */
void traffic(TokenFleet &fleet, double load, int steps)
{
    std::uniform_real_distribution<double> unit(0, 1);
    const double mean = fleet.ledger.burst / 20;
    for (int i = 0; i < steps; ++i) {
        double budget = load * fleet.ledger.rate * 0.01;
        while (budget > 0 && unit(fleet.random) < budget / mean) {
            const double cost = 1 + std::floor(unit(fleet.random) * 2 * mean);
            budget -= mean;
            fleet.call(fleet.random() % fleet.instances.size(), cost, std::floor(cost * unit(fleet.random)), milliseconds(500));
        }
        fleet.advance(milliseconds(10));
    }
}

void randomFault(TokenFleet &fleet)
{
    const std::size_t domain = fleet.random() % fleet.owners.size();
    switch (fleet.random() % 5) {
    case 0:
        fleet.crash(fleet.random() % fleet.instances.size());
        break;
    case 1:
        fleet.changeOwner(domain, true);
        break;
    case 2:
        fleet.changeOwner(domain, false);
        break;
    case 3:
        fleet.partition(domain, true);
        break;
    default:
        fleet.partition(domain, false);
        break;
    }
}

} // namespace

// Guards against tokens created by lost, duplicated, late or reordered messages, crashes, owner changes and partitions.
TEST_CASE("Spending stays within rate and burst in every window of random histories")
{
    REQUIRE(seedFixed);
    REQUIRE(rc::check("P6 over random histories", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto domains = *rc::gen::inRange<std::size_t>(1, 5);
        const auto rate = static_cast<double>(*rc::gen::inRange(100, 10'000));
        const auto burstTenths = *rc::gen::inRange(2, 60);
        TokenFleet fleet(domains, 2, rate, std::floor(rate * burstTenths / 10.0), seed);
        fleet.faults = {*rc::gen::inRange(0, 20) / 100.0, *rc::gen::inRange(0, 20) / 100.0, *rc::gen::inRange(0, 10) / 100.0};
        fleet.advance(seconds(1));
        for (int phase = 0; phase < 12; ++phase) {
            traffic(fleet, loadFactors[fleet.random() % loadFactors.size()], 70);
            randomFault(fleet);
        }
        for (const TestInstance &instance : fleet.instances) {
            RC_ASSERT(instance.leases.waitingAccounts.size() <= 1U);
        }
        RC_LOG() << "worst window " << fleet.ledger.worst << " of burst " << fleet.ledger.burst << '\n';
        RC_ASSERT(fleet.ledger.holds());
    }));
}

// Guards against a checker that accepts everything: each injected violation of the token rules must exceed the limit.
TEST_CASE("The rate checker detects violations of the token rules")
{
    const auto run = [](Mutant mutant) {
        TokenFleet fleet(3, 2, 1000, 1000, 7);
        fleet.mutant = mutant;
        fleet.faults.loss = 0.02;
        fleet.advance(seconds(3));
        // 1.5 x the rate at one instance, so that transfers carry most of its tokens.
        for (int i = 0; i < 1000; ++i) {
            fleet.call(0, 15, 15, milliseconds(500));
            fleet.advance(milliseconds(10));
        }
        for (int phase = 0; phase < 4; ++phase) {
            fleet.advance(seconds(3));
            traffic(fleet, 0.8, 200);
            if (phase % 2 == 1) {
                for (std::size_t domain = 0; domain < fleet.owners.size(); ++domain) {
                    fleet.changeOwner(domain, false);
                }
                traffic(fleet, 0.8, mutant == Mutant::NewOwnerStartsFull ? 5 : 1000);
            }
            traffic(fleet, 30, 20);
        }
        return fleet.ledger;
    };
    REQUIRE(run(Mutant::None).holds());
    SECTION("a bucket that refills while leases are outstanding")
    {
        REQUIRE_FALSE(run(Mutant::RefillsWhileOutstanding).holds());
    }
    SECTION("a new owner that starts full before the old leases have ended")
    {
        REQUIRE_FALSE(run(Mutant::NewOwnerStartsFull).holds());
    }
    SECTION("a holder that spends after the end of its lease")
    {
        REQUIRE_FALSE(run(Mutant::HolderIgnoresExpiry).holds());
    }
    SECTION("a bucket that sends tokens without subtracting them")
    {
        REQUIRE_FALSE(run(Mutant::TransferNotSubtracted).holds());
    }
}

// Guards against wrong refusals: calls that one exact bucket would admit must run at whichever instance they arrive.
TEST_CASE("Without faults no call within the rate is refused at any instance")
{
    REQUIRE(rc::check("no wrongful refusal", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto domains = *rc::gen::element<std::size_t>(1, 2, 3, 4, 11);
        const auto rate = static_cast<double>(*rc::gen::inRange(500, 10'000));
        const auto burst = std::floor(rate * *rc::gen::inRange(10, 60) / 10.0);
        const auto largest = *rc::gen::element(0.05, 0.3, 1.0);
        TokenFleet fleet(domains, 2, rate, burst, seed);
        fleet.advance(fromSeconds(burst / rate) + seconds(1));
        double level = burst;
        std::uniform_real_distribution<double> unit(0, 1);
        for (int phase = 0; phase < 8; ++phase) {
            const std::size_t chosen = fleet.random() % fleet.instances.size();
            const bool atOneInstance = phase % 2 == 0;
            for (int i = 0; i < 100; ++i) {
                const double cost = std::max(1.0, std::floor(unit(fleet.random) * largest * burst));
                if (cost <= level && unit(fleet.random) < 0.3) {
                    level -= cost;
                    fleet.call(atOneInstance ? chosen : fleet.random() % fleet.instances.size(), cost, cost, seconds(1));
                }
                fleet.advance(milliseconds(10));
                level = std::min(burst, level + rate * 0.01);
            }
        }
        fleet.advance(seconds(2));
        RC_ASSERT(fleet.refused.empty());
        RC_ASSERT(fleet.pendingCalls.empty());
        RC_ASSERT(fleet.ledger.holds());
    }));
}
