#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

inline constexpr std::uint32_t noIndex = 0xffffffffU;

/** Demand for one adapter, its resident copies and its loads. */
struct AdapterState
{
    double popularity = 0; /**< Demand scaled by 2^((now - PoolState::popularityOrigin) / half-life); stored values need no decay. */
    OrganisationId lastOrganisation{}; /**< Organisation of the last granted request for the adapter. */
    TimePoint retryAt; /**< No load starts before. */
    std::vector<std::uint16_t> holders; /**< Indexes of servers on which the adapter is resident. */
    std::uint32_t firstWaiting = noIndex; /**< Index of a RequestRecord. */
    std::uint32_t waiting = 0; /**< Number of waiting requests. */
    std::uint32_t waitingPosition = noIndex; /**< Position in PoolState::waitingAdapters. */
    std::uint16_t pendingLoads = 0; /**< Loads in flight or waiting for an unload. */
    std::uint16_t failures = 0; /**< Consecutive failed loads. */
    std::uint16_t failedServer = 0xffffU; /**< Index of the server where the last load failed. */
};

} // namespace mimosahollow::scheduling
