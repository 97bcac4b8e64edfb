#include "mimosahollow/routing/poolchoice.h"

#include <algorithm>

namespace mimosahollow::routing {

namespace {

struct Remotes
{
    std::optional<std::size_t> local;
    Duration localWait = Duration::max();
    Duration bestRemote = Duration::max();
    std::uint32_t candidates = 0;
};

bool usable(const PoolSummary &pool, const PoolQuery &query) noexcept
{
    return pool.inService && pool.reachable && pool.kind == query.kind;
}

Remotes survey(std::span<const PoolSummary> pools, const PoolQuery &query) noexcept
{
    Remotes result;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (!usable(pools[i], query)) {
            continue;
        }
        ++result.candidates;
        const Duration wait = expectedWait(pools[i], query.adapter);
        if (pools[i].domain != query.local) {
            result.bestRemote = std::min(result.bestRemote, wait);
        } else if (!result.local || wait < result.localWait) {
            result.local = i;
            result.localWait = wait;
        }
    }
    return result;
}

/** Longest wait that makes a remote pool a candidate of the random choice. */
Duration longestWait(const Remotes &remotes) noexcept
{
    if (!remotes.local) {
        return remotes.bestRemote * 2 + spilloverMargin;
    }
    // At least half of the best gain, so that a crowd of instances spreads and none of them gains nothing.
    const Duration gain = remotes.localWait - remotes.bestRemote;
    return std::min(remotes.bestRemote + std::max<Duration>(gain / 2, spilloverMargin), remotes.localWait - spilloverMargin - Duration(1));
}

/** Weighted random candidate in one pass; independent of earlier picks. */
std::optional<std::size_t> pick(std::span<const PoolSummary> pools, const PoolQuery &query, Duration limit, std::mt19937_64 &random)
{
    std::optional<std::size_t> chosen;
    double total = 0;
    for (std::size_t i = 0; i < pools.size(); ++i) {
        if (!usable(pools[i], query) || pools[i].domain == query.local || expectedWait(pools[i], query.adapter) > limit) {
            continue;
        }
        // A full pool keeps a small weight: its capacity may have become free since the summary.
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
    return fullPoolHandicap * (pool.totalCapacity - pool.freeCapacity) / pool.totalCapacity;
}

} // namespace

Duration expectedWait(const PoolSummary &pool, AdapterId adapter) noexcept
{
    const bool ready = adapter == AdapterId{} || std::binary_search(pool.resident.begin(), pool.resident.end(), adapter);
    Duration wait = pool.distance + pool.expectedWait + batchSlowdown(pool);
    if (!ready) {
        return wait + pool.expectedLoad;
    }
    const auto busy = std::lower_bound(pool.busy.begin(), pool.busy.end(), adapter, [](const auto &entry, AdapterId id) {
        return entry.first < id;
    });
    const bool isBusy = busy != pool.busy.end() && busy->first == adapter;
    return isBusy ? wait + std::max(busy->second - pool.expectedWait, Duration::zero()) : wait;
}

std::optional<PoolChoice> choosePool(std::span<const PoolSummary> pools, const PoolQuery &query, std::mt19937_64 &random)
{
    const Remotes remotes = survey(pools, query);
    if (remotes.candidates == 0) {
        return std::nullopt;
    }
    if (remotes.local && (remotes.bestRemote == Duration::max() || remotes.localWait - remotes.bestRemote <= spilloverMargin)) {
        return PoolChoice{*remotes.local, PoolReason::Local, remotes.localWait, remotes.candidates};
    }
    const Duration limit = longestWait(remotes);
    const auto first = pick(pools, query, limit, random);
    const auto second = pick(pools, query, limit, random);
    if (!first || !second) {
        return std::nullopt;
    }
    const Duration firstWait = expectedWait(pools[*first], query.adapter);
    const Duration secondWait = expectedWait(pools[*second], query.adapter);
    const bool takeSecond = secondWait < firstWait;
    const PoolReason reason = remotes.local ? PoolReason::SpilledOver : PoolReason::LocalAbsent;
    return PoolChoice{takeSecond ? *second : *first, reason, takeSecond ? secondWait : firstWait, remotes.candidates};
}

} // namespace mimosahollow::routing
