#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/placement/placement.h"

#include "internal.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace mimosahollow::placement {

namespace {

/** Window over which base model loads are counted against the rate of the weight store. */
constexpr Duration storeWindow = seconds(5);
/**
 * Added to the cost of an engine after an order without a reply. Exceeds all other parts of the cost, so that the engine gets orders only
 * when no other can.
 */
constexpr double unansweredPenaltyCost = 20;
constexpr double limitPenaltyCost = 8; // more than a load from the weight store: calls on an engine with a limit wait for permits
// Limits of the mean call time. Right after the start of a term, running calls are reported before the rate that caused them.
constexpr Duration shortestCallTime = milliseconds(100);
constexpr Duration longestCallTime = seconds(10);

bool hasUnresolvedOrder(const EngineState &engine, const AdapterKey &key)
{
    return engine.unresolvedOrder && engine.unresolvedOrder->model == key.model && engine.unresolvedOrder->adapter == key.adapter;
}

struct Planner
{
    PlacementState &state;
    const catalog::CatalogIndex &catalog;
    TimePoint now;
    std::vector<ModelOrder> orders;
    unsigned storeTransfers = 0;
    std::map<AdapterKey, unsigned> usable; // copies with the required version, loaded or in transit
    std::map<AdapterKey, unsigned> unlimited; // of these, the ones on engines without a limit

    [[nodiscard]] const catalog::EngineSpec *specOf(const EngineState &engine) const
    {
        const catalog::ServiceSpec *service = catalog.findService(engine.service);
        return service != nullptr && service->engine ? &*service->engine : nullptr;
    }

    [[nodiscard]] bool canOrder(const std::string &id, const EngineState &engine) const
    {
        return canSendOrders(state.slots, orderSlotFor(id), now) && engine.isReady && !engine.isReplaced && now >= engine.unreachableUntil && engine.sequence
               && !engine.orderInFlight && !engine.unresolvedOrder && now >= engine.pausedUntil;
    }

    [[nodiscard]] double callsPerSecond(const DemandState &demand) const
    {
        return rateAt(demand.calls, state.options.demandTimeConstant, now);
    }

    [[nodiscard]] unsigned waitingCalls(const DemandState &demand) const
    {
        unsigned count = 0;
        for (const auto &[entry, report] : demand.waiting) {
            if (now - report.reported <= state.options.waitReportLifetime) {
                count += report.calls;
            }
        }
        return count;
    }

    [[nodiscard]] unsigned callsInTime(const DemandState &demand) const
    {
        unsigned count = 0;
        for (const auto &[entry, report] : demand.waiting) {
            // A report older than a load no longer tells how many calls can still meet their objective.
            count += now - report.reported <= state.options.adapterLoadTime ? report.inTime : 0;
        }
        return count;
    }

    [[nodiscard]] unsigned transfersTo(const EngineState &engine) const
    {
        return static_cast<unsigned>(std::count_if(engine.adapters.begin(), engine.adapters.end(), [this](const auto &copy) {
            return copy.second.readyAt > now;
        }));
    }

    /** Whether @p engine can load the required version of @p key from its host memory. */
    [[nodiscard]] bool isInHostCache(const EngineState &engine, const AdapterKey &key) const
    {
        const auto cached = engine.hostCache.find(key);
        return cached != engine.hostCache.end() && cached->second.version >= requiredVersion(state, key);
    }

    [[nodiscard]] bool hasRoom(const EngineState &engine, const catalog::EngineSpec &spec) const
    {
        if (engine.adapters.size() >= spec.adapterSlots) {
            return false;
        }
        double used = 0;
        double adapterMb = 0;
        for (const catalog::BaseModelSpec &model : spec.models) {
            if (engine.baseModels.contains(model.name) || engine.loadingModels.contains(model.name)) {
                used += model.weightsMb;
            }
            adapterMb = std::max(adapterMb, model.adapterMb);
        }
        return used + adapterMb * static_cast<double>(engine.adapters.size() + 1) <= spec.memoryMb;
    }

    /**
     * Least recently used adapter that has been idle for at least @p minimumIdle and has no waiting or running calls. Streams can run for
     * longer than the idle time; the unload of an adapter in use waits for them, and the engine accepts no load in its slot meanwhile.
     */
    [[nodiscard]] std::optional<AdapterKey> evictionCandidate(const EngineState &engine, Duration minimumIdle) const
    {
        std::optional<AdapterKey> oldest;
        TimePoint lastUse = now - minimumIdle;
        for (const auto &[key, copy] : engine.adapters) {
            if (copy.isUnloading || copy.readyAt > now || copy.lastUse > lastUse || copy.readyAt > now - minimumIdle) {
                continue;
            }
            const auto demand = state.demand.find(key);
            if (demand != state.demand.end() && (!demand->second.running.empty() || waitingCalls(demand->second) > 0)) {
                continue;
            }
            oldest = key;
            lastUse = copy.lastUse;
        }
        return oldest;
    }

