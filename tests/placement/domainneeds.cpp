#include "mimosahollow/placement/domainneeds.h"

#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/placement/placement.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::placement;

namespace {

/** A leader with six engines in each of two failure domains, and an entry instance in each. */
struct TwoDomains
{
    TwoDomains()
    {
        catalog::Catalog content;
        catalog::EngineSpec engine;
        engine.models = {{"base", 1000, 10, seconds(2)}};
        engine.memoryMb = 1100;
        engine.adapterSlots = 4;
        engine.storeLoadsPerSecond = 50;
        content.services = {{"chat", 100, 0, engine}};
        catalog = std::make_unique<catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(content)));
        beginTerm(state, 1, now);
        for (OrderSlot &slot : state.slots.slots) {
            slot = {"core-1", 1, {}};
        }
        recordCredit(state.slots, "core-1", now);
        for (int i = 0; i < 12; ++i) {
            registry::ServerRecord record;
            record.id = "s" + std::to_string(i);
            record.service = "chat";
            record.address = record.id + ":80";
            record.domain = i % 2 == 0 ? "east" : "west";
            record.slots = 12;
            record.born = 1;
            updateServer(state, record, true, now);
        }
        for (const std::string &id : takeDueReports(state, now)) {
            ModelReport report;
            report.sequence = 0;
            report.copies.push_back({"base", {}, 1, false});
            applyReport(state, id, 1, report, now);
        }
        setEntryDomain(state, "entry-east", "east");
        setEntryDomain(state, "entry-west", "west");
    }

    /** Plans for calls that wait for an adapter, and names the domains in which it is loaded. */
    std::vector<std::string> load(const std::string &adapter, const std::string &entry, unsigned waiting)
    {
        recordDemand(state, entry, {"base", adapter}, "chat", {waiting, waiting, 0, 0}, now);
        std::vector<std::string> domains;
        for (const ModelOrder &order : planOrders(state, *catalog, now)) {
            domains.push_back(state.engines.at(order.server).domain);
            applyOrderReply(state, order, OrderOutcome::Accepted, now);
        }
        return domains;
    }

    PlacementState state;
    std::unique_ptr<catalog::CatalogIndex> catalog;
    TimePoint now{seconds(100)};
};

} // namespace

// Load pattern: each failure domain asks for adapters of its own. Guards against calls that cross domains while nearer engines are as idle.
TEST_CASE("An adapter is loaded in the failure domain of the calls that wait for it")
{
    SECTION("a domain needs copies in proportion to its calls")
    {
        CHECK(domainNeeds({{"east", 1}}, {}) == std::map<std::string, double>{{"east", 1}});
        const auto first = domainNeeds({{"east", 1}, {"west", 3}}, {});
        CHECK(first.at("east") == Approx(0.25));
        CHECK(first.at("west") == Approx(0.75));
        const auto second = domainNeeds({{"east", 1}, {"west", 3}}, {{"west", 1}});
        CHECK(second.at("east") == Approx(0.5));
        CHECK(second.at("west") == Approx(0.5));
        CHECK(domainNeeds({}, {{"west", 1}}).empty());
        CHECK(domainNeeds({{"east", 0}}, {}).empty());
    }
    SECTION("idle engines there come first")
    {
        TwoDomains fleet;
        unsigned near = 0;
        for (int i = 0; i < 10; ++i) {
            near += fleet.load("east" + std::to_string(i), "entry-east", 1) == std::vector<std::string>{"east"} ? 1 : 0;
            near += fleet.load("west" + std::to_string(i), "entry-west", 1) == std::vector<std::string>{"west"} ? 1 : 0;
        }
        CHECK(near >= 16); // by chance, half of them are; the engine that is likely to have an adapter in host memory may be elsewhere
    }
    SECTION("engines elsewhere serve it when those are all full")
    {
        TwoDomains fleet;
        unsigned loaded = 0;
        for (int i = 0; i < 40; ++i) {
            loaded += fleet.load("a" + std::to_string(i), "entry-east", 1).empty() ? 0 : 1;
            fleet.now += milliseconds(300);
            recordCredit(fleet.state.slots, "core-1", fleet.now);
        }
        CHECK(loaded == 40); // the nearer engines have room for 24
    }
}
