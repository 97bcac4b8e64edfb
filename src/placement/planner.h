#pragma once

#include "internal.h"
#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/placement/domainneeds.h"
#include "mimosahollow/placement/modelorder.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosahollow::placement {

/** Adapter that is unloaded to make room. */
struct Eviction
{
    AdapterKey key;
    double callsPerSecond = 0; /**< Decayed demand for each of its copies. */
};

/** Copies of one adapter on all engines. */
struct CopyCounts
{
    std::uint64_t requiredVersion = 0;
    TimePoint lastStart{}; /**< Of calls since the last pass; unset: none. */
    unsigned usable = 0; /**< With the required version, loaded or in transit. */
    unsigned unlimited = 0; /**< Of these, the ones on engines without a limit. */
    unsigned fresh = 0; /**< Usable ones that waiting calls may not have found yet. */
    unsigned serving = 0; /**< The usable ones and those of older versions on which calls may still begin. */
};

struct AdapterKeyHash
{
    std::size_t operator()(const AdapterKey &key) const noexcept
    {
        return std::hash<std::string>()(key.model) ^ (std::hash<std::string>()(key.adapter) * 3);
    }
};

/** One pass over all engines and all demand, which plans orders. */
struct Planner
{
    PlacementState &state;
    const catalog::CatalogIndex &catalog;
    TimePoint now;
    std::vector<ModelOrder> orders;
    unsigned storeTransfers = 0;
    std::unordered_map<AdapterKey, CopyCounts, AdapterKeyHash> copyCounts;

    // What is known of engines and demand (planner.cpp).

    [[nodiscard]] const catalog::EngineSpec *specOf(const EngineState &engine) const;
    [[nodiscard]] bool canOrder(const std::string &id, const EngineState &engine) const;
    [[nodiscard]] double callsPerSecond(const DemandState &demand) const;
    /** Calls that wait at one entry instance; 0 once its report is old. */
    [[nodiscard]] unsigned waitingCalls(const DemandState::Wait &report) const;
    [[nodiscard]] unsigned waitingCalls(const DemandState &demand) const;
    [[nodiscard]] unsigned runningCalls(const DemandState &demand) const;
    [[nodiscard]] unsigned callsInTime(const DemandState &demand) const;
    [[nodiscard]] unsigned transfersTo(const EngineState &engine) const;
    /** Whether @p engine can load the required version of @p key from its host memory. */
    [[nodiscard]] bool isInHostCache(const EngineState &engine, const AdapterKey &key) const;
    /** Whether calls run, wait or will soon come. */
    [[nodiscard]] bool isInDemand(const DemandState &demand) const;
    [[nodiscard]] bool hasRoom(const EngineState &engine, const catalog::EngineSpec &spec) const;
    /** Calls per second for each copy of @p key that may serve them; 0 if @p copy may not. */
    [[nodiscard]] double callsPerCopy(const AdapterKey &key, const AdapterCopy &copy) const;
    /**
     * Adapter with the lowest demand, among these the least recently used one, that has been idle for at least @p minimumIdle, has no waiting or
     * running calls, and is not likely to be called within seconds. Streams can run for longer than the idle time; the unload of an adapter in use
     * waits for them, and the engine accepts no load in its slot meanwhile.
     */
    [[nodiscard]] std::optional<Eviction> evictionCandidate(const EngineState &engine, Duration minimumIdle) const;
    /** Cost of loading @p key on @p engine; nullopt when the engine cannot load it now. */
    [[nodiscard]] std::optional<double> cost(const std::string &id, const EngineState &engine, const AdapterKey &key, Duration minimumIdle) const;
    /** Calls that wait or run, by the failure domain of their entry instance. */
    [[nodiscard]] DomainCounts callsByDomain(const DemandState &demand) const;
    /** Engines that hold @p key or load it, by failure domain. */
    [[nodiscard]] DomainCounts copiesByDomain(const AdapterKey &key) const;
    [[nodiscard]] CopyCounts countsOf(const AdapterKey &key) const;
    [[nodiscard]] unsigned usableCopies(const AdapterKey &key) const;
    [[nodiscard]] unsigned servingCopies(const AdapterKey &key) const;
    void examineCopies();
    void updateHostCacheSizes();
    /** Mean time of a call on an engine, by Little's law over all adapters. A single adapter has too few calls for a stable mean. */
    void updateCallTime();
    /** Calls of an adapter that run at once on average. */
    [[nodiscard]] double expectedRunning(const DemandState &demand) const;
    void updateExpectedRunning();
    /** Base model with the most calls per engine that holds it. */
    [[nodiscard]] const catalog::BaseModelSpec &mostNeededModel(const std::string &service, const catalog::EngineSpec &spec) const;
    /** Slots of an engine of @p service; they are the same for all of them by configuration. */
    [[nodiscard]] unsigned slotsOf(const std::string &service) const;

    // Orders (planorders.cpp).

    void send(const std::string &id, EngineState &engine, OrderKind kind, const AdapterKey &key, std::uint64_t version);
    void sendAdapterLoad(const std::string &id, EngineState &engine, const AdapterKey &key);
    /**
     * Orders a load of @p key on the engine with the lowest cost, or an unload to make room; with @p unlimitedOnly on engines without a limit
     * only. Returns false if no engine can take it.
     */
    bool loadCopy(const AdapterKey &key, const DemandState &demand, Duration minimumIdle, bool unlimitedOnly = false);
    /** Loads the base model with the highest demand on engines without one, within the rate of the weight store. */
    void loadBaseModels();
    /**
     * Loads copies of new versions of adapters in demand while older copies serve the calls, as many as the calls need. Loaded when calls wait,
     * the new version would cost each popular adapter a load time in which no call is served.
     */
    void loadNewVersions();
    /** Unloads one of several older copies of @p key, for the case that every engine that could load the new version holds one. */
    void unloadOlderCopy(const AdapterKey &key);
    /** Copies to load for the calls that wait for @p key, beyond those that they may not have found yet. */
    [[nodiscard]] unsigned copiesForWaitingCalls(const AdapterKey &key, const DemandState &demand) const;
    /**
     * Loads copies of adapters with waiting calls, also beside copies that are full or on engines that have named a limit. When the weight store cannot
     * deliver all of them, copies that serve the most calls in time go first; in the order of arrival, all of them would be late.
     */
    void loadWaitingAdapters();
    /**
     * Loads further copies of adapters whose calls fill more than their share of a batch on each copy. A fixed call rate in place of the
     * share leaves one popular adapter more calls than an engine with 12 slots can run.
     */
    void replicate();
};

} // namespace mimosahollow::placement