    void send(const std::string &id, EngineState &engine, OrderKind kind, const AdapterKey &key, std::uint64_t version)
    {
        orders.push_back(
            {id, engine.address, engine.born, kind, key.model, key.adapter, version, *engine.sequence, state.slots.slots[orderSlotFor(id)].fencingNumber});
        engine.orderInFlight = true;
        engine.orderedAdapter = key;
        engine.lastOrder = now;
    }

    void sendAdapterLoad(const std::string &id, EngineState &engine, const AdapterKey &key)
    {
        const bool isCached = isInHostCache(engine, key);
        Duration time = state.options.cachedAdapterLoadTime;
        if (!isCached) {
            ++storeTransfers;
            time = state.options.adapterLoadTime * std::max(1U, (storeTransfers + state.storeTransferLimit - 1) / state.storeTransferLimit);
        }
        const std::uint64_t version = requiredVersion(state, key);
        engine.adapters[key] = {version, now + time + state.options.loadMargin, now, !isCached, false, false};
        touchHostCache(state, engine, key, version);
        ++usable[key];
        unlimited[key] += engine.isLimited ? 0 : 1;
        send(id, engine, OrderKind::Load, key, version);
    }

    /** Cost of loading @p key on @p engine; nullopt when the engine cannot load it now. */
    [[nodiscard]] std::optional<double> cost(const std::string &id, const EngineState &engine, const AdapterKey &key, Duration minimumIdle) const
    {
        const catalog::EngineSpec *spec = specOf(engine);
        if (spec == nullptr || !canOrder(id, engine) || !engine.baseModels.contains(key.model)) {
            return std::nullopt;
        }
        const bool isCached = isInHostCache(engine, key);
        if ((!isCached && storeTransfers >= state.storeTransferLimit) || transfersTo(engine) >= state.options.transfersPerServer) {
            return std::nullopt;
        }
        const bool isFree = hasRoom(engine, *spec) && !engine.adapters.contains(key);
        if (!isFree && !evictionCandidate(engine, minimumIdle)) {
            return std::nullopt;
        }
        // The hash prefers the same engine for every load of an adapter, since that engine has it in host memory.
        const std::string name = key.model + "/" + key.adapter + "@" + id;
        const double affinityCost = static_cast<double>(XXH3_64bits(name.data(), name.size()) % 1024) / 1024;
        const double limitPenalty = engine.isLimited ? limitPenaltyCost : 0;
        const double unansweredPenalty = now < engine.penalizedUntil ? unansweredPenaltyCost : 0;
        return engine.expectedRunning / (engine.slots * state.options.batchSharePerCopy) + (isCached ? 0 : 2) + (isFree ? 0 : 0.3) + affinityCost + limitPenalty
               + unansweredPenalty;
    }

