#include "eviction.h"

#include "lookup.h"

#include <algorithm>
#include <limits>

namespace mimosahollow::scheduling {

namespace {

/** Whether the server may get an order to load the adapter: it accepts orders and has no slot for the adapter yet. */
bool mayLoad(const PoolState &state, const ServerState &server, AdapterId adapter, TimePoint now) noexcept
{
    const bool ordersAllowed = server.ordersAllowedFrom <= now && server.grantsAllowedFrom <= now;
    const bool present = std::any_of(server.slots.begin(), server.slots.end(), [adapter](const AdapterSlot &slot) {
        return slot.adapter == adapter || slot.nextAdapter == adapter;
    });
    return isUsable(state, server) && server.adapterSlots > 0 && ordersAllowed && !present;
}

// After the eviction of a replica, the other servers with the adapter have to run its requests. While the adapter uses at most
// this fraction of their request slots, that causes no waits.
constexpr double spareReplicaLoad = 0.5;
// A spare replica may be needed again, so it keeps a small part of its usefulness.
constexpr double spareReplicaFactor = 0.1;

/** Whether the other usable servers with the adapter could also run the requests of this server for it. */
bool isSpareReplica(const PoolState &state, const ServerState &server, AdapterId adapter) noexcept
{
    std::uint32_t users = 0;
    std::uint32_t otherSlots = 0;
    for (const std::uint16_t holder : state.adapters[number(adapter)].holders) {
        const ServerState &other = state.servers[holder];
        if (&other != &server && isUsable(state, other)) {
            otherSlots += other.slowStart.limit;
            for (const AdapterSlot &slot : other.slots) {
                users += slot.adapter == adapter ? slot.users : 0;
            }
        }
    }
    return otherSlots > 0 && users <= spareReplicaLoad * otherSlots;
}

// Requests of an organisation with a long queue wait anyway, so its idle adapters are cheap to evict.
constexpr double longQueueFactor = 0.05;

/** Popularity of the adapter per replica, reduced for spare replicas and for organisations with a long queue. */
double usefulness(const PoolState &state, const ServerState &server, const AdapterSlot &slot) noexcept
{
    const AdapterState &adapter = state.adapters[number(slot.adapter)];
    const double perReplica = adapter.popularity / static_cast<double>(std::max<std::size_t>(1, adapter.holders.size()));
    const double weighted = hasLongQueue(state, adapter.lastOrganisation) ? longQueueFactor * perReplica : perReplica;
    return isSpareReplica(state, server, slot.adapter) ? spareReplicaFactor * weighted : weighted;
}

struct Victim
{
    std::size_t position = LoadTarget::freeSlot;
    double usefulness = std::numeric_limits<double>::infinity();
};

Victim leastUseful(const PoolState &state, const ServerState &server) noexcept
{
    Victim victim;
    for (std::size_t i = 0; i < server.slots.size(); ++i) {
        if (isEvictable(state, server.slots[i])) {
            const double value = usefulness(state, server, server.slots[i]);
            if (value < victim.usefulness) {
                victim = {i, value};
            }
        }
    }
    return victim;
}

/**
 * Cost of a load into a free adapter slot of the server: how busy the server is. Servers with free request slots come first, as
 * the waiting request can start there at once.
 */
double serverCost(const ServerState &server) noexcept
{
    return loadOf(server);
}

} // namespace

bool isEvictable(const PoolState &state, const AdapterSlot &slot) noexcept
{
    return slot.phase == SlotPhase::Resident && !slot.mayHaveUnknownGrants && slot.users == 0 && state.adapters[number(slot.adapter)].waiting == 0;
}

LoadTarget chooseLoadTarget(const PoolState &state, AdapterId adapter, bool freeRequestSlot, double evictionThreshold, TimePoint now) noexcept
{
    const std::uint16_t failed = state.adapters[number(adapter)].failedServer;
    LoadTarget best;
    bool bestLoadFailed = true;
    bool bestFree = false;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::uint32_t i = 0; i < state.servers.size(); ++i) {
        const ServerState &server = state.servers[i];
        if (!mayLoad(state, server, adapter, now) || (freeRequestSlot && !hasFreeSlot(server, now))) {
            continue;
        }
        const bool isFree = server.slots.size() < server.adapterSlots;
        const Victim victim = isFree ? Victim{} : leastUseful(state, server);
        if (!isFree && (victim.position == LoadTarget::freeSlot || victim.usefulness >= evictionThreshold)) {
            continue;
        }
        const bool loadFailed = i == failed;
        const bool full = usedSlots(server) >= server.slowStart.limit;
        // On a full server the waiting request cannot start at once after the load, so the eviction there costs more.
        const double cost = isFree ? serverCost(server) : victim.usefulness * (full ? 4 : 1);
        // Order of preference: not the server of the last failed load, then a free adapter slot, then the lowest cost.
        const bool better = best.server == noIndex || (loadFailed != bestLoadFailed ? bestLoadFailed : (isFree != bestFree ? isFree : cost < bestCost));
        if (better) {
            best = {i, victim.position};
            bestLoadFailed = loadFailed;
            bestFree = isFree;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace mimosahollow::scheduling
