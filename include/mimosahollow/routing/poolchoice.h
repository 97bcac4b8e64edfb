#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosahollow::routing {

/** Summary of a pool as last published by the instance that owns it. */
struct PoolSummary
{
    PoolId pool{};
    DomainId domain{};
    InstanceId owner{};
    std::string_view kind;
    bool inService = true;
    bool reachable = true;
    Duration expectedWait{}; /**< Queue time of a call whose adapter is resident. */
    Duration expectedLoadTime{}; /**< Added to the wait when the adapter is not resident. */
    std::uint32_t freeCapacity = 0; /**< Calls that could start immediately. */
    Duration roundTrip{}; /**< Network round trip to the owner. */
    std::uint32_t totalCapacity = 0; /**< Calls that can run concurrently. */
    std::vector<AdapterId> resident; /**< Sorted. */
    std::vector<std::pair<AdapterId, Duration>> busy; /**< Resident adapters whose servers are all busy, with their expected waits; sorted by adapter. */
};

struct PoolQuery
{
    std::string_view kind;
    AdapterId adapter{}; /**< 0 when the call needs no adapter. */
    DomainId local{}; /**< Failure domain of this instance. */
};

enum class PoolReason : std::uint8_t {
    Local,
    SpilledOver, /**< A remote pool is faster by more than spilloverMargin. */
    LocalAbsent, /**< No usable pool in the local failure domain. */
};

struct PoolChoice
{
    std::size_t pool = 0; /**< Index into the span of pools. */
    PoolReason reason{};
    Duration wait{}; /**< Expected wait, including adapter load and round trip. */
    std::uint32_t candidates = 0; /**< Usable pools of the requested kind. */
};

/** Gain that justifies leaving the local failure domain: several times the round trip between failure domains. */
inline constexpr Duration spilloverMargin = milliseconds(20);

/** Remote pools whose waits differ by less than this count as equal; one is chosen at random, so that instances do not all move to the same pool. */
inline constexpr Duration spreadMargin = milliseconds(10);

/** Maximum penalty of a pool that would have to load the adapter. Equals the time of one load; a larger penalty would send calls to a busy pool. */
inline constexpr Duration maximumPlacementPenalty = milliseconds(250);

/**
 * Penalty of a pool without free capacity; it decreases linearly with the free share. Accounts for the slower token rate of a
 * fuller batch, which the expected wait does not include.
 */
inline constexpr Duration fullPoolPenalty = milliseconds(80);

/** Expected wait of a call at @p pool: queue, adapter load if it is not resident, slowdown of a filled batch, round trip. */
[[nodiscard]] Duration expectedWait(const PoolSummary &pool, AdapterId adapter) noexcept;

/**
 * Chooses a pool; returns nullopt when none of the kind is in service and reachable. A remote pool is chosen as the better of two
 * random candidates weighted by free capacity, so that instances with the same summaries do not all move to the same pool.
 */
[[nodiscard]] std::optional<PoolChoice> choosePool(std::span<const PoolSummary> pools, const PoolQuery &query, std::mt19937_64 &random);

} // namespace mimosahollow::routing
