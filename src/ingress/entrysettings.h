#pragma once

#include "ingress/headernames.h"
#include "mimosahollow/allowance/quotacache.h"
#include "mimosahollow/callerlimits/callerholdings.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/dispatch/dispatchstate.h"
#include "mimosahollow/hedging/secondcopy.h"

#include <string>
#include <vector>

namespace mimosahollow::ingress {

struct EntrySettings
{
    std::string name;
    std::string domain;
    std::string address; /**< Listen address for clients. */
    std::vector<std::string> seeds; /**< Link addresses of coordinators. */
    HeaderNames headers;
    /** How long the state counts as current after the leader confirmed it. Must be below the time within which a withdrawn API key must stop working. */
    Duration freshness = milliseconds(4000);
    Duration idleReportInterval = milliseconds(500); /**< While no calls run or wait. */
    Duration urgentReportDelay = milliseconds(3); /**< Batches adapters that calls start to wait for at the same time into one report. */
    Duration adapterLoadTime = milliseconds(280); /**< From a report until an adapter loaded from the store is usable, unless the leader tells. */
    Duration retryMargin = milliseconds(700); /**< A refused call is expected back up to this long after its Retry-After, which is randomised by 30%. */
    Duration tokenTimeout = milliseconds(400); /**< Limit of the wait for granted tokens: several round trips to the leader and the start of a new one. */
    Duration stateTimeout = milliseconds(350); /**< Limit of the wait for a confirmed state; shorter than the shortest latency objective of a model call. */
    double retryRatio = 0.15; /**< Retries per request. Below the platform's budget by as much as the counts of other instances may lag. */
    double retryReserve = 30; /**< Retries of the whole fleet allowed in addition to the ratio. */
    Duration lossTimeout = milliseconds(1200); /**< A backend server that acknowledges no data for this long is lost; tolerates one lost packet. */
    /** To a backend server, a few milliseconds away. A lost first packet is repeated after a second only, so a longer wait gains nothing. */
    Duration connectTimeout = milliseconds(200);
    Duration drainTimeout = milliseconds(7700); /**< From the stop signal until remaining calls are aborted; below the platform's grace period. */
    /**
     * How long new calls are accepted after the stop signal: the load balancer probes once per second and needs two failed probes.
     * Calls accepted later could not finish in time.
     */
    Duration lameDuck = milliseconds(2800);
    /** A request arrives within this time after its connection was opened; several round trips, so that one lost packet is tolerated. */
    Duration requestTransit = milliseconds(400);
    std::size_t bufferedResponseBytes = 65'536; /**< Larger responses are forwarded before they are complete. */
    /**
     * Length of the windows in which calls are counted by organisation, the same as that of the coordinators; 0: not counted. Nothing is reported
     * before the leader has told the time of the fleet, which it does only if usage reports are its duty.
     */
    Duration usageWindow{};
    hedging::HedgingOptions hedging; /**< Second copies of slow calls; none by default. */
    /** Far above what callers within the limits of the configuration need: 15 of the largest requests at a time. */
    callerlimits::CallerBudget callers{10'000, std::size_t{64} << 20U};
    dispatch::DispatchOptions dispatch;
    allowance::QuotaCacheOptions quotaCache;
};

} // namespace mimosahollow::ingress
