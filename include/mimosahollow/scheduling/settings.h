#pragma once

#include "mimosahollow/core/time.h"

#include <cstddef>
#include <cstdint>

namespace mimosahollow::scheduling {

/** Limits and time constants of one pool. The defaults are those of docs/design.md section 15. */
struct SchedulingSettings
{
    Duration loadTimeout = seconds(5); /**< 20 x the normal load time of 0.25 s. */
    Duration loadRetryFirst = milliseconds(200);
    Duration loadRetryLongest = seconds(5);
    std::uint32_t maximumLoadsInFlight = 8; /**< Part of this pool of the loads that the fleet permits in flight. */
    double loadsPerSecond = 4; /**< Rate at which load tokens can be expected; used for estimates only. */
    double loadTokenReserve = 1; /**< Tokens that the pool keeps ready, so that one load need not wait for a token. */
    Duration silenceTimeout = seconds(5); /**< A server that neither announces itself nor reports for 5 intervals gets nothing new. */
    Duration connectionRefusedBackoff = seconds(1); /**< After a refused connection, unless the server reports earlier. */
    std::size_t waitingPerOrganisation = 1024;
    Duration reportLag = seconds(2); /**< A report may be this much older than its arrival: two report intervals. */
    Duration popularityHalfLife = seconds(60); /**< Forgets a popularity shift within about a minute. */
    Duration maximumHandicap = seconds(2); /**< A long request lets later ones pass for at most this time. */
    Duration replicaWaitThreshold = milliseconds(300); /**< A request that waits longer for a busy replica justifies another one. */
    double affinityLoadDifference = 0.25; /**< Load difference up to which a prefix-cache hit is worth more than balance. */
    std::uint64_t seed = 1; /**< Of the random numbers that break ties. */
    std::uint32_t largestId = 1U << 20U; /**< Higher ids are refused: tables are indexed by id, and a damaged id must not fill the memory. */
    std::size_t expectedServers = 132; /**< Storage reserved ahead. */
    std::size_t expectedAdapters = 93000;
    std::size_t expectedRequests = 8192;
};

} // namespace mimosahollow::scheduling
