#include "tokenfleet.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::tests;

// Guards against refusing calls whose cost the refill reaches in time, and against queueing calls whose cost it cannot reach.
TEST_CASE("A call waits for the refill or is refused at once")
{
    TokenFleet fleet(2, 1, 1000, 2000, 1);
    fleet.advance(seconds(3));

    SECTION("a call that costs more than the burst is refused at any bucket level")
    {
        fleet.call(0, 2001, 0, seconds(60));
        REQUIRE(fleet.refused.size() == 1);
        REQUIRE(fleet.refused[0].reason == RefusalReason::CostAboveBurst);
    }

    SECTION("one instance can spend the whole burst")
    {
        fleet.call(0, 2000, 2000, milliseconds(500));
        fleet.advance(milliseconds(500));
        REQUIRE(fleet.ran == 1);

        SECTION("then a call whose cost the refill reaches before the deadline waits and runs")
        {
            fleet.call(0, 800, 800, milliseconds(1500));
            REQUIRE(fleet.refused.empty());
            fleet.advance(milliseconds(1500));
            REQUIRE(fleet.ran == 2);
        }

        SECTION("and a call that the refill cannot reach is refused at once with the time to wait")
        {
            fleet.call(0, 1900, 1900, milliseconds(200));
            REQUIRE(fleet.refused.size() == 1);
            REQUIRE(fleet.refused[0].reason == RefusalReason::RateLimited);
            REQUIRE(fleet.refused[0].retryAfter > milliseconds(500));
            REQUIRE(fleet.refused[0].retryAfter < milliseconds(2000));
        }
    }

    SECTION("an isolated failure domain spends its own share of the burst")
    {
        fleet.partition(1, true);
        fleet.call(0, 900, 900, seconds(1));
        fleet.advance(milliseconds(100));
        REQUIRE(fleet.ran == 1);

        SECTION("and refills at its own share of the rate")
        {
            fleet.call(0, 400, 400, seconds(1));
            fleet.advance(seconds(1));
            REQUIRE(fleet.ran == 2);
        }
    }
}

// Guards against refunds that create tokens or exceed the reservation.
TEST_CASE("Unused tokens are refunded up to the reservation")
{
    TokenFleet fleet(1, 1, 0, 1000, 1);
    fleet.instances[0].owner.buckets[account].level = 1000;
    fleet.call(0, 600, 100, milliseconds(100));
    fleet.advance(milliseconds(100));
    REQUIRE(fleet.ran == 1);
    fleet.advance(seconds(1));
    fleet.call(0, 900, 900, milliseconds(100));
    fleet.advance(milliseconds(100));
    REQUIRE(fleet.ran == 2);
    QuotaLeases &leases = fleet.instances[0].leases;

    SECTION("a call that used more than it reserved refunds nothing")
    {
        REQUIRE(refund(leases, account, 10, 20) == 0);
        REQUIRE(leases.accounts[account].pendingRefund == 0);
    }
    SECTION("a negative use refunds the reservation at most")
    {
        fleet.advance(seconds(1));
        const Tokens credited = refund(leases, account, 10, -20);
        REQUIRE(credited + leases.accounts[account].pendingRefund == 10);
    }
}

// Guards against a configuration change that creates tokens or takes effect late.
TEST_CASE("A lowered rate and burst take effect at once")
{
    TokenFleet fleet(3, 2, 1000, 3000, 5);
    fleet.advance(seconds(5));
    for (int i = 0; i < 100; ++i) {
        fleet.call(fleet.random() % 6, 10, 10, milliseconds(500));
        fleet.advance(milliseconds(10));
    }
    fleet.configure(500, 900);
    fleet.ledger = {500, 900, 0, 0, fleet.now};

    SECTION("calls after the change stay within the new limit while grants of the old configuration are in transit")
    {
        for (int i = 0; i < 1000; ++i) {
            fleet.call(fleet.random() % 6, 10, 10, milliseconds(500));
            fleet.advance(milliseconds(1));
        }
        REQUIRE(fleet.ran > 100);
        REQUIRE(fleet.ledger.holds());
    }
    SECTION("a burst that is raised again starts with the tokens of the lowered burst")
    {
        // Leases are reduced at once; the buckets learn of it within a report interval and a tick.
        fleet.advance(milliseconds(200));
        fleet.configure(500, 3000);
        fleet.ledger = {500, 900, 0, 0, fleet.now};
        for (int i = 0; i < 500; ++i) {
            fleet.call(fleet.random() % 6, 10, 10, milliseconds(500));
            fleet.advance(milliseconds(1));
        }
        REQUIRE(fleet.ledger.holds());
    }
}

