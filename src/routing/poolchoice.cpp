#include "mimosahollow/routing/poolchoice.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace mimosahollow::routing {

namespace {

/** Result of one pass over the usable pools. A cost is the expected wait plus the placement penalty. */
struct PoolSurvey
{
    std::optional<std::size_t> local;
    Duration localCost = Duration::max();
    Duration lowestRemoteCost = Duration::max();
    std::uint32_t candidates = 0;
};

bool usable(const PoolSummary &pool, const PoolQuery &query) noexcept
{
    return pool.inService && pool.reachable && pool.kind == query.kind;
}

bool hasAdapter(const PoolSummary &pool, AdapterId adapter) noexcept
{
    return adapter == AdapterId{} || std::binary_search(pool.resident.begin(), pool.resident.end(), adapter);
}

/**
 * Penalty of a pool that would have to load the adapter. Derived from a hash of adapter and pool, so that all instances prefer
 * the same pool for the load.
 */
Duration placementPenalty(const PoolSummary &pool, AdapterId adapter) noexcept
{
    if (hasAdapter(pool, adapter)) {
        return Duration::zero();
    }
    const std::array<std::uint32_t, 2> key{number(adapter), number(pool.pool)};
    constexpr std::uint64_t steps = 1U << 20U;
    const auto step = static_cast<std::int64_t>(XXH3_64bits(key.data(), sizeof key) % steps);
    return maximumPlacementPenalty * step / static_cast<std::int64_t>(steps);
}

Duration cost(const PoolSummary &pool, AdapterId adapter) noexcept
{
    return expectedWait(pool, adapter) + placementPenalty(pool, adapter);
}

PoolSurvey surveyPools(std::span<const PoolSummary> pools, const PoolQuery &query) noexcept
{
    PoolSurvey result;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (!usable(pools[i], query)) {
            continue;
        }
        ++result.candidates;
        const Duration poolCost = cost(pools[i], query.adapter);
        if (pools[i].domain != query.local) {
            result.lowestRemoteCost = std::min(result.lowestRemoteCost, poolCost);
        } else if (!result.local || poolCost < result.localCost) {
            result.local = i;
            result.localCost = poolCost;
        }
    }
    return result;
}

/** Maximum cost of the remote pools that take part in the random choice. */
Duration remoteCostLimit(const PoolSurvey &survey) noexcept
{
    const Duration limit = survey.lowestRemoteCost + spreadMargin;
    return survey.local ? std::min(limit, survey.localCost - spilloverMargin - Duration(1)) : limit;
}

/** Selects a remote pool with a cost of at most @p limit at random, weighted by free capacity, in one pass. */
std::optional<std::size_t> pickRemotePool(std::span<const PoolSummary> pools, const PoolQuery &query, Duration limit, std::mt19937_64 &random)
{
    std::optional<std::size_t> chosen;
    double total = 0;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (!usable(pools[i], query) || pools[i].domain == query.local || cost(pools[i], query.adapter) > limit) {
            continue;
        }
        // A full pool keeps a weight of 1, since capacity may have become free after its summary.
        const double weight = static_cast<double>(pools[i].freeCapacity) + 1;
        total += weight;
        if (!chosen || std::uniform_real_distribution<double>(0, total)(random) < weight) {
            chosen = i;
        }
    }
    return chosen;
}

Duration batchSlowdown(const PoolSummary &pool) noexcept
{
    if (pool.totalCapacity == 0 || pool.freeCapacity >= pool.totalCapacity) {
        return Duration::zero();
    }
    return fullPoolPenalty * (pool.totalCapacity - pool.freeCapacity) / pool.totalCapacity;
}

} // namespace

Duration expectedWait(const PoolSummary &pool, AdapterId adapter) noexcept
{
    Duration wait = pool.roundTrip + pool.expectedWait + batchSlowdown(pool);
    if (!hasAdapter(pool, adapter)) {
        return wait + pool.expectedLoadTime;
    }
    const auto busy = std::lower_bound(pool.busy.begin(), pool.busy.end(), adapter, [](const auto &entry, AdapterId id) {
        return entry.first < id;
    });
    const bool isBusy = busy != pool.busy.end() && busy->first == adapter;
    return isBusy ? wait + std::max(busy->second - pool.expectedWait, Duration::zero()) : wait;
}

std::optional<PoolChoice> choosePool(std::span<const PoolSummary> pools, const PoolQuery &query, std::mt19937_64 &random)
{
    const PoolSurvey survey = surveyPools(pools, query);
    if (survey.candidates == 0) {
        return std::nullopt;
    }
    if (survey.local && (survey.lowestRemoteCost == Duration::max() || survey.localCost - survey.lowestRemoteCost <= spilloverMargin)) {
        return PoolChoice{*survey.local, PoolReason::Local, survey.localCost, survey.candidates};
    }
    const Duration limit = remoteCostLimit(survey);
    const auto first = pickRemotePool(pools, query, limit, random);
    const auto second = pickRemotePool(pools, query, limit, random);
    if (!first || !second) {
        return std::nullopt;
    }
    const Duration firstWait = expectedWait(pools[*first], query.adapter);
    const Duration secondWait = expectedWait(pools[*second], query.adapter);
    const bool takeSecond = secondWait < firstWait;
    const PoolReason reason = survey.local ? PoolReason::SpilledOver : PoolReason::LocalAbsent;
    return PoolChoice{takeSecond ? *second : *first, reason, takeSecond ? secondWait : firstWait, survey.candidates};
}

} // namespace mimosahollow::routing
