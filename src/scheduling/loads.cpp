#include "loads.h"

#include "eviction.h"
#include "lookup.h"
#include "placement.h"
#include "queue.h"
#include "residency.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mimosahollow::scheduling {

namespace {

// A replica must be clearly more useful than the adapter it evicts, or replicas of two adapters would evict each other in turn.
constexpr double replicaAdvantage = 0.5;
// Each additional waiting request for the adapter moves its load ahead by this time.
constexpr Duration waiterBonus = milliseconds(100);
// A load counts as due at most this long after the arrival of its request, so that more urgent loads cannot overtake it forever
// when the deadline is distant.
constexpr Duration longestLoadDelay = seconds(10);
// Limits the shift that computes the retry delay. The delay reaches loadRetryLongest after far fewer doublings.
constexpr std::uint16_t maximumDoublings = 16;

/** An adapter that should be loaded, with the waiting request that determines its rank. */
struct LoadCandidate
{
    AdapterId adapter{};
    std::uint32_t record = noIndex;
    bool replica = false;
    bool longQueue = false; /**< The organisation of the request has a long queue; its loads come after those of others. */
    double served = std::numeric_limits<double>::infinity(); /**< OrganisationState::servedLoads of the organisation. */
    TimePoint priority = TimePoint::max();
};

bool wantsReplica(const PoolState &state, const AdapterState &adapter, TimePoint now) noexcept
{
    for (std::uint32_t i = adapter.firstWaiting; i != noIndex; i = state.records[i].next) {
        if (state.records[i].arrival + state.settings.replicaWaitThreshold <= now) {
            return true;
        }
    }
    return false;
}

/** Time by which the load should be done. Within an organisation the earliest goes first; longestLoadDelay prevents starvation. */
TimePoint latestLoad(const PoolState &state, const RequestRecord &record) noexcept
{
    return std::min(record.request.deadline - minimumRunTime(state, record.request), record.arrival + longestLoadDelay);
}

/** Ranks the candidate by the most urgent request of the organisation with the fewest served loads. */
void chooseRequest(const PoolState &state, const AdapterState &adapter, LoadCandidate &candidate) noexcept
{
    for (std::uint32_t i = adapter.firstWaiting; i != noIndex; i = state.records[i].next) {
        const RequestRecord &record = state.records[i];
        const double served = state.organisations[number(record.request.organisation)].servedLoads;
        if (served < candidate.served || (served == candidate.served && latestLoad(state, record) < candidate.priority)) {
            candidate.record = i;
            candidate.served = served;
            candidate.longQueue = hasLongQueue(state, record.request.organisation);
            candidate.priority = latestLoad(state, record);
        }
    }
}

bool isBetter(const LoadCandidate &left, const LoadCandidate &right) noexcept
{
    if (left.longQueue != right.longQueue) {
        return right.longQueue;
    }
    if (left.served != right.served) {
        return left.served < right.served;
    }
    return left.priority < right.priority;
}

struct LoadDemand
{
    LoadCandidate best;
    std::uint32_t adapters = 0;
    std::uint32_t urgent = 0; /**< Number of adapters whose LoadCandidate::record is from an organisation with a short queue. */
};

/** Counts the adapters that need a load now, except those in @p skipped, for which no server was found, and ranks them. */
LoadDemand findDemand(const PoolState &state, const std::vector<AdapterId> &skipped, TimePoint now)
{
    LoadDemand demand;
    for (const std::uint32_t position : state.waitingAdapters) {
        const AdapterState &adapter = state.adapters[position];
        const AdapterId id{position};
        if (position == 0 || adapter.pendingLoads > 0 || adapter.retryAt > now || std::find(skipped.begin(), skipped.end(), id) != skipped.end()) {
            continue;
        }
        LoadCandidate candidate;
        candidate.adapter = id;
        candidate.replica = usableHolders(state, adapter) > 0;
        if (candidate.replica && !wantsReplica(state, adapter, now)) {
            continue;
        }
        ++demand.adapters;
        chooseRequest(state, adapter, candidate);
        candidate.priority -= waiterBonus * (adapter.waiting - 1);
        demand.urgent += candidate.longQueue ? 0 : 1;
        if (demand.best.record == noIndex || isBetter(candidate, demand.best)) {
            demand.best = candidate;
        }
    }
    return demand;
}

void orderLoad(PoolState &state, std::uint32_t server, AdapterSlot &slot, TimePoint now, Actions &actions)
{
    slot.phase = SlotPhase::Loading;
    slot.order = state.nextOrder++;
    slot.since = now;
    actions.emplace_back(Order{slot.order, OrderKind::Load, state.servers[server].id, slot.adapter, state.fencing, state.settings.loadTimeout});
}

void orderUnload(PoolState &state, std::uint32_t server, AdapterSlot &slot, AdapterId next, TimePoint now, Actions &actions)
{
    dropHolder(state, server, slot.adapter);
    slot.phase = SlotPhase::Unloading;
    slot.isUnloadOrder = true;
    slot.order = state.nextOrder++;
    slot.nextAdapter = next;
    slot.since = now;
    const ServerId id = state.servers[server].id;
    actions.emplace_back(Order{slot.order, OrderKind::Unload, id, slot.adapter, state.fencing, state.settings.loadTimeout});
    actions.emplace_back(DecisionRecord{{}, {}, slot.adapter, 1, id, DecisionReason::EvictLeastUseful, {}});
}

void startLoad(PoolState &state, const LoadCandidate &candidate, const LoadTarget &target, TimePoint now, Actions &actions)
{
    ServerState &server = state.servers[target.server];
    const bool isFree = target.victim == LoadTarget::freeSlot;
    AdapterSlot &slot = isFree ? addSlot(state, target.server, candidate.adapter, now) : server.slots[target.victim];
    state.loadTokens -= 1;
    ++state.loadsInFlight;
    ++state.adapters[number(candidate.adapter)].pendingLoads;
    slot.countsAsLoad = true;
    slot.holdsLoadPermit = true;
    if (isFree) {
        orderLoad(state, target.server, slot, now, actions);
    } else {
        orderUnload(state, target.server, slot, candidate.adapter, now, actions);
    }
    const AcquireRequest &request = state.records[candidate.record].request;
    OrganisationState &organisation = organisationState(state, request.organisation);
    state.loadVirtualTime = std::max(state.loadVirtualTime, organisation.servedLoads);
    organisation.servedLoads += 1 / organisation.weight;
    const DecisionReason reason = candidate.replica ? DecisionReason::LoadReplica : DecisionReason::LoadOnDemand;
    actions.emplace_back(DecisionRecord{request.id, request.organisation, candidate.adapter, 1, server.id, reason, {}});
}

/**
 * Whether the load needs a server with a free request slot. On a full server, a replica helps only an organisation that is
 * served before another one there, so it does not help the active organisation with the most served tokens.
 */
bool needsFreeSlot(const PoolState &state, const LoadCandidate &candidate) noexcept
{
    const double served = state.organisations[number(state.records[candidate.record].request.organisation)].servedTokens;
    return candidate.replica && std::none_of(state.organisations.begin(), state.organisations.end(), [served](const OrganisationState &other) {
               return other.running > 0 && other.servedTokens > served;
           });
}

/** Adapters with a usefulness below this value may be evicted for the candidate. */
double evictionThresholdFor(const PoolState &state, const LoadCandidate &candidate) noexcept
{
    if (!candidate.replica) {
        return std::numeric_limits<double>::infinity();
    }
    const AdapterState &adapter = state.adapters[number(candidate.adapter)];
    return replicaAdvantage * adapter.popularity / static_cast<double>(adapter.holders.size() + 1);
}

} // namespace

