#pragma once

#include "mimosahollow/core/decayingrate.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/placement/loadtime.h"
#include "mimosahollow/placement/modelorder.h"
#include "mimosahollow/placement/olderversions.h"
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
     * Adapters in transit from the weight store to all engines; above the limit each load takes proportionally longer. The specifications of
     * the deployments give a limit of 8 at 3.2 and 3.9 weight loads per second, 40 at 20 and 48 at 22.
     */
    unsigned minimumStoreTransfers = 8;
    double storeTransfersPerLoadRate = 2; /**< Adapters in transit per (weight load per second), in seconds. */
    unsigned transfersPerServer = 4; /**< Concurrent adapter transfers that an engine accepts. */
    Duration loadMargin = milliseconds(8); /**< Allowance for the transit of an order and for timer delay. */
    /**
     * Adapters that an engine is assumed to cache in host memory, for each of its adapter slots. Slightly below the least that the specifications
     * of the deployments give, 6 to 6.4: an adapter that is not there after all is loaded ten times as slowly as planned, and its calls come too early.
     */
    double hostCachePerSlot = 5.8;
    Duration reportInterval = seconds(4); /**< Between reads of an engine's state, which find changes that did not come from orders. */
    Duration unloadingReportInterval = milliseconds(500); /**< The same while an unload waits for running calls, which take seconds. */
    Duration failedReportInterval = milliseconds(500); /**< Until the next read after a failed one; below unreachablePeriod. */
    Duration lateOrderTime = seconds(15); /**< Within which an order without a reply may be executed: 12 s by specification. */
    Duration reportLag = milliseconds(350); /**< A report may show the state of several hundred milliseconds before. */
    /** Part of an engine's batch that calls of one adapter may fill on average before it is replicated; the rest absorbs bursts and other adapters. */
    double batchSharePerCopy = 0.25;
    Duration initialCallTime = milliseconds(2500); /**< Assumed time that a call runs, until reports tell. */
    Duration minimumIdle = milliseconds(1200); /**< Minimum time since the last use of an adapter that is evicted for the first copy of another one. */
    Duration minimumIdleForReplica = seconds(4); /**< The same for a further copy. */
    Duration waitReportLifetime = milliseconds(1500); /**< Validity of reported waiting calls; entry instances report more often while calls wait. */
    Duration waitReportDelay = milliseconds(200); /**< Until reports no longer count calls that have found a new copy: an interval and its transit. */
    double waitingSharePerCopy = 0.5; /**< Part of an engine's batch that waiting calls of one adapter may fill; the rest is left for its other adapters. */
    Duration unreachablePeriod = milliseconds(1000); /**< After an entry instance fails to connect to an engine; it repeats the report sooner. */
    /** Penalty period after an order without a reply: the engine may execute it up to 12 s late, and it takes seconds to learn whether it did. */
    Duration unansweredPenaltyTime = seconds(4);
    /** An order that is answered is answered within 15 ms. After this time its adapter is loaded elsewhere too if calls wait for it. */
    Duration slowOrderDelay = milliseconds(80);
    Duration demandTimeConstant = seconds(3); /**< Of the exponential average of the call rate. */
    Duration demandRetention = seconds(12); /**< Without a report, demand is dropped after four time constants, when 2% of the rate is left. */
    Duration rebalanceInterval = milliseconds(250); /**< Between updates of the engines' load and of the number of copies. */
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

/** Copy of an adapter on an engine. */
struct AdapterCopy
{
    std::uint64_t version = 0;
    TimePoint readyAt{}; /**< Expected end of the load, from which on the copy is usable. */
    TimePoint lastUse{};
    bool isFromStore = false; /**< The load uses the weight store until readyAt. */
    bool isConfirmed = false; /**< The engine has accepted the load or has reported the copy. */
    bool mayBeUnloading = false; /**< An order without a reply may unload it. */
    bool isUnloading = false; /**< The unload waits for running calls; the copy occupies its slot until then. */
};

