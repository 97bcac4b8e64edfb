#pragma once

#include "mimosahollow/core/time.h"

#include <cstddef>
#include <cstdint>

namespace mimosahollow::scheduling {

/** Limits and time constants of one pool. The defaults are those of docs/design.md section 15. */
struct SchedulingSettings
{
    Duration loadTimeout = seconds(5); /**< 20 x the normal load time of 0.25 s. */
    Duration loadRetryFirst = milliseconds(200); /**< Delay after the first failed load; doubles with each further one. */
    Duration loadRetryLongest = seconds(5);
    std::uint32_t maximumLoadsInFlight = 8; /**< Share of this pool in the fleet-wide limit of loads in flight. */
    double loadsPerSecond = 4; /**< Expected rate of load tokens; used only for estimates. */
    double loadTokenReserve = 1; /**< Tokens kept in reserve, so that one load starts without waiting for a token. */
    Duration silenceTimeout = seconds(5); /**< 5 report intervals; a server without announcement or report for this time gets no new work. */
    Duration connectionRefusedBackoff = seconds(1); /**< Pause after a refused connection; ends early with an announcement or report. */
    std::size_t waitingPerOrganisation = 1024;
    Duration reportLag = seconds(2); /**< Greatest age of a report at its arrival: two report intervals. */
    Duration popularityHalfLife = seconds(60); /**< Popularity adapts to a shift within about a minute. */
    Duration maximumHandicap = seconds(2); /**< Upper bound of the handicap by which later, shorter requests may overtake a long one. */
    Duration replicaWaitThreshold = milliseconds(300); /**< A longer wait for a busy replica justifies another replica. */
    double affinityLoadDifference = 0.25; /**< Load difference (used slots / limit) up to which a prefix-cache hit takes precedence over balance. */
    std::uint64_t seed = 1; /**< Seed of the generator that breaks ties. */
    std::uint32_t largestId = 1U << 20U; /**< Higher ids are refused: tables are indexed by id, and a corrupt id must not exhaust memory. */
    std::size_t expectedServers = 132; /**< The expected numbers determine the reserved storage. */
    std::size_t expectedAdapters = 93000;
    std::size_t expectedRequests = 8192;
};

} // namespace mimosahollow::scheduling