std::uint32_t usableHolders(const PoolState &state, const AdapterState &adapter) noexcept
{
    return static_cast<std::uint32_t>(std::count_if(adapter.holders.begin(), adapter.holders.end(), [&](std::uint16_t holder) {
        return isUsable(state, state.servers[holder]);
    }));
}

void planLoads(PoolState &state, TimePoint now, Actions &actions)
{
    std::vector<AdapterId> skipped; // allocates only when a load finds no server
    LoadDemand demand = findDemand(state, skipped, now);
    while (demand.best.record != noIndex && state.loadTokens >= 1 && state.loadsInFlight < state.settings.maximumLoadsInFlight) {
        const LoadTarget target =
            chooseLoadTarget(state, demand.best.adapter, needsFreeSlot(state, demand.best), evictionThresholdFor(state, demand.best), now);
        if (target.server == noIndex) {
            skipped.push_back(demand.best.adapter);
        } else {
            startLoad(state, demand.best, target, now, actions);
        }
        demand = findDemand(state, skipped, now);
    }
    const double wanted = demand.adapters + state.settings.loadTokenReserve - state.loadTokens;
    const double urgent = demand.urgent - state.loadTokens;
    state.urgentLoadTokenDemand = urgent > 0 ? static_cast<std::uint32_t>(std::ceil(urgent)) : 0;
    state.loadTokenDemand = wanted > 0 ? static_cast<std::uint32_t>(std::ceil(wanted)) : 0;
}

