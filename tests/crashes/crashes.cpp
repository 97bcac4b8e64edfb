#include "support/enginefleet.h"

using namespace mimosahollow;
using namespace mimosahollow::tests;

// Guards against one prompt part that ends backend servers one after the other, through retries and through other entry instances.
TEST_CASE("A prompt part under which five servers have ended reaches no more than three others")
{
    EngineFleet fleet;
    fleet.fatalPart = "fatal";
    fleet.sendFatalCalls(5, 20);
    fleet.runFor(contactTime);
    fleet.fatalArrivals = 0;
    for (unsigned sent = 0; sent < 8; ++sent) {
        fleet.call(sent % 2, EngineFleet::unique("tenant:5,fatal:7"));
    }
    CHECK(fleet.fatalArrivals <= 3);
    for (unsigned sent = 0; sent < 8; ++sent) {
        CHECK(EngineFleet::isServed(fleet.call(sent % 2, EngineFleet::unique("tenant:5"))));
    }

    SECTION("the quarantine outlives the coordinator, and binds an entry instance that is new")
    {
        fleet.restartCoordinator();
        fleet.startEntry(2);
        REQUIRE(fleet.runUntil([&fleet] {
            return fleet.isServing(2);
        }));
        fleet.fatalArrivals = 0;
        for (unsigned sent = 0; sent < 6; ++sent) {
            fleet.call(sent % 3, EngineFleet::unique("tenant:5,fatal:7"));
        }
        CHECK(fleet.fatalArrivals == 0);
    }
}

// Guards against a quarantine by answers that are lost while the backend servers live.
TEST_CASE("Connections that are reset on living servers quarantine nothing")
{
    EngineFleet fleet;
    fleet.fatalPart = "lost";
    fleet.resetsOnly = true;
    fleet.sendFatalCalls(12, 12);
    CHECK(fleet.fatalArrivals >= 12);
    fleet.runFor(seconds(1));
    fleet.fatalPart.clear();
    CHECK(EngineFleet::isServed(fleet.call(0, EngineFleet::unique("tenant:5,lost:7"))));
    CHECK(EngineFleet::isServed(fleet.call(1, EngineFleet::unique("tenant:5,lost:7"))));
}

// Guards against one request that comes again and again and ends server after server, at any instance.
TEST_CASE("A request under which three servers have ended reaches no more than three others")
{
    EngineFleet fleet;
    SECTION("it ends an engine after the head of its answer")
    {
        fleet.deadlyPath = "/stream/deadly";
    }
    SECTION("it ends an engine before the head of its answer")
    {
        fleet.deadlyPath = "/stream/deadly";
        fleet.endsBeforeHead = true;
    }
    SECTION("it ends a plain backend server before the head of its answer")
    {
        fleet.deadlyPath = "/plain/deadly";
        fleet.endsBeforeHead = true;
    }
    const std::string prefix = fleet.deadlyPath.substr(0, fleet.deadlyPath.rfind('/') + 1);
    fleet.sendDeadlyRequests(3, 20);
    REQUIRE(fleet.crashes >= 3);
    fleet.runFor(contactTime);
    fleet.deadlyArrivals = 0;
    for (unsigned sent = 0; sent < 8; ++sent) {
        fleet.call(sent % 2, EngineFleet::unique("tenant:5"), fleet.deadlyPath);
        fleet.runFor(restartTime);
    }
    CHECK(fleet.deadlyArrivals <= 3);
    for (unsigned sent = 0; sent < 8; ++sent) {
        CHECK(EngineFleet::isServed(fleet.call(sent % 2, EngineFleet::unique("tenant:5"), prefix + "sound")));
    }
}

// Guards against sound requests that were running on the servers which another request ended.
TEST_CASE("A request that runs beside a deadly one is served afterwards")
{
    EngineFleet fleet;
    fleet.deadlyPath = "/plain/deadly";
    fleet.endsBeforeHead = true;
    for (unsigned sent = 0; sent < 6; ++sent) {
        fleet.call(sent % 2, {}, "/plain/popular");
        fleet.call(sent % 2, {}, fleet.deadlyPath);
        fleet.runFor(restartTime);
    }
    fleet.runFor(contactTime);
    for (unsigned sent = 0; sent < 8; ++sent) {
        CHECK(EngineFleet::isServed(fleet.call(sent % 2, {}, "/plain/popular")));
    }
}
