#include "fleetfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::coordinator;

namespace {

fleetstate::FleetCommand catalogOf(std::uint64_t version)
{
    return {fleetstate::CommandKind::PutCatalog, version, {}, std::string(version, 'x')};
}

std::unique_ptr<Fleet> startedFleet()
{
    auto fleet = std::make_unique<Fleet>();
    for (unsigned number : {1U, 2U, 3U}) {
        fleet->start(number, true);
    }
    REQUIRE(fleet->commit(catalogOf(1)));
    return fleet;
}

/** Fills the disk of coordinator @p number until a write was refused. */
bool fill(Fleet &fleet, unsigned number)
{
    tests::DiskState &disk = *fleet.disks.at(number);
    disk.refusedWrites = 0;
    disk.isFull = true;
    return fleet.runUntil([&] {
        static_cast<void>(fleet.commit(catalogOf(fleet.readVersion() + 1)));
        return disk.refusedWrites > 0;
    });
}

/** Sends a change to all coordinators once. Returns whether one of them has committed it within @p limit. */
bool commitsOnce(Fleet &fleet, const fleetstate::FleetCommand &command, Duration limit)
{
    const auto isCommitted = std::make_shared<bool>(false);
    for (auto &[number, coordinator] : fleet.coordinators) {
        asio::co_spawn(
            fleet.context,
            [isCommitted, target = coordinator.get(), command]() -> asio::awaitable<void> {
                const ChangeResult result = co_await target->change(command);
                *isCommitted = *isCommitted || std::holds_alternative<Committed>(result);
            },
            asio::detached);
    }
    return fleet.runUntil(
        [&] {
            return *isCommitted;
        },
        limit);
}

} // namespace

// Guards against coordinators that are out for good, while their processes run, after their disks were full for some seconds: the second such disk
// left no leader.
TEST_CASE("Disks of coordinators that are full one after the other stop no changes")
{
    const auto fleet = startedFleet();
    for (unsigned number : {1U, 2U, 3U}) {
        CAPTURE(number);
        REQUIRE(fill(*fleet, number));
        const std::uint64_t before = fleet->readVersion();
        CHECK(before > 0);
        CHECK(fleet->commit(catalogOf(before + 1)));
        CHECK_FALSE(fleet->leads(number));
        fleet->disks.at(number)->isFull = false;
        REQUIRE(fleet->runUntil(
            [&] {
                return fleet->hasIndexOf(1, 2) && fleet->hasIndexOf(1, 3);
            },
            seconds(5)));
    }

    SECTION("each of them counts again: any two are a majority")
    {
        const unsigned stopped = GENERATE(1U, 2U, 3U);
        const std::uint64_t version = fleet->readVersion();
        fleet->stop(stopped, false);
        CHECK(fleet->commit(catalogOf(version + 1)));
        CHECK(fleet->readVersion() == version + 1);
    }
    SECTION("nothing is lost in a restart of all")
    {
        const std::uint64_t version = fleet->readVersion();
        for (unsigned number : {1U, 2U, 3U}) {
            fleet->stop(number, false);
        }
        for (unsigned number : {1U, 2U, 3U}) {
            fleet->start(number, false);
        }
        CHECK(fleet->readVersion() == version);
    }
}

// Guards against a leader that goes on leading, and answers changes and reads, although its disk refuses writes.
TEST_CASE("A leader whose disk is full gives up leading at once and leads again later")
{
    const auto fleet = startedFleet();
    const unsigned leader = fleet->awaitLeader();
    REQUIRE(leader != 0);
    REQUIRE(fill(*fleet, leader));
    CHECK(fleet->runUntil(
        [&] {
            return !fleet->leads(leader);
        },
        milliseconds(500)));

    SECTION("another one leads meanwhile")
    {
        const unsigned next = fleet->awaitLeader();
        CHECK(next != 0);
        CHECK(next != leader);
        fleet->disks.at(leader)->isFull = false;
        const std::uint64_t version = fleet->readVersion();
        fleet->stop(next, false);
        CHECK(fleet->commit(catalogOf(version + 1))); // with its vote
    }
    SECTION("a restart while the disk is full joins again when it has room")
    {
        fleet->stop(leader, false);
        fleet->start(leader, false);
        fleet->disks.at(leader)->isFull = true;
        const std::uint64_t version = fleet->readVersion();
        CHECK(fleet->commit(catalogOf(version + 1)));
        fleet->disks.at(leader)->isFull = false;
        CHECK(fleet->runUntil([&] {
            return fleet->hasIndexOf(1, 2) && fleet->hasIndexOf(1, 3);
        }));
    }
}

// Guards against acknowledgements without a majority of durable copies, and against a fleet that needs a restart to go on.
TEST_CASE("Changes wait while the disks of two coordinators are full, and go on when one of them has room")
{
    const auto fleet = startedFleet();
    fleet->disks.at(1)->isFull = true;
    fleet->disks.at(2)->isFull = true;
    CHECK_FALSE(commitsOnce(*fleet, catalogOf(2), seconds(4)));
    fleet->disks.at(1)->isFull = false;
    CHECK(fleet->commit(catalogOf(3)));
    fleet->disks.at(2)->isFull = false;
    CHECK(fleet->runUntil([&] {
        return fleet->hasIndexOf(1, 2) && fleet->hasIndexOf(1, 3);
    }));
}

// Guards against a coordinator that leads on, or tries again, after a sync has failed: the data may be gone although the next sync succeeds.
TEST_CASE("A coordinator whose sync has failed gives up leading and acknowledges nothing any more")
{
    const auto fleet = startedFleet();
    const unsigned failed = fleet->awaitLeader();
    REQUIRE(failed != 0);
    bool isReported = false;
    fleet->coordinators.at(failed)->storageFailed = [&isReported](const std::string &) {
        isReported = true;
    };
    fleet->disks.at(failed)->failsSyncs = true;
    const std::uint64_t version = fleet->readVersion();
    CHECK(fleet->commit(catalogOf(version + 1)));
    REQUIRE(fleet->runUntil([&] {
        return isReported && !fleet->leads(failed);
    }));
    fleet->disks.at(failed)->failsSyncs = false;
    CHECK(fleet->commit(catalogOf(version + 2)));
    CHECK_FALSE(fleet->leads(failed));
    fleet->stop(failed % 3 + 1, false);
    CHECK_FALSE(commitsOnce(*fleet, catalogOf(version + 3), seconds(3)));
}
