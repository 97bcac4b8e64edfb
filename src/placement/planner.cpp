#include "planner.h"

#include "mimosahollow/placement/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace mimosahollow::placement {

namespace {

/**
 * Added to the cost of an engine after an order without a reply. Exceeds all other parts of the cost, so that the engine gets orders only
 * when no other can.
 */
constexpr double unansweredPenaltyCost = 20;
constexpr double limitPenaltyCost = 8; // more than a load from the weight store: calls on an engine with a limit wait for permits
// Limits of the mean call time. Right after the start of a term, running calls are reported before the rate that caused them.
constexpr Duration shortestCallTime = milliseconds(100);
constexpr Duration longestCallTime = seconds(10);
constexpr double largestAdapterLoad = 2; // in shares of a batch; more calls get further copies
/**
 * Part of the pace's cost that does not depend on load: calls of a rare adapter are late on a slow engine too. Below unloadCost for an engine at 2.4
 * times the median, so that a free slot there is used before a copy elsewhere is evicted.
 */
constexpr double idlePaceCost = 0.15;
constexpr double unloadCost = 0.3;
constexpr double evictedCallsCost = 5; // for each call per second that the evicted adapter gets: as much as a load from the store at likelyCallRate
constexpr double likelyCallRate = 0.4; // calls per second of a copy, from which on its next call is likely within 2 to 3 s
constexpr double rareCallRate = 0.05; // calls per second, below which a new version is loaded only once a call waits for it

bool hasUnresolvedOrder(const EngineState &engine, const AdapterKey &key)
{
    return engine.unresolvedOrder && engine.unresolvedOrder->model == key.model && engine.unresolvedOrder->adapter == key.adapter;
}

} // namespace

