#include "planner.h"

#include "mimosahollow/placement/placement.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace mimosahollow::placement {

namespace {

/** Window over which base model loads are counted against the rate of the weight store. */
constexpr Duration storeWindow = seconds(5);

/**
 * Added to the cost of an engine in a failure domain that needs no copy. Calls between domains cost bytes but little time, so it is below the cost of a load
 * from the weight store (2) and of a further call on the engine (0.33 at 12 slots).
 */
constexpr double otherDomainCost = 0.3;

/** Copy that calls wait for. */
struct WantedCopy
{
    unsigned inTime = 0; // calls that it serves in time
    TimePoint since{};
    const AdapterKey *key = nullptr;
};

/**
 * Scales the limit with the delivery rate of the weight store. Large fleets request many rare adapters, and the limit of a small
 * store would leave most of the delivery rate unused.
 */
unsigned storeTransferLimitOf(const PlacementOptions &options, const catalog::CatalogIndex &catalog)
{
    double loads = 0;
    for (const catalog::ServiceSpec &service : catalog.catalog().services) {
        loads = std::max(loads, service.engine ? service.engine->storeLoadsPerSecond : 0);
    }
    return std::max(options.minimumStoreTransfers, static_cast<unsigned>(loads * options.storeTransfersPerLoadRate));
}

void dropIdleDemand(PlacementState &state, TimePoint now)
{
    std::erase_if(state.demand, [&state, now](const auto &item) {
        return item.second.running.empty() && now - item.second.calls.updatedAt > state.options.demandRetention;
    });
}

} // namespace

void Planner::send(const std::string &id, EngineState &engine, OrderKind kind, const AdapterKey &key, std::uint64_t version)
{
    orders.push_back(
        {id, engine.address, engine.born, kind, key.model, key.adapter, version, *engine.sequence, state.slots.slots[orderSlotFor(id)].fencingNumber});
    engine.orderInFlight = true;
    engine.orderedAdapter = key;
    engine.lastOrder = now;
}

void Planner::sendAdapterLoad(const std::string &id, EngineState &engine, const AdapterKey &key)
{
    const bool isCached = isInHostCache(engine, key);
    Duration time = cachedLoadTime(state.loadTime);
    if (!isCached) {
        ++storeTransfers;
        time = state.loadTime.value * std::max(1U, (storeTransfers + state.storeTransferLimit - 1) / state.storeTransferLimit);
    }
    const std::uint64_t version = requiredVersion(state, key);
    engine.adapters[key] = {version, now + time + state.options.loadMargin, now, !isCached, false, false, false};
    touchHostCache(engine, key, version);
    CopyCounts &counts = copyCounts[key];
    counts.requiredVersion = version;
    ++counts.usable;
    counts.unlimited += engine.isLimited ? 0 : 1;
    send(id, engine, OrderKind::Load, key, version);
}

bool Planner::loadCopy(const AdapterKey &key, const DemandState &demand, Duration minimumIdle, bool unlimitedOnly)
{
    const std::string *best = nullptr;
    double bestCost = 0;
    const std::map<std::string, double> needs = domainNeeds(callsByDomain(demand), copiesByDomain(key));
    for (auto &[id, engine] : state.engines) {
        if (engine.service != demand.service || (unlimitedOnly && engine.isLimited)) {
            continue;
        }
        if (const auto copy = engine.adapters.find(key); copy != engine.adapters.end()) {
            // The unload of an outdated copy waits for the calls on it, so another engine is faster while there are some.
            const bool isOutdated = !acceptsVersion(state, key, copy->second.version, now);
            if (!isOutdated || copy->second.isUnloading || now - copy->second.lastUse < state.options.minimumIdle) {
                continue;
            }
        }
        const auto need = needs.find(engine.domain);
        const double distanceCost = needs.empty() ? 0 : otherDomainCost * (1 - (need == needs.end() ? 0 : need->second));
        const auto value = cost(id, engine, key, minimumIdle);
        if (value && (best == nullptr || *value + distanceCost < bestCost)) {
            best = &id;
            bestCost = *value + distanceCost;
        }
    }
    if (best == nullptr) {
        return false;
    }
    EngineState &engine = state.engines[*best];
    if (engine.adapters.contains(key)) {
        // The new version takes a slot of its own while it loads, which a full engine does not have.
        send(*best, engine, OrderKind::Unload, key, 0);
    } else if (hasRoom(engine, *specOf(engine))) {
        sendAdapterLoad(*best, engine, key);
    } else {
        send(*best, engine, OrderKind::Unload, evictionCandidate(engine, minimumIdle)->key, 0);
    }
    return true;
}

void Planner::loadBaseModels()
{
    while (!state.recentWeightLoads.empty() && now - state.recentWeightLoads.front() > storeWindow) {
        state.recentWeightLoads.pop_front();
    }
    for (auto &[id, engine] : state.engines) {
        const catalog::EngineSpec *spec = specOf(engine);
        if (spec == nullptr || spec->models.empty() || !canOrder(id, engine) || !engine.baseModels.empty() || !engine.loadingModels.empty()) {
            continue;
        }
        if (static_cast<double>(state.recentWeightLoads.size()) >= spec->storeLoadsPerSecond * toSeconds(storeWindow)) {
            return;
        }
        const catalog::BaseModelSpec &model = mostNeededModel(engine.service, *spec);
        engine.loadingModels[model.name] = now + model.loadTime;
        state.recentWeightLoads.push_back(now);
        engine.reportDue = now + model.loadTime;
        send(id, engine, OrderKind::Load, {model.name, {}}, 0);
    }
}

