#pragma once

#include "mimosahollow/catalog/servicespec.h"
#include "mimosahollow/core/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::fleetsize {

struct FleetSizeOptions
{
    double highestUse = 0.85; /**< Share of slots in use up to which servers answer in time. */
    Duration quickAverage = milliseconds(500);
    Duration slowAverage = milliseconds(2500); /**< The difference of both averages is the trend. */
    Duration lead = seconds(1); /**< From a change of demand to the platform's answer, beside the boot time. */
    double mostGrowth = 2; /**< Of the demand over the boot time. */
    Duration lowerDelay = seconds(10); /**< For which the need has to be lower before each step downwards. */
    double lowerStep = 0.1; /**< Of the servers, at most. */
};

/** Calls and servers of a service in one failure domain. */
struct DomainLoad
{
    std::string domain;
    double calls = 0; /**< Running on its servers or waiting for them. */
    unsigned ready = 0; /**< Servers that take calls. */
    unsigned draining = 0; /**< Servers that finish what they have. */
    bool isUsable = true; /**< False: evacuated or cut off. */
};

struct ServiceLoad
{
    catalog::ScalingSpec scaling;
    double slots = 0; /**< Of a server. */
    std::vector<DomainLoad> domains; /**< All of the platform's, also those without a server. */
    bool isComplete = false; /**< All entry instances have reported lately. */
};

/** Moving averages of the number of calls. */
struct CallAverages
{
    double quick = 0;
    double slow = 0;
};

/** Demand and wanted servers in one failure domain. */
struct DomainSize
{
    std::optional<CallAverages> calls; /**< Empty before the first update. */
    double need = 0; /**< Servers for the predicted demand, without bounds. */
    unsigned wanted = 0;
    bool hasBeenReady = false; /**< Had a server; without one it is lost. */
    std::optional<TimePoint> lowerSince; /**< Since when fewer servers are needed. */
    unsigned mostNeeded = 0; /**< Since then. */
};

/** Number of servers of one service. Kept while this instance leads, also before it holds the duty, so that the trend is known by then. */
struct FleetSize
{
    FleetSizeOptions options;
    std::map<std::string, DomainSize> domains;
    std::optional<TimePoint> startedAt; /**< First update. */
    TimePoint updatedAt{};
};

/** Servers that a failure domain should have. */
struct DomainTarget
{
    std::string domain;
    unsigned wanted = 0;

    friend bool operator==(const DomainTarget &, const DomainTarget &) = default;
};

/**
 * Servers wanted at @p now. Call it several times a second. Failure domains whose number should stay as the previous holder of the duty has left it
 * are missing.
 */
[[nodiscard]] std::vector<DomainTarget> update(FleetSize &size, const ServiceLoad &load, TimePoint now);

} // namespace mimosahollow::fleetsize