const catalog::EngineSpec *Planner::specOf(const EngineState &engine) const
{
    const catalog::ServiceSpec *service = catalog.findService(engine.service);
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

bool Planner::canOrder(const std::string &id, const EngineState &engine) const
{
    return canSendOrders(state.slots, orderSlotFor(id), now) && engine.isReady && !engine.isReplaced && now >= engine.unreachableUntil && engine.sequence
           && !engine.orderInFlight && !engine.unresolvedOrder && now >= engine.pausedUntil;
}

double Planner::callsPerSecond(const DemandState &demand) const
{
    return rateAt(demand.calls, state.options.demandTimeConstant, now);
}

unsigned Planner::waitingCalls(const DemandState::Wait &report) const
{
    return now - report.reported <= state.options.waitReportLifetime ? report.calls : 0;
}

unsigned Planner::waitingCalls(const DemandState &demand) const
{
    unsigned count = 0;
    for (const auto &[entry, report] : demand.waiting) {
        count += waitingCalls(report);
    }
    return count;
}

unsigned Planner::runningCalls(const DemandState &demand) const
{
    return std::accumulate(demand.running.begin(), demand.running.end(), 0U, [](unsigned sum, const auto &item) {
        return sum + item.second;
    });
}

unsigned Planner::callsInTime(const DemandState &demand) const
{
    unsigned count = 0;
    for (const auto &[entry, report] : demand.waiting) {
        // A report older than a load no longer tells how many calls can still meet their objective.
        count += now - report.reported <= state.loadTime.value ? report.inTime : 0;
    }
    return count;
}

unsigned Planner::transfersTo(const EngineState &engine) const
{
    return static_cast<unsigned>(std::count_if(engine.adapters.begin(), engine.adapters.end(), [this](const auto &copy) {
        return copy.second.readyAt > now;
    }));
}

bool Planner::isInHostCache(const EngineState &engine, const AdapterKey &key) const
{
    const auto cached = engine.hostCache.find(key);
    return cached != engine.hostCache.end() && cached->second.version >= requiredVersion(state, key);
}

bool Planner::isInDemand(const DemandState &demand) const
{
    return !demand.running.empty() || waitingCalls(demand) > 0 || callsPerSecond(demand) >= rareCallRate;
}

bool Planner::hasRoom(const EngineState &engine, const catalog::EngineSpec &spec) const
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

double Planner::callsPerCopy(const AdapterKey &key, const AdapterCopy &copy) const
{
    const auto demand = state.demand.find(key);
    if (demand == state.demand.end() || !acceptsVersion(state, key, copy.version, now)) {
        return 0;
    }
    return callsPerSecond(demand->second) / std::max(1U, servingCopies(key));
}

std::optional<Eviction> Planner::evictionCandidate(const EngineState &engine, Duration minimumIdle) const
{
    std::optional<Eviction> best;
    TimePoint lastUse{};
    for (const auto &[key, copy] : engine.adapters) {
        if (copy.isUnloading || copy.readyAt > now - minimumIdle || copy.lastUse > now - minimumIdle) {
            continue;
        }
        const auto demand = state.demand.find(key);
        if (demand != state.demand.end() && (!demand->second.running.empty() || waitingCalls(demand->second) > 0)) {
            continue;
        }
        const double calls = callsPerCopy(key, copy);
        if (calls >= likelyCallRate) {
            continue;
        }
        if (!best || calls < best->callsPerSecond || (calls == best->callsPerSecond && copy.lastUse < lastUse)) {
            best = Eviction{key, calls};
            lastUse = copy.lastUse;
        }
    }
    return best;
}

std::optional<double> Planner::cost(const std::string &id, const EngineState &engine, const AdapterKey &key, Duration minimumIdle) const
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
    double evictionCost = 0;
    if (engine.adapters.contains(key)) {
        evictionCost = unloadCost; // of the outdated copy, which makes the room
    } else if (!isFree) {
        const auto eviction = evictionCandidate(engine, minimumIdle);
        if (!eviction) {
            return std::nullopt;
        }
        evictionCost = unloadCost + evictedCallsCost * eviction->callsPerSecond;
    }
    // The hash prefers the same engine for every load of an adapter, since that engine has it in host memory.
    const std::string name = key.model + "/" + key.adapter + "@" + id;
    const double affinityCost = static_cast<double>(XXH3_64bits(name.data(), name.size()) % 1024) / 1024;
    const double limitPenalty = engine.isLimited ? limitPenaltyCost : 0;
    const double unansweredPenalty = now < engine.penalizedUntil ? unansweredPenaltyCost : 0;
    const double fullShare = engine.slots * state.options.batchSharePerCopy;
    const double engineLoad = engine.expectedRunning / fullShare;
    const auto demand = state.demand.find(key);
    const double adapterLoad = demand == state.demand.end() ? 0 : expectedRunning(demand->second) / (servingCopies(key) + 1) / fullShare;
    const double paceCost = (engine.pace - 1) * (idlePaceCost + engineLoad + std::min(adapterLoad, largestAdapterLoad));
    return engineLoad + paceCost + (isCached ? 0 : 2) + evictionCost + affinityCost + limitPenalty + unansweredPenalty;
}

DomainCounts Planner::callsByDomain(const DemandState &demand) const
{
    DomainCounts calls;
    const auto add = [this, &calls](const std::string &entry, unsigned count) {
        if (const auto domain = state.entryDomains.find(entry); domain != state.entryDomains.end()) {
            calls[domain->second] += count;
        }
    };
    for (const auto &[entry, report] : demand.waiting) {
        add(entry, waitingCalls(report));
    }
    for (const auto &[entry, count] : demand.running) {
        add(entry, count);
    }
    return calls;
}

DomainCounts Planner::copiesByDomain(const AdapterKey &key) const
{
    DomainCounts copies;
    if (servingCopies(key) == 0) {
        return copies; // as for most loads, so that not all engines need to be searched
    }
    for (const auto &[id, engine] : state.engines) {
        if (const auto copy = engine.adapters.find(key); copy != engine.adapters.end() && acceptsVersion(state, key, copy->second.version, now)) {
            ++copies[engine.domain];
        }
    }
    return copies;
}

