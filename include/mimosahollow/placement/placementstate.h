#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/placement/modelorder.h"
#include "mimosahollow/placement/orderslots.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosahollow::placement {

struct PlacementOptions
{
    /**
     * Adapters in transit from the store to all engines; beyond it each load takes longer in proportion. The sheets of the deployments name 8 at
     * 3.2 and 3.9 loads of weights a second, 40 at 20 and 48 at 22.
     */
    unsigned minimumStoreTransfers = 8;
    double storeTransfersPerLoadRate = 2; /**< Seconds: adapters in transit for each load of weights a second. */
    unsigned transfersPerServer = 4; /**< Bound of the engines. */
    Duration adapterLoadTime = milliseconds(250); /**< From the store, while the store is not overloaded (sheet). */
    Duration cachedAdapterLoadTime = milliseconds(25); /**< An engine reloads an adapter that it held recently ten times as fast. */
    Duration loadMargin = milliseconds(8); /**< Time of an order on its way and of a timer. */
    unsigned hostCacheAdapters = 140; /**< Adapters that an engine keeps in host memory, a little below the 144 of the sheet. */
    Duration reportInterval = seconds(4); /**< Of reading the state of each engine, to find what the orders do not tell. */
    Duration unloadingReportInterval = milliseconds(500); /**< Of reading an engine whose unload waits for calls; calls run for seconds. */
    Duration reportLag = milliseconds(350); /**< A report shows the state of some hundred milliseconds earlier. */
    double callRatePerCopy = 7; /**< Calls per second of one adapter above which one more copy is made: 7 x 2.5 s fill a quarter of a batch. */
    Duration minimumIdle = milliseconds(1200); /**< An adapter used later than this is not evicted for a first copy of another. */
    Duration minimumIdleForReplica = seconds(4); /**< The same for a further copy. */
    Duration waitReportLifetime = milliseconds(1500); /**< For how long a reported wait counts; entry instances report more often while calls wait. */
    Duration unreachablePeriod = milliseconds(1000); /**< After the report of an entry instance that cannot reach an engine; reports come more often. */
    /** After an order without an answer; such an engine carries orders out up to 12 s late, and it takes seconds to learn whether it did. */
    Duration unansweredPenaltyTime = seconds(4);
    Duration demandTimeConstant = seconds(3); /**< Averaging time of the demand. */
    Duration demandRetention = seconds(12); /**< Demand is forgotten after this; four averaging times leave 2% of it. */
    Duration rebalanceInterval = milliseconds(250); /**< Load of the engines and further copies are worked out so often. */
};

/** Model and adapter; the adapter is empty for the base model. */
struct AdapterKey
{
    std::string model;
    std::string adapter;

    friend bool operator==(const AdapterKey &, const AdapterKey &) = default;
    friend bool operator<(const AdapterKey &left, const AdapterKey &right) noexcept
    {
        const int models = left.model.compare(right.model);
        return models != 0 ? models < 0 : left.adapter < right.adapter;
    }
};

/** One adapter at one engine. */
struct AdapterCopy
{
    std::uint64_t version = 0;
    TimePoint readyAt{}; /**< When its load ends; it can be used from then on. */
    TimePoint lastUse{};
    bool isFromStore = false; /**< Its load occupies the weight store until readyAt. */
    bool isConfirmed = false; /**< The engine has accepted the load, or reports the copy. */
    bool isUnloading = false; /**< Its unload waits for calls that run on it; it takes its place until then. */
};

/** An engine as the leader knows it. */
struct EngineState
{
    std::string service;
    std::string address;
    std::uint64_t born = 0;
    bool hasReport = false; /**< Its state was read. */
    bool isReady = false; /**< Announces itself as ready and is in a domain that may be used. */
    bool isReplaced = false; /**< Another backend server answers at its address. */
    std::optional<std::uint64_t> sequence; /**< Unknown before the first report and after an order without an answer. */
    std::set<std::string> baseModels;
    std::map<std::string, TimePoint> loadingModels; /**< Base models in load, and when they are expected. */
    std::map<AdapterKey, AdapterCopy> adapters;
    std::map<AdapterKey, std::uint64_t> hostCache; /**< Adapters held recently, and when, as a number that grows. */
    std::uint64_t hostCacheClock = 0;
    double expectedCalls = 0; /**< Per second, by the demand for what it holds. */
    bool orderInFlight = false;
    bool reportInFlight = false;
    std::optional<ModelOrder> unresolvedOrder; /**< Order without an answer. */
    TimePoint lastOrder{};
    TimePoint reportDue{};
    TimePoint pausedUntil{}; /**< No orders before, after a conflict. */
    TimePoint penalizedUntil{}; /**< It left an order without an answer: others are ordered first until then. */
    TimePoint unreachableUntil{}; /**< An entry instance cannot reach it: its copies do not count before. */
};

/** Demand for one adapter over all entry instances. */
struct DemandState
{
    std::string service;
    struct Wait
    {
        unsigned calls = 0;
        unsigned inTime = 0; /**< Those that a load can still serve within their objective. */
        TimePoint reported{};
    };
    std::map<std::string, Wait> waiting; /**< By entry instance. */
    std::map<std::string, unsigned> running; /**< Calls on engines, by entry instance. */
    double callsPerSecond = 0;
    TimePoint rateUpdated{};
    TimePoint waitingSince{};
};

/** All that the leader knows of engines and adapters. */
struct PlacementState
{
    PlacementOptions options;
    std::uint64_t term = 0; /**< Of the leader. */
    OrderSlots slots;
    TimePoint nextRebalance{};
    unsigned storeTransferLimit = PlacementOptions{}.minimumStoreTransfers; /**< Adapters that the store delivers at once at full speed. */
    std::map<std::string, EngineState> engines;
    std::map<AdapterKey, DemandState> demand;
    std::map<std::string, std::uint64_t> requiredVersions; /**< By "model/adapter". */
    std::deque<TimePoint> recentWeightLoads; /**< Times of recent loads of weights. */
    std::set<std::string> changedEngines; /**< Engines whose placement others need to hear. */
};

} // namespace mimosahollow::placement
