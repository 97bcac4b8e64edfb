#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/placement/placement.h"

#include "enginemodel.h"

#include <catch2/catch.hpp>

#include <random>

using namespace mimosahollow;
using namespace mimosahollow::placement;

namespace {

constexpr unsigned adapterSlots = 4;
constexpr unsigned engineCount = 3;
constexpr unsigned adapterCount = 24;

/** A leader, its engines with all the delays of the protocol, and a successor that takes over with an empty state. */
struct OrderHistory
{
    explicit OrderHistory(unsigned seed) : random(seed)
    {
        catalog::Catalog content;
        catalog::EngineSpec engine;
        engine.models = {{"base", 1000, 10, seconds(2)}};
        engine.memoryMb = 1100;
        engine.adapterSlots = adapterSlots;
        engine.storeLoadsPerSecond = 8;
        content.services = {{"chat", 100, 0, engine}};
        catalog = std::make_unique<catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(content)));
        for (unsigned i = 0; i < engineCount; ++i) {
            engines.emplace("s" + std::to_string(i), EngineModel(adapterSlots, random));
        }
        beginLeader();
    }

    void beginLeader()
    {
        const auto versions = std::move(state.requiredVersions); // replicated, unlike the rest
        beginTerm(state, ++m_term, now);
        setRequiredVersions(state, versions, now);
        for (OrderSlot &slot : state.slots.slots) {
            slot = {"core-1", m_term, {}};
        }
        for (const auto &[id, engine] : engines) {
            registry::ServerRecord record;
            record.id = id;
            record.service = "chat";
            record.address = id + ":80";
            record.slots = 8;
            record.born = 1;
            updateServer(state, record, true, now);
        }
        m_reports.clear();
        m_replies.clear();
    }

    void step()
    {
        now += milliseconds(10);
        recordCredit(state.slots, "core-1", now);
        for (auto &[id, engine] : engines) {
            engine.advance(now);
        }
        if (random() % 400 == 0) {
            beginLeader();
        }
        if (random() % 100 == 0) {
            setRequiredVersions(state, {{"base/" + drawAdapter(), ++m_lastVersion}}, now);
        }
        recordDemand(state, "entry-1", {"base", drawAdapter()}, "chat", {static_cast<unsigned>(random() % 3), 1, static_cast<unsigned>(random() % 2), 0}, now);
        engines.at("s" + std::to_string(random() % engineCount)).run(drawAdapter(), now, milliseconds(random() % 2000));
        deliver();
        for (const std::string &id : takeDueReports(state, now)) {
            const ModelReport report = engines.at(id).report(now, milliseconds(100 + random() % 230));
            m_reports.emplace(now + milliseconds(random() % 60), std::pair(id, report));
        }
        for (const ModelOrder &order : planOrders(state, *catalog, now)) {
            send(order);
        }
    }

    std::minstd_rand random;
    std::unique_ptr<catalog::CatalogIndex> catalog;
    PlacementState state;
    std::map<std::string, EngineModel> engines;
    TimePoint now{seconds(100)};

private:
    std::string drawAdapter()
    {
        return "a" + std::to_string(random() % adapterCount);
    }

    void send(const ModelOrder &order)
    {
        EngineModel &engine = engines.at(order.server);
        const auto draw = random() % 10;
        if (draw == 0) {
            engine.executeLater(order, now + milliseconds(random() % 6000));
            m_replies.emplace(now + milliseconds(350), std::pair(order, OrderOutcome::Unknown));
        } else if (draw == 1) {
            const OrderOutcome lost = engine.execute(order, now);
            m_replies.emplace(now + milliseconds(350), std::pair(order, lost == OrderOutcome::Conflict ? lost : OrderOutcome::Unknown));
        } else {
            m_replies.emplace(now + milliseconds(random() % 30), std::pair(order, engine.execute(order, now)));
        }
    }

    void deliver()
    {
        while (!m_replies.empty() && m_replies.begin()->first <= now) {
            const auto [order, outcome] = m_replies.begin()->second;
            m_replies.erase(m_replies.begin());
            applyOrderReply(state, order, outcome, now);
        }
        while (!m_reports.empty() && m_reports.begin()->first <= now) {
            const auto [id, report] = m_reports.begin()->second;
            m_reports.erase(m_reports.begin());
            applyReport(state, id, 1, report, now);
        }
    }

    std::uint64_t m_term = 0;
    std::uint64_t m_lastVersion = 1;
    std::multimap<TimePoint, std::pair<std::string, ModelReport>> m_reports; // in transit, by arrival
    std::multimap<TimePoint, std::pair<ModelOrder, OrderOutcome>> m_replies;
};

} // namespace

// Property: whatever happens to orders, replies and reports, no engine is ordered to load more than it has slots for; it would crash. Found in a
// hunt: an engine with five slots was ordered to load a sixth adapter.
TEST_CASE("No order overfills an engine when orders are late, replies are lost, versions change and leaders follow each other")
{
    const auto seed = GENERATE(range(1U, 61U));
    INFO("seed " << seed);
    OrderHistory history(seed);
    for (int step = 0; step < 3000; ++step) {
        history.step();
        for (const auto &[id, engine] : history.engines) {
            INFO("engine " << id << ", step " << step);
            REQUIRE_FALSE(engine.wasOverfilled());
        }
    }
}