void Planner::loadNewVersions()
{
    for (const auto &[key, demand] : state.demand) {
        if (key.adapter.empty() || !hasOlderVersions(state, key, now) || !isInDemand(demand)) {
            continue;
        }
        const double callsPerCopy = state.options.batchSharePerCopy * slotsOf(demand.service);
        const auto needed = static_cast<unsigned>(std::ceil(expectedRunning(demand) / callsPerCopy));
        const unsigned older = servingCopies(key) - usableCopies(key);
        const unsigned wanted = std::clamp(needed, 1U, std::max(1U, older));
        bool isLoading = true;
        for (unsigned copies = usableCopies(key); copies < wanted && isLoading; ++copies) {
            isLoading = loadCopy(key, demand, state.options.minimumIdle);
        }
        if (!isLoading && usableCopies(key) == 0 && older > 1) {
            unloadOlderCopy(key);
        }
    }
}

void Planner::unloadOlderCopy(const AdapterKey &key)
{
    EngineState *best = nullptr;
    const std::string *bestId = nullptr;
    for (auto &[id, engine] : state.engines) {
        const auto copy = engine.adapters.find(key);
        if (copy == engine.adapters.end()) {
            continue;
        }
        if (copy->second.isUnloading || (engine.orderInFlight && engine.orderedAdapter == key)) {
            return; // one at a time, since the others serve the calls
        }
        if (canOrder(id, engine) && copy->second.readyAt <= now && (best == nullptr || engine.expectedRunning < best->expectedRunning)) {
            best = &engine;
            bestId = &id;
        }
    }
    if (best != nullptr) {
        send(*bestId, *best, OrderKind::Unload, key, 0);
    }
}

/**
 * Load pattern: an adapter becomes popular while the weight store is busy with rare ones. Its copies are full, so their rate of calls tells nothing of
 * the calls that wait, and 120 calls per second were refused beside idle engines.
 */
unsigned Planner::copiesForWaitingCalls(const AdapterKey &key, const DemandState &demand) const
{
    const unsigned waiting = waitingCalls(demand);
    const auto callsPerCopy = static_cast<unsigned>(std::max(1.0, state.options.waitingSharePerCopy * slotsOf(demand.service)));
    const unsigned needed = (waiting + callsPerCopy - 1) / callsPerCopy;
    const unsigned copies = usableCopies(key);
    if (copies == 0) {
        return needed;
    }
    const unsigned found = countsOf(key).fresh;
    const bool areFull = runningCalls(demand) >= callsPerCopy * (copies - found);
    // A few calls may only wait for others to end, which takes no longer than a load.
    const bool isLasting = waiting >= callsPerCopy || now - demand.waitingSince >= state.loadTime.value;
    return areFull && isLasting && needed > found ? needed - found : 0;
}

void Planner::loadWaitingAdapters()
{
    std::vector<WantedCopy> wanted;
    for (const auto &[key, demand] : state.demand) {
        if (key.adapter.empty() || waitingCalls(demand) == 0) {
            continue;
        }
        // Calls on an engine with a limit wait for permits.
        const unsigned copies = std::max(copiesForWaitingCalls(key, demand), countsOf(key).unlimited == 0 ? 1U : 0U);
        const unsigned inTime = callsInTime(demand);
        for (unsigned copy = 0; copy < copies; ++copy) {
            const unsigned served = (inTime + copies - 1 - copy) / copies;
            wanted.push_back({served, demand.waitingSince, &key});
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(), [](const WantedCopy &left, const WantedCopy &right) {
        return left.inTime != right.inTime ? left.inTime > right.inTime : left.since < right.since;
    });
    std::set<const AdapterKey *> withoutEngine; // no engine can take a further copy now
    for (const WantedCopy &copy : wanted) {
        const bool unlimitedOnly = usableCopies(*copy.key) > 0 && countsOf(*copy.key).unlimited == 0;
        if (!withoutEngine.contains(copy.key) && !loadCopy(*copy.key, state.demand[*copy.key], state.options.minimumIdle, unlimitedOnly)) {
            withoutEngine.insert(copy.key);
        }
    }
}

void Planner::replicate()
{
    for (const auto &[key, demand] : state.demand) {
        const unsigned copies = usableCopies(key);
        if (key.adapter.empty() || copies == 0 || storeTransfers >= state.storeTransferLimit / 2) {
            continue;
        }
        if (expectedRunning(demand) > state.options.batchSharePerCopy * slotsOf(demand.service) * copies) {
            loadCopy(key, demand, state.options.minimumIdleForReplica);
        }
    }
}

std::vector<ModelOrder> planOrders(PlacementState &state, const catalog::CatalogIndex &catalog, TimePoint now)
{
    state.storeTransferLimit = storeTransferLimitOf(state.options, catalog);
    Planner planner{state, catalog, now, {}, 0, {}};
    planner.examineCopies();
    planner.updateHostCacheSizes();
    planner.loadBaseModels();
    if (!state.olderVersions.empty()) {
        planner.loadNewVersions();
    }
    planner.loadWaitingAdapters();
    if (now >= state.nextRebalance) {
        state.nextRebalance = now + state.options.rebalanceInterval;
        dropIdleDemand(state, now);
        planner.updateCallTime();
        planner.updateExpectedRunning();
        planner.replicate();
    }
    return std::move(planner.orders);
}

} // namespace mimosahollow::placement
