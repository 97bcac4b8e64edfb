#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

inline constexpr std::uint32_t noIndex = 0xffffffffU;

/** Demand for one adapter and where it is. */
struct AdapterState
{
    double popularity = 0; /**< Scaled by 2^((now - PoolState::popularityOrigin) / half-life), so that it needs no decay. */
    OrganisationId lastOrganisation{}; /**< The last one that was granted a request for it. */
    TimePoint retryAt; /**< Next load at the earliest. */
    std::vector<std::uint16_t> holders; /**< Indexes of servers on which the adapter is resident. */
    std::uint32_t firstWaiting = noIndex; /**< Index of a RequestRecord. */
    std::uint32_t waiting = 0;
    std::uint32_t waitingPosition = noIndex; /**< In PoolState::waitingAdapters. */
    std::uint16_t pendingLoads = 0; /**< Loads in flight or waiting for an unload. */
    std::uint16_t failures = 0; /**< Consecutive failed loads. */
    std::uint16_t failedServer = 0xffffU; /**< Index of the server where the last load failed. */
};

} // namespace mimosahollow::scheduling
