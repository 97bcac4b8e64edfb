#pragma once

#include "mimosahollow/core/time.h"

#include <cstddef>

/**
 * Intervals of the control messages. They grow with the fleet, so that the work of a coordinator does not. Digests, reports and plans have their shortest
 * intervals in fleets of up to 400 backend servers and 150 entry instances.
 */
namespace mimosahollow::controltraffic {

/** Between two load digests of the leader. */
[[nodiscard]] Duration digestInterval(std::size_t servers) noexcept;
/** Without a load digest for this long, a receiver takes the feed for lost. */
[[nodiscard]] Duration digestTimeout(std::size_t servers) noexcept;
/** Between two reports of an entry instance while calls run or wait. */
[[nodiscard]] Duration reportInterval(std::size_t entryInstances) noexcept;
/** Mean age of the counts in a load digest when it arrives. */
[[nodiscard]] Duration countDelay(std::size_t servers, std::size_t entryInstances) noexcept;
/** Between two placement plans that reports cause. */
[[nodiscard]] Duration planInterval(std::size_t engines) noexcept;
/** After which the placement of an engine is published again although it has not changed. */
[[nodiscard]] Duration placementRefreshInterval(std::size_t engines) noexcept;
/** Between two updates of server records that a coordinator sends to @p receivers connections. */
[[nodiscard]] Duration updateInterval(std::size_t receivers) noexcept;

} // namespace mimosahollow::controltraffic
