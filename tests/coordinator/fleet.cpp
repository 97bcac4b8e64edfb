#include "fleetfixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace mimosahollow;
using namespace mimosahollow::coordinator;

namespace {

fleetstate::FleetCommand catalogOf(std::uint64_t version)
{
    return {fleetstate::CommandKind::PutCatalog, version, {}, std::string(version, 'x')};
}

} // namespace

// Guards against the loss of an acknowledged change when two coordinators lose their disks one after the other. If a coordinator with
// an empty disk does not answer the leader because it knows no members, it stays out of the log and the second loss leaves no majority.
TEST_CASE("A coordinator with an empty disk rejoins as a voter, so that a second lost disk loses no change")
{
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(5)));

    fleet.stop(1, true);
    REQUIRE(fleet.commit(catalogOf(6)));
    fleet.start(1, false);
    REQUIRE(fleet.runUntil([&fleet] {
        return fleet.hasVoters(1, 3) && fleet.hasIndexOf(1, 2) && fleet.hasIndexOf(1, 3);
    }));

    fleet.stop(2, true);
    CHECK(fleet.readVersion() == 6);
    CHECK(fleet.commit(catalogOf(9)));
    CHECK(fleet.readVersion() == 9);
}

// Guards against the loss of an acknowledged change when all coordinators stop at the same time.
TEST_CASE("All coordinators restart at once and keep the acknowledged changes")
{
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(7)));
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.stop(number, false);
    }
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, false);
    }
    CHECK(fleet.readVersion() == 7);
}

// Guards against a fleet that depends on its founders. Coordinators leave for good, one after the other, and others come with an empty disk at a
// new address, whose seeds name machines of which some are gone.
TEST_CASE("All founding coordinators are replaced one after the other, and nothing acknowledged is lost")
{
    const bool isPlanned = GENERATE(true, false);
    INFO((isPlanned ? "the successor starts first" : "the successor starts after the loss"));
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(5)));
    std::uint64_t version = 5;
    for (unsigned lost : {1U, 2U, 3U}) {
        const unsigned successor = lost + 3;
        // The list that a new machine gets lags, so one of its seeds is the machine that leaves.
        const std::vector<unsigned> seeds{lost, lost % 3 + 1, lost + 2};
        if (isPlanned) {
            fleet.start(successor, false, seeds);
            fleet.runUntil(
                [] {
                    return false;
                },
                milliseconds(300));
            fleet.stop(lost, true);
        } else {
            fleet.stop(lost, true);
            REQUIRE(fleet.commit(catalogOf(++version)));
            fleet.start(successor, false, seeds);
        }
        REQUIRE(fleet.commit(catalogOf(++version)));
        REQUIRE(fleet.runUntil([&fleet, successor, lost] {
            const unsigned other = lost == 3 ? 4 : lost + 1;
            return fleet.hasVote(successor) && fleet.hasVoters(successor, 3) && fleet.hasVoters(other, 3) && fleet.hasIndexOf(successor, other);
        }));
    }
    CHECK(fleet.readVersion() == version);
    REQUIRE(fleet.commit(catalogOf(++version)));
    SECTION("the successors bear the loss of one of them")
    {
        fleet.stop(5, true);
        CHECK(fleet.readVersion() == version);
        CHECK(fleet.commit(catalogOf(version + 1)));
    }
    SECTION("the successors find each other after a restart of all, by seeds that are gone")
    {
        for (unsigned number : {4U, 5U, 6U}) {
            fleet.stop(number, false);
        }
        for (unsigned number : {4U, 5U, 6U}) {
            fleet.start(number, false, {1, 2, 3});
        }
        CHECK(fleet.readVersion() == version);
    }
}

// Guards against a read that resumes in a coordinator that is gone; the address sanitizer reports it.
TEST_CASE("A read that waits for a majority ends without its coordinator")
{
    Fleet fleet;
    for (unsigned number : {1U, 2U, 3U}) {
        fleet.start(number, true);
    }
    REQUIRE(fleet.commit(catalogOf(5)));
    const auto leader = std::find_if(fleet.coordinators.begin(), fleet.coordinators.end(), [](const auto &item) {
        return item.second->metricsText().find("mimosahollow_leads 1\n") != std::string::npos;
    });
    REQUIRE(leader != fleet.coordinators.end());
    const unsigned number = leader->first;
    for (unsigned other : {1U, 2U, 3U}) {
        if (other != number) {
            fleet.stop(other, false);
        }
    }
    std::optional<ReadResult> result;
    asio::co_spawn(
        fleet.context,
        [&result, target = fleet.coordinators.at(number).get()]() -> asio::awaitable<void> {
            result = co_await target->read();
        },
        asio::detached);
    fleet.context.poll();
    REQUIRE_FALSE(result);
    fleet.stop(number, false);
    CHECK(fleet.runUntil([&result] {
        return result.has_value();
    }));
    CHECK(std::holds_alternative<Unavailable>(*result));
}
