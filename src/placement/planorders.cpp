#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/placement/placement.h"

#include "internal.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace mimosahollow::placement {

namespace {

/** Longest time over which loads of weights are counted against the rate of the store. */
constexpr Duration storeWindow = seconds(5);
/** Of an engine that left an order without an answer; above all other parts of the cost, so that it is ordered only when no other can be. */
constexpr double unansweredCost = 20;

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
    std::map<AdapterKey, unsigned> usable; // copies that have the required version, loaded or on their way

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
        const double age = std::max(0.0, toSeconds(now - demand.rateUpdated));
        return demand.callsPerSecond * std::exp(-age / toSeconds(state.options.demandTimeConstant));
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
            // A report that is older than a load says nothing of the objective any more.
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

    [[nodiscard]] bool isInHostCache(const EngineState &engine, const AdapterKey &key) const
    {
        return engine.hostCache.contains(key);
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
     * The adapter that has been idle for longest, if that is at least @p minimumIdle and no call waits for it or runs on it. Load pattern: streams
     * run for longer than the idle time. An unload in use waits for them, and the engine takes no load in its place.
     */
    [[nodiscard]] std::optional<AdapterKey> victim(const EngineState &engine, Duration minimumIdle) const
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
        engine.lastOrder = now;
        state.changedEngines.insert(id);
    }

    void sendAdapterLoad(const std::string &id, EngineState &engine, const AdapterKey &key)
    {
        const bool isCached = isInHostCache(engine, key) && !engine.adapters.contains(key);
        Duration time = state.options.cachedAdapterLoadTime;
        if (!isCached) {
            ++storeTransfers;
            time = state.options.adapterLoadTime * std::max(1U, (storeTransfers + state.storeTransferLimit - 1) / state.storeTransferLimit);
        }
        const std::uint64_t version = requiredVersion(state, key);
        engine.adapters[key] = {version, now + time + state.options.loadMargin, now, !isCached, false, false};
        touchHostCache(state, engine, key);
        ++usable[key];
        send(id, engine, OrderKind::Load, key, version);
    }

