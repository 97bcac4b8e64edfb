#pragma once

#include "mimosahollow/admission/retrybudget.h"
#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/fleetlink/linkmessage.h"
#include "mimosahollow/registry/serverrecord.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace mimosahollow::dispatch {

struct DispatchOptions
{
    std::string domain; /**< Of this instance. */
    double maximumBatchFill = 0.95; /**< Part of an engine's slots that is filled; the rest covers the lag of the other instances' counts. */
    unsigned plainQueueLimit = 3; /**< Calls above the slots of a plain backend server: one service time of 15 ms each, within an objective of 100 ms. */
    double otherDomainCost = 0.05; /**< As part of a batch: a call crosses to another failure domain for a difference of more than that. */
    double failureCost = 1.5; /**< Of a backend server that fails every call, in batches. */
    Duration connectFailurePause = milliseconds(600); /**< No calls to a backend server that refused a connection. */
    double coldRateShare = 1.0; /**< Part of the cold rate that is used; the bound of the platform is 1.5 times the rate. */
    double waitShare = 0.9; /**< Part of the objective for which a call waits when nothing tells that it will be served. */
    /** Part of the objective up to which a call waits for an adapter that will come: a late answer is worth something, a refusal costs a new call. */
    double adapterWaitShare = 1.7;
};

struct AdapterView
{
    std::uint64_t version = 0;
    TimePoint readyAt{};
};

/** A backend server as one entry instance sees it. */
struct ServerView
{
    registry::ServerRecord record;
    TimePoint coldUntil{};
    unsigned running = 0; /**< Calls of this instance. */
    unsigned othersRunning = 0; /**< Calls of the other instances, some hundred milliseconds old. */
    double failureRate = 0; /**< Part of the recent calls that it failed. */
    TimePoint avoidUntil{};
    std::deque<TimePoint> coldSends; /**< Calls sent lately while it was cold. */
    TimePoint firstColdSend{}; /**< First call while it is cold, where the share of this instance is below one a second; unset: not drawn yet. */
    bool hasPlacement = false; /**< The leader has said which adapters it holds. */
    std::map<std::pair<std::string, std::string>, AdapterView> adapters; /**< By model and adapter. */
    std::set<std::string> baseModels;
};

struct DispatchState
{
    DispatchOptions options;
    std::shared_ptr<const catalog::CatalogIndex> catalog; /**< Null before the first one. */
    std::set<std::string> evacuatedDomains;
    std::map<std::string, std::uint64_t> requiredVersions; /**< Oldest version allowed, by "model/adapter". */
    std::map<std::string, ServerView> servers;
    std::map<std::string, admission::RetryBudget> retryBudgets; /**< By service. */
    Duration expectedLoadTime = milliseconds(300); /**< After which an adapter is loaded that nobody waits for yet, as the leader says. */
    unsigned entryInstances = 1; /**< Entry instances of the fleet, which share the fleet-wide limits. */
    control::Term placementTerm = 0;
    std::minstd_rand random;
};

} // namespace mimosahollow::dispatch