CopyCounts Planner::countsOf(const AdapterKey &key) const
{
    const auto found = copyCounts.find(key);
    return found == copyCounts.end() ? CopyCounts{} : found->second;
}

unsigned Planner::usableCopies(const AdapterKey &key) const
{
    return countsOf(key).usable;
}

unsigned Planner::servingCopies(const AdapterKey &key) const
{
    return countsOf(key).serving;
}

/** Counts the copies and notes their last use. One pass does both, and looks up each adapter once: 3,000 engines have 24,000 copies. */
void Planner::examineCopies()
{
    for (auto &[id, engine] : state.engines) {
        const bool isEngineReachable = engine.isReady && now >= engine.unreachableUntil;
        const bool isOrderSlow = engine.orderInFlight && now - engine.lastOrder > state.options.slowOrderDelay;
        for (auto &[key, copy] : engine.adapters) {
            storeTransfers += copy.isFromStore && copy.readyAt > now ? 1 : 0;
            const auto [position, isNew] = copyCounts.try_emplace(key);
            CopyCounts &counts = position->second;
            if (isNew) {
                counts.requiredVersion = requiredVersion(state, key);
                const auto start = state.startedCalls.find(key);
                counts.lastStart = start == state.startedCalls.end() ? TimePoint{} : start->second;
            }
            const bool hasRequiredVersion = copy.version >= counts.requiredVersion;
            if (!hasRequiredVersion && !acceptsVersion(state, key, copy.version, now)) {
                continue;
            }
            copy.lastUse = std::max(copy.lastUse, counts.lastStart);
            // A copy whose load order gets no reply does not count, so that waiting calls get a copy on another engine.
            const bool isSlow = isOrderSlow && engine.orderedAdapter == key;
            if (!isEngineReachable || isSlow || copy.isUnloading || hasUnresolvedOrder(engine, key)) {
                continue;
            }
            ++counts.serving;
            counts.usable += hasRequiredVersion ? 1 : 0;
            counts.unlimited += hasRequiredVersion && !engine.isLimited ? 1 : 0;
            counts.fresh += hasRequiredVersion && now - copy.readyAt < state.options.waitReportDelay ? 1 : 0;
        }
    }
    state.startedCalls.clear();
}

void Planner::updateHostCacheSizes()
{
    for (auto &[id, engine] : state.engines) {
        const catalog::EngineSpec *spec = specOf(engine);
        engine.hostCacheSize = spec == nullptr ? 0 : static_cast<unsigned>(spec->adapterSlots * state.options.hostCachePerSlot);
    }
}

void Planner::updateCallTime()
{
    double rate = 0;
    unsigned running = 0;
    for (const auto &[key, demand] : state.demand) {
        rate += callsPerSecond(demand);
        running += runningCalls(demand);
    }
    if (rate >= 1 && running > 0) {
        state.callTime = std::clamp<Duration>(fromSeconds(running / rate), shortestCallTime, longestCallTime);
    }
}

double Planner::expectedRunning(const DemandState &demand) const
{
    return callsPerSecond(demand) * toSeconds(state.callTime == Duration{} ? state.options.initialCallTime : state.callTime);
}

void Planner::updateExpectedRunning()
{
    for (auto &[id, engine] : state.engines) {
        engine.expectedRunning = 0;
        for (const auto &[key, copy] : engine.adapters) {
            const auto demand = state.demand.find(key);
            const unsigned copies = servingCopies(key);
            if (demand != state.demand.end() && copies > 0) {
                engine.expectedRunning += expectedRunning(demand->second) / copies;
            }
        }
    }
}

const catalog::BaseModelSpec &Planner::mostNeededModel(const std::string &service, const catalog::EngineSpec &spec) const
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

unsigned Planner::slotsOf(const std::string &service) const
{
    const auto found = std::find_if(state.engines.begin(), state.engines.end(), [&service](const auto &item) {
        return item.second.service == service;
    });
    return found == state.engines.end() ? 1 : found->second.slots;
}

} // namespace mimosahollow::placement