    /** Cost of a load on @p engine; lower is better, nothing when it cannot take it now. */
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
        const bool isFree = hasRoom(engine, *spec);
        if (!isFree && !victim(engine, minimumIdle)) {
            return std::nullopt;
        }
        // The hash makes an adapter return to the engine that keeps it in host memory.
        const std::string name = key.model + "/" + key.adapter + "@" + id;
        const double spread = static_cast<double>(XXH3_64bits(name.data(), name.size()) % 1024) / 1024;
        const double answers = now < engine.penalizedUntil ? unansweredCost : 0;
        return engine.expectedCalls / state.options.callRatePerCopy + (isCached ? 0 : 2) + (isFree ? 0 : 0.3) + spread + answers;
    }

    bool place(const AdapterKey &key, const DemandState &demand, Duration minimumIdle)
    {
        const std::string *best = nullptr;
        double bestCost = 0;
        for (auto &[id, engine] : state.engines) {
            if (engine.service != demand.service) {
                continue;
            }
            if (const auto copy = engine.adapters.find(key); copy != engine.adapters.end()) {
                // A new version waits for the calls on the earlier one: another engine has it sooner.
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
        if (engine.adapters.contains(key) || hasRoom(engine, *specOf(engine))) {
            sendAdapterLoad(*best, engine, key);
        } else {
            send(*best, engine, OrderKind::Unload, *victim(engine, minimumIdle), 0);
        }
        return true;
    }

    [[nodiscard]] unsigned usableCopies(const AdapterKey &key) const
    {
        const auto found = usable.find(key);
        return found == usable.end() ? 0 : found->second;
    }

    void countCopies()
    {
        for (const auto &[id, engine] : state.engines) {
            for (const auto &[key, copy] : engine.adapters) {
                storeTransfers += copy.isFromStore && copy.readyAt > now ? 1 : 0;
                // Load pattern: engines leave orders without an answer. Calls that wait for such a copy get one on another engine.
                const bool isReachable = engine.isReady && now >= engine.unreachableUntil && !hasUnresolvedOrder(engine, key);
                usable[key] += isReachable && !copy.isUnloading && copy.version >= requiredVersion(state, key) ? 1 : 0;
            }
        }
    }

    void countLoad()
    {
        for (auto &[id, engine] : state.engines) {
            engine.expectedCalls = 0;
            for (const auto &[key, copy] : engine.adapters) {
                const auto demand = state.demand.find(key);
                const unsigned copies = usableCopies(key);
                if (demand != state.demand.end() && copies > 0) {
                    engine.expectedCalls += callsPerSecond(demand->second) / copies;
                }
            }
        }
    }

    /** Engines without weights get the base model that is asked for most; the rate of the store bounds how many at once. */
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
            const catalog::BaseModelSpec &model = scarcest(engine.service, *spec);
            engine.loadingModels[model.name] = now + model.loadTime;
            state.recentWeightLoads.push_back(now);
            engine.reportDue = now + model.loadTime;
            send(id, engine, OrderKind::Load, {model.name, {}}, 0);
        }
    }

    /** The model with the most calls for each engine that holds it. */
    [[nodiscard]] const catalog::BaseModelSpec &scarcest(const std::string &service, const catalog::EngineSpec &spec) const
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

    struct Wanted
    {
        unsigned inTime = 0;
        TimePoint since{};
        const AdapterKey *key = nullptr;
    };

    /**
     * First copies for what calls wait for. Where more adapters are waited for than the store delivers, those go first that
     * serve the most calls in time; in the order of their wait all of them would be late.
     */
    void placeWaiting()
    {
        std::vector<Wanted> waiting;
        for (const auto &[key, demand] : state.demand) {
            if (!key.adapter.empty() && waitingCalls(demand) > 0 && usableCopies(key) == 0) {
                waiting.push_back({callsInTime(demand), demand.waitingSince, &key});
            }
        }
        std::sort(waiting.begin(), waiting.end(), [](const Wanted &left, const Wanted &right) {
            return left.inTime != right.inTime ? left.inTime > right.inTime : left.since < right.since;
        });
        for (const Wanted &wanted : waiting) {
            place(*wanted.key, state.demand[*wanted.key], state.options.minimumIdle);
        }
    }

    /** Further copies where one engine would carry too many calls of one adapter. */
    void replicate()
    {
        for (const auto &[key, demand] : state.demand) {
            const unsigned copies = usableCopies(key);
            if (!key.adapter.empty() && copies > 0 && callsPerSecond(demand) > state.options.callRatePerCopy * copies
                && storeTransfers < state.storeTransferLimit / 2) {
                place(key, demand, state.options.minimumIdleForReplica);
            }
        }
    }
};

/** Load pattern: a large fleet asks for many rare adapters; a bound for a small store would leave most of its delivery unused. */
unsigned storeTransferLimitOf(const PlacementOptions &options, const catalog::CatalogIndex &catalog)
{
    double loads = 0;
    for (const catalog::ServiceSpec &service : catalog.catalog().services) {
        loads = std::max(loads, service.engine ? service.engine->storeLoadsPerSecond : 0);
    }
    return std::max(options.minimumStoreTransfers, static_cast<unsigned>(loads * options.storeTransfersPerLoadRate));
}

void forgetIdleDemand(PlacementState &state, TimePoint now)
{
    std::erase_if(state.demand, [&state, now](const auto &item) {
        return item.second.running.empty() && now - item.second.rateUpdated > state.options.demandRetention;
    });
}

} // namespace

std::vector<ModelOrder> planOrders(PlacementState &state, const catalog::CatalogIndex &catalog, TimePoint now)
{
    state.storeTransferLimit = storeTransferLimitOf(state.options, catalog);
    Planner planner{state, catalog, now, {}, 0, {}};
    planner.countCopies();
    planner.loadBaseModels();
    planner.placeWaiting();
    if (now >= state.nextRebalance) {
        state.nextRebalance = now + state.options.rebalanceInterval;
        forgetIdleDemand(state, now);
        planner.countLoad();
        planner.replicate();
    }
    return std::move(planner.orders);
}

} // namespace mimosahollow::placement