void recordLoadFailure(PoolState &state, AdapterId adapter, std::uint32_t server, TimePoint now)
{
    AdapterState &failed = adapterState(state, adapter);
    const Duration delay = state.settings.loadRetryFirst * (1U << std::min(failed.failures, maximumDoublings));
    failed.retryAt = now + std::min(delay, state.settings.loadRetryLongest);
    failed.failures = static_cast<std::uint16_t>(std::min(failed.failures + 1, static_cast<int>(maximumDoublings)));
    failed.failedServer = static_cast<std::uint16_t>(server);
}

void expireOrders(PoolState &state, TimePoint now)
{
    for (std::uint32_t i = 0; i < state.servers.size(); ++i) {
        for (AdapterSlot &slot : state.servers[i].slots) {
            const bool ordered = slot.phase == SlotPhase::Loading || slot.phase == SlotPhase::Unloading;
            if (ordered && slot.since + state.settings.loadTimeout <= now) {
                const AdapterId loaded = loadingAdapter(slot);
                abandonLoad(state, slot);
                releaseLoadPermit(state, slot);
                if (number(loaded) != 0) {
                    recordLoadFailure(state, loaded, i, now);
                }
                slot.phase = SlotPhase::Unknown;
                slot.nextAdapter = {};
                slot.since = now;
            }
        }
    }
}

Duration expectedLoadWait(const PoolState &state, AdapterId adapter, OrganisationId organisation, TimePoint now) noexcept
{
    std::uint32_t all = 0;
    std::uint32_t own = 0;
    for (const std::uint32_t position : state.waitingAdapters) {
        const AdapterState &waiting = state.adapters[position];
        if (position == 0 || position == number(adapter) || waiting.pendingLoads > 0 || usableHolders(state, waiting) > 0) {
            continue;
        }
        ++all;
        own += state.records[waiting.firstWaiting].request.organisation == organisation ? 1 : 0;
    }
    std::uint32_t active = 0;
    for (const OrganisationState &other : state.organisations) {
        active += other.waiting > 0 ? 1 : 0;
    }
    // Loads are shared fairly: each other organisation gets at most as many loads before this one as this organisation needs,
    // including this one.
    const double ahead = std::min<double>(all, (own + 1.0) * std::max(active, 1U) - 1);
    const double shortOfTokens = std::max(0.0, ahead + 1 - state.loadTokens);
    Duration wait = fromSeconds(shortOfTokens / state.settings.loadsPerSecond + state.averageLoadSeconds);
    if (number(adapter) < state.adapters.size()) {
        wait = std::max(wait, state.adapters[number(adapter)].retryAt - now + fromSeconds(state.averageLoadSeconds));
    }
    return wait;
}

} // namespace mimosahollow::scheduling
