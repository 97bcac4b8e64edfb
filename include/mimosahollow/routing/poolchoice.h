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

/** Summary of a pool, as its owner last published it. */
struct PoolSummary
{
    PoolId pool{};
    DomainId domain{};
    InstanceId owner{};
    std::string_view kind;
    bool inService = true;
    bool reachable = true;
    Duration expectedWait{}; /**< Of a call whose adapter is resident. */
    Duration expectedLoadTime{}; /**< Added when the adapter is not resident. */
    std::uint32_t freeCapacity = 0; /**< Calls that could start now. */
    Duration roundTrip{}; /**< Round trip to the owner. */
    std::uint32_t totalCapacity = 0; /**< Calls that it runs at one time. */
    std::vector<AdapterId> resident; /**< Sorted. */
    std::vector<std::pair<AdapterId, Duration>> busy; /**< Resident adapters whose servers are all busy, and their waits; sorted. */
};

struct PoolQuery
{
    std::string_view kind;
    AdapterId adapter{}; /**< 0: none needed. */
    DomainId local{};
};

enum class PoolReason : std::uint8_t {
    Local,
    SpilledOver, /**< A remote pool is faster by more than the margin. */
    LocalAbsent, /**< No usable pool in the local failure domain. */
};

struct PoolChoice
{
    std::size_t pool = 0; /**< Position in the span. */
    PoolReason reason{};
    Duration wait{}; /**< Expected, with load and distance. */
    std::uint32_t candidates = 0;
};

/** Several times the distance between failure domains. */
inline constexpr Duration spilloverMargin = milliseconds(20);

/** Remote pools whose wait differs by less than this are equal; the choice among them is random, so that instances do not all move to one. */
inline constexpr Duration spreadMargin = milliseconds(10);

/** Longest handicap of a pool that would have to load the adapter. The time of a load: more would send calls to a busy pool. */
inline constexpr Duration maximumPlacementPenalty = milliseconds(250);

/**
 * Handicap of a pool that has no free capacity; it falls in proportion to the free part. A batch slows down as it fills, which
 * the expected wait does not show.
 */
inline constexpr Duration fullPoolPenalty = milliseconds(80);

/** Wait that a call must expect at @p pool: queue, load if the adapter is not resident, slower tokens of a full batch, round trip. */
[[nodiscard]] Duration expectedWait(const PoolSummary &pool, AdapterId adapter) noexcept;

/**
 * Chooses a pool; empty when none of the kind is in service and reachable. A remote pool is the better one of two random
 * candidates weighted by free capacity, so that instances with the same summaries do not all move to the same pool.
 */
[[nodiscard]] std::optional<PoolChoice> choosePool(std::span<const PoolSummary> pools, const PoolQuery &query, std::mt19937_64 &random);

} // namespace mimosahollow::routing
