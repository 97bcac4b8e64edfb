#include "mimosahollow/controltraffic/intervals.h"

#include <algorithm>

namespace mimosahollow::controltraffic {

namespace {

/** A digest has 6 bytes for each server in use: 24 KB/s for its receiver, however many servers there are. */
constexpr Duration digestTimePerServer = std::chrono::microseconds(250);
constexpr Duration shortestDigestInterval = milliseconds(100);
constexpr Duration shortestDigestTimeout = milliseconds(1000);
constexpr int digestsBeforeTimeout = 3;

/** The leader answers each report: 1,000 a second at most. */
constexpr Duration reportTimePerInstance = milliseconds(1);
constexpr Duration shortestReportInterval = milliseconds(150);

/** A plan takes 1.9 us for each engine, so that plans use a tenth of a core at most. */
constexpr Duration planTimePerEngine = std::chrono::microseconds(20);
constexpr Duration shortestPlanInterval = milliseconds(8); // short compared with the 250 ms that a load takes

/** 100 repeated placements a second at most, each to all entry instances. */
constexpr Duration refreshTimePerEngine = milliseconds(10);
constexpr Duration shortestPlacementRefresh = seconds(5);

/** 4,000 messages a second at most. When many servers start at once, each would else cause a message of its own to every connection. */
constexpr Duration updateTimePerReceiver = std::chrono::microseconds(250);

Duration total(std::size_t count, Duration each)
{
    return static_cast<Duration::rep>(count) * each;
}

} // namespace

Duration digestInterval(std::size_t servers) noexcept
{
    return std::max(shortestDigestInterval, total(servers, digestTimePerServer));
}

Duration digestTimeout(std::size_t servers) noexcept
{
    return std::max(shortestDigestTimeout, digestsBeforeTimeout * digestInterval(servers));
}

Duration reportInterval(std::size_t entryInstances) noexcept
{
    return std::max(shortestReportInterval, total(entryInstances, reportTimePerInstance));
}

Duration countDelay(std::size_t servers, std::size_t entryInstances) noexcept
{
    return (reportInterval(entryInstances) + digestInterval(servers)) / 2;
}

Duration planInterval(std::size_t engines) noexcept
{
    return std::max(shortestPlanInterval, total(engines, planTimePerEngine));
}

Duration placementRefreshInterval(std::size_t engines) noexcept
{
    return std::max(shortestPlacementRefresh, total(engines, refreshTimePerEngine));
}

Duration updateInterval(std::size_t receivers) noexcept
{
    return total(receivers, updateTimePerReceiver);
}

} // namespace mimosahollow::controltraffic