/** State of an engine as known to the leader. */
struct EngineState
{
    std::string service;
    std::string address;
    std::string domain;
    unsigned slots = 1; /**< Calls that it runs at once. */
    std::uint64_t born = 0; /**< Start time of the incarnation. */
    bool hasReport = false; /**< Its state was read at least once. */
    bool isReady = false; /**< It announces itself as ready, and its failure domain is not evacuated. */
    bool isLimited = false; /**< It has named a limit for its calls. */
    bool isReplaced = false; /**< Another backend server answers at its address. */
    std::optional<std::uint64_t> sequence; /**< Number of accepted orders; unknown before the first report and after an order without a reply. */
    std::set<std::string> baseModels;
    std::map<std::string, TimePoint> loadingModels; /**< Base models being loaded, with the expected end of the load. */
    std::map<AdapterKey, AdapterCopy> adapters;
    struct CachedAdapter
    {
        std::uint64_t lastUse = 0; /**< Logical time, for LRU eviction. */
        std::uint64_t version = 0; /**< 0: unknown, older than any named version. */
    };
    std::map<AdapterKey, CachedAdapter> hostCache; /**< Adapters assumed to be in host memory. */
    std::uint64_t hostCacheClock = 0; /**< Last logical time in hostCache. */
    unsigned hostCacheSize = 0; /**< Adapters that it is assumed to cache there; 0: not known yet. */
    double pace = 1; /**< Time that its work takes; 1 for the median of its service. */
    double expectedRunning = 0; /**< Calls running at once, from the demand for its adapters. */
    bool orderInFlight = false;
    bool reportInFlight = false;
    AdapterKey orderedAdapter; /**< Of the order in flight. */
    std::optional<ModelOrder> unresolvedOrder; /**< Order without a reply, whose effect is unknown. */
    TimePoint lastOrder{};
    TimePoint reportDue{};
    TimePoint lastReport{}; /**< Time of the last report read, or of the last failure to read one. */
    TimePoint pausedUntil{}; /**< No orders are sent before, after a conflict or a rejection. */
    TimePoint penalizedUntil{}; /**< Other engines are preferred until then, after an order without a reply. */
    TimePoint unreachableUntil{}; /**< Its copies do not count until then, because an entry instance cannot connect to it. */
};

/** Demand for one adapter from all entry instances. */
struct DemandState
{
    std::string service;
    struct Wait
    {
        unsigned calls = 0;
        unsigned inTime = 0; /**< Calls that still meet their latency objective if the adapter is loaded now. */
        TimePoint reported{};
    };
    std::map<std::string, Wait> waiting; /**< By entry instance. */
    std::map<std::string, unsigned> running; /**< Calls on engines, by entry instance. */
    DecayingRate calls;
    TimePoint waitingSince{}; /**< First report of a waiting call after a time without any. */
};

/** State of the placement of adapters on engines, kept by the leader. */
struct PlacementState
{
    PlacementOptions options;
    std::uint64_t term = 0; /**< Of the leader. */
    OrderSlots slots;
    LoadTimeEstimate loadTime; /**< From the weight store while it is not overloaded. */
    TimePoint nextRebalance{};
    Duration callTime{}; /**< Mean time that a call runs on an engine; 0: not known yet. */
    unsigned storeTransferLimit = PlacementOptions{}.minimumStoreTransfers; /**< Concurrent adapter transfers that the weight store serves at full speed. */
    std::map<std::string, EngineState> engines;
    std::map<AdapterKey, DemandState> demand;
    std::map<std::string, std::string> entryDomains; /**< Failure domains of the entry instances, by name. */
    std::map<AdapterKey, TimePoint> startedCalls; /**< When calls last began, for adapters with calls that began since the last plan. */
    std::map<std::string, std::uint64_t> requiredVersions; /**< Oldest version that calls may use, by "model/adapter". */
    bool hasVersions = false; /**< False before the first versions of the term, which may have been in force for long. */
    std::map<std::string, OlderVersions> olderVersions; /**< By "model/adapter". */
    std::deque<TimePoint> recentWeightLoads; /**< Start times of recent base model loads. */
    std::set<std::string> changedEngines; /**< Engines whose placement has changed since the last broadcast. */
};

} // namespace mimosahollow::placement