    /**
     * Orders a load of @p key on the engine with the lowest cost, or an unload to make room; with @p unlimitedOnly on engines without a limit
     * only. Returns false if no engine can take it.
     */
    bool loadCopy(const AdapterKey &key, const DemandState &demand, Duration minimumIdle, bool unlimitedOnly = false)
    {
        const std::string *best = nullptr;
        double bestCost = 0;
        for (auto &[id, engine] : state.engines) {
            if (engine.service != demand.service || (unlimitedOnly && engine.isLimited)) {
                continue;
            }
            if (const auto copy = engine.adapters.find(key); copy != engine.adapters.end()) {
                // The unload of an outdated copy waits for the calls on it, so another engine is faster while there are some.
                const bool isOutdated = copy->second.version < requiredVersion(state, key);
                if (!isOutdated || copy->second.isUnloading || now - copy->second.lastUse < state.options.minimumIdle) {
                    continue;
                }
            }
            const auto value = cost(id, engine, key, minimumIdle);
            if (value && (best == nullptr || *value < bestCost)) {
                best = &id;
                bestCost = *value;
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
            send(*best, engine, OrderKind::Unload, *evictionCandidate(engine, minimumIdle), 0);
        }
        return true;
    }

    [[nodiscard]] unsigned usableCopies(const AdapterKey &key) const
    {
        const auto found = usable.find(key);
        return found == usable.end() ? 0 : found->second;
    }

    void countUsableCopies()
    {
        for (const auto &[id, engine] : state.engines) {
            for (const auto &[key, copy] : engine.adapters) {
                storeTransfers += copy.isFromStore && copy.readyAt > now ? 1 : 0;
                // A copy whose load order gets no reply does not count, so that waiting calls get a copy on another engine.
                const bool isSlow = engine.orderInFlight && engine.orderedAdapter == key && now - engine.lastOrder > state.options.slowOrderDelay;
                const bool isReachable = engine.isReady && now >= engine.unreachableUntil && !isSlow && !hasUnresolvedOrder(engine, key);
                const bool isUsable = isReachable && !copy.isUnloading && copy.version >= requiredVersion(state, key);
                usable[key] += isUsable ? 1 : 0;
                unlimited[key] += isUsable && !engine.isLimited ? 1 : 0;
            }
        }
    }

    /** Mean time of a call on an engine, by Little's law over all adapters. A single adapter has too few calls for a stable mean. */
    void updateCallTime()
    {
        double rate = 0;
        unsigned running = 0;
        for (const auto &[key, demand] : state.demand) {
            rate += callsPerSecond(demand);
            for (const auto &[entry, calls] : demand.running) {
                running += calls;
            }
        }
        if (rate >= 1 && running > 0) {
            state.callTime = std::clamp<Duration>(fromSeconds(running / rate), shortestCallTime, longestCallTime);
        }
    }

    /** Calls of an adapter that run at once on average. */
    [[nodiscard]] double expectedRunning(const DemandState &demand) const
    {
        return callsPerSecond(demand) * toSeconds(state.callTime == Duration{} ? state.options.initialCallTime : state.callTime);
    }

    void updateExpectedRunning()
    {
        for (auto &[id, engine] : state.engines) {
            engine.expectedRunning = 0;
            for (const auto &[key, copy] : engine.adapters) {
                const auto demand = state.demand.find(key);
                const unsigned copies = usableCopies(key);
                if (demand != state.demand.end() && copies > 0) {
                    engine.expectedRunning += expectedRunning(demand->second) / copies;
                }
            }
        }
    }

    /** Loads the base model with the highest demand on engines without one, within the rate of the weight store. */
    void loadBaseModels()
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

    /** Base model with the most calls per engine that holds it. */
    [[nodiscard]] const catalog::BaseModelSpec &mostNeededModel(const std::string &service, const catalog::EngineSpec &spec) const
    {
        const catalog::BaseModelSpec *best = &spec.models.front();
        double bestNeed = -1;
        for (const catalog::BaseModelSpec &model : spec.models) {
            double calls = 0.01;
            for (const auto &[key, demand] : state.demand) {
                calls += key.model == model.name && demand.service == service ? callsPerSecond(demand) + waitingCalls(demand) : 0;
            }
            const auto holders = std::count_if(state.engines.begin(), state.engines.end(), [&](const auto &item) {
                return item.second.service == service && (item.second.baseModels.contains(model.name) || item.second.loadingModels.contains(model.name));
            });
            const double need = calls / static_cast<double>(holders + 1);
            if (need > bestNeed && model.weightsMb <= spec.memoryMb) {
                best = &model;
                bestNeed = need;
            }
        }
        return *best;
    }

    struct WaitingAdapter
    {
        unsigned inTime = 0;
        TimePoint since{};
        const AdapterKey *key = nullptr;
    };

    /**
     * Loads first copies of adapters with waiting calls, and copies elsewhere if all are on engines that have named a limit. When the weight store cannot
     * deliver all of them, adapters that serve the most calls in time go first; in the order of arrival, all of them would be late.
     */
    void loadWaitingAdapters()
    {
        std::vector<WaitingAdapter> waiting;
        for (const auto &[key, demand] : state.demand) {
            if (!key.adapter.empty() && waitingCalls(demand) > 0 && unlimited[key] == 0) {
                waiting.push_back({callsInTime(demand), demand.waitingSince, &key});
            }
        }
        std::sort(waiting.begin(), waiting.end(), [](const WaitingAdapter &left, const WaitingAdapter &right) {
            return left.inTime != right.inTime ? left.inTime > right.inTime : left.since < right.since;
        });
        for (const WaitingAdapter &adapter : waiting) {
            loadCopy(*adapter.key, state.demand[*adapter.key], state.options.minimumIdle, usableCopies(*adapter.key) > 0);
        }
    }

    /** Slots of an engine of @p service; they are the same for all of them by configuration. */
    [[nodiscard]] unsigned slotsOf(const std::string &service) const
    {
        const auto found = std::find_if(state.engines.begin(), state.engines.end(), [&service](const auto &item) {
            return item.second.service == service;
        });
        return found == state.engines.end() ? 1 : found->second.slots;
    }

    /**
     * Loads further copies of adapters whose calls fill more than their share of a batch on each copy. A fixed call rate in place of the
     * share leaves one popular adapter more calls than an engine with 12 slots can run.
     */
    void replicate()
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

std::vector<ModelOrder> planOrders(PlacementState &state, const catalog::CatalogIndex &catalog, TimePoint now)
{
    state.storeTransferLimit = storeTransferLimitOf(state.options, catalog);
    Planner planner{state, catalog, now, {}, 0, {}, {}};
    planner.countUsableCopies();
    planner.loadBaseModels();
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