// Guards against two failure domains that use the same share of a rate while a configuration propagates.
TEST_CASE("A raised share takes effect only after the other domains have lowered theirs")
{
    BucketOwner owner;
    owner.domain = DomainId{1};
    control::Configuration configuration;
    configuration.version = 1;
    configuration.domains = {{DomainId{1}, "a", 0.5, false}, {DomainId{2}, "b", 0.5, false}};
    configuration.organisations = {{organisation, "o", 100, 1000, 1}};
    const TimePoint start = TimePoint{} + seconds(100);
    applyConfiguration(owner, configuration, start);
    configuration.version = 2;
    configuration.domains[0].share = 0.8;
    applyConfiguration(owner, configuration, start);
    BucketActions out;
    REQUIRE(owner.share == 0.5);
    tick(owner, start + shareRaiseDelay - milliseconds(1), out);
    REQUIRE(owner.share == 0.5);
    tick(owner, start + shareRaiseDelay, out);
    REQUIRE(owner.share == 0.8);

    SECTION("a lowered share takes effect at once")
    {
        configuration.version = 3;
        configuration.domains[0].share = 0.3;
        applyConfiguration(owner, configuration, start + shareRaiseDelay);
        REQUIRE(owner.share == 0.3);
    }
}

// Guards against a new owner that grants tokens while leases of its predecessor may still be spent.
TEST_CASE("A new owner grants nothing until the leases of the previous owner have expired")
{
    BucketOwner owner;
    owner.domain = DomainId{1};
    control::Configuration configuration;
    configuration.version = 1;
    configuration.domains = {{DomainId{1}, "a", 1, false}};
    configuration.organisations = {{organisation, "o", 100, 1000, 1}};
    const TimePoint start = TimePoint{} + seconds(100);
    applyConfiguration(owner, configuration, start);
    startOwnership(owner, 2, start + seconds(3), start);
    const Duration wait = seconds(3) + quotaLease + quotaLeaseMargin;
    REQUIRE(owner.grantsStartAt == start + wait);
    BucketActions out;

    SECTION("a refund before grants start is dropped")
    {
        handle(owner, TokenReport{{DomainId{1}, 2, InstanceId{1}, 7, 1, 1}, false, {{account, 0, 0, 500}}}, start + seconds(1), out);
        REQUIRE(owner.buckets[account].level == 0);
    }
    SECTION("a graceful handover before grants start does not shorten the wait")
    {
        const BucketHandover handover = stopOwnership(owner, start + seconds(1));
        startOwnership(owner, 3, handover, start + seconds(1));
        REQUIRE(owner.grantsStartAt == start + wait);
    }
    SECTION("the bucket refills from the time at which grants start")
    {
        handle(owner, TokenRequest{{DomainId{1}, 2, InstanceId{1}, 7, 1, 1}, {{{account, 0, 0, 0}, 0, 1000, 0}}}, start + wait + seconds(1), out);
        REQUIRE(out.grants.at(0).items.at(0).granted == Approx(100));
    }
}

// Guards against an estimate that omits tokens the instance has just returned, and against one request per call when calls arrive
// faster than the prefetch interval.
TEST_CASE("An instance accounts for returned tokens and prefetches")
{
    TokenFleet fleet(4, 2, 500, 2450, 3);
    fleet.advance(seconds(6));

    SECTION("two calls that together need more than the burst run at one instance")
    {
        fleet.call(2, 1331, 1331, seconds(1));
        fleet.advance(milliseconds(150));
        fleet.call(2, 1193, 1193, milliseconds(700));
        fleet.advance(milliseconds(700));
        REQUIRE(fleet.ran == 2);
    }
    SECTION("50 calls in a second need fewer than 100 requests and grants")
    {
        const std::uint64_t before = fleet.messagesByKind[0] + fleet.messagesByKind[2];
        for (int i = 0; i < 50; ++i) {
            fleet.call(2, 8, 8, seconds(1));
            fleet.advance(milliseconds(20));
        }
        REQUIRE(fleet.ran == 50);
        REQUIRE(fleet.messagesByKind[0] + fleet.messagesByKind[2] - before < 100);
    }
}

// Guards against a load bucket that behaves differently from the bucket of an organisation.
TEST_CASE("The load bucket allows its rate and burst")
{
    TokenFleet fleet(4, 1, 1000, 1000, 3);
    fleet.advance(seconds(5));
    const TimePoint start = fleet.now;
    QuotaLeases &leases = fleet.instances[0].leases;
    // The simulated network also carries messages of the load account. A waiting call is added to ranLoads when it runs.
    while (fleet.now < start + seconds(5)) {
        if (leases.accounts[loadAccount].waiting.empty()) {
            fleet.callAccount(0, loadAccount, loadCost, seconds(10));
        }
        fleet.advance(milliseconds(10));
    }
    const double bound = fleet.configuration.loadsInFlight + 5 * fleet.configuration.loadRate;
    REQUIRE(static_cast<double>(fleet.ranLoads) <= bound);
    REQUIRE(static_cast<double>(fleet.ranLoads) >= bound - 2);
}
