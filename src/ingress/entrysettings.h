#pragma once

#include "ingress/headernames.h"
#include "mimosahollow/allowance/quotacache.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/dispatch/dispatchstate.h"

#include <string>
#include <vector>

namespace mimosahollow::ingress {

struct EntrySettings
{
    std::string name;
    std::string domain;
    std::string address; /**< Where callers connect. */
    std::vector<std::string> seeds; /**< Link addresses of coordinators. */
    HeaderNames headers;
    /** For how long the state counts as current after the leader has confirmed it; below the time in which a withdrawn key must be dead. */
    Duration freshness = milliseconds(4000);
    Duration reportInterval = milliseconds(150); /**< While calls run. */
    Duration idleReportInterval = milliseconds(500);
    Duration urgentReportDelay = milliseconds(3); /**< Collects the adapters that calls begin to wait for at the same moment. */
    Duration adapterLoadTime = milliseconds(280); /**< From a report until an adapter from the store can be used. */
    Duration retryMargin = milliseconds(700); /**< A refused call is expected so long after the time it was told; it is spread by 30% of that. */
    Duration tokenTimeout = milliseconds(400); /**< Several round trips to the leader, and the start of a new one. */
    Duration stateTimeout = milliseconds(350); /**< For a confirmed state; leaves a part of the shortest objective of a model call. */
    double retryRatio = 0.15; /**< Of the platform's budget, less what other instances' counts may be late by. */
    double retryReserve = 30; /**< Retries of the whole fleet above the ratio. */
    Duration lossTimeout = milliseconds(1200); /**< A backend server that confirms nothing for so long is lost; above one lost packet. */
    Duration connectTimeout = milliseconds(500);
    Duration drainTimeout = milliseconds(7700); /**< From the stop signal until the last call is cut; below the platform's grace time. */
    /** Calls are taken for so long after a stop signal: the balancer needs two misses of its question each second. Later ones could not end in time. */
    Duration lameDuck = milliseconds(2800);
    std::size_t bufferedResponseBytes = 65'536; /**< Larger answers are passed on before they are complete. */
    dispatch::DispatchOptions dispatch;
    allowance::QuotaCacheOptions quotaCache;
};

} // namespace mimosahollow::ingress
