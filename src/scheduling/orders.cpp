#include "mimosahollow/scheduling/pool.h"

#include "loads.h"
#include "lookup.h"
#include "placement.h"
#include "residency.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

constexpr double loadTimeWeight = 0.2; // weight of the latest load in the moving average

struct FoundOrder
{
    std::uint32_t server = noIndex;
    std::size_t slot = 0;
};

FoundOrder findOrder(const PoolState &state, std::uint64_t order) noexcept
{
    for (std::uint32_t i = 0; order != 0 && i < state.servers.size(); ++i) {
        const auto &slots = state.servers[i].slots;
        const auto found = std::find_if(slots.begin(), slots.end(), [order](const AdapterSlot &slot) {
            return slot.order == order;
        });
        if (found != slots.end()) {
            return {i, static_cast<std::size_t>(found - slots.begin())};
        }
    }
    return {};
}

void markUnknown(AdapterSlot &slot, TimePoint now) noexcept
{
    slot.phase = SlotPhase::Unknown;
    slot.nextAdapter = {};
    slot.since = now;
}

void loadDone(PoolState &state, const FoundOrder &found, TimePoint now)
{
    AdapterSlot &slot = state.servers[found.server].slots[found.slot];
    if (slot.phase == SlotPhase::Loading) {
        state.averageLoadSeconds += loadTimeWeight * (toSeconds(now - slot.since) - state.averageLoadSeconds);
    }
    abandonLoad(state, slot);
    releaseLoadPermit(state, slot);
    AdapterState &adapter = state.adapters[number(slot.adapter)];
    adapter.failures = 0;
    adapter.failedServer = 0xffffU;
    adapter.retryAt = {};
    makeResident(state, found.server, slot, now);
}

/** Frees the slot and orders the load for which the adapter was evicted, if the load is still wanted and the server usable. */
void unloadDone(PoolState &state, const FoundOrder &found, TimePoint now, Actions &actions)
{
    ServerState &server = state.servers[found.server];
    AdapterSlot unloaded = server.slots[found.slot];
    const bool mayLoad = unloaded.countsAsLoad && isUsable(state, server);
    if (!mayLoad && unloaded.holdsLoadPermit) {
        state.loadTokens += 1; // the load did not start, so its token is returned
    }
    eraseSlot(state, found.server, found.slot, now);
    if (!mayLoad) {
        return;
    }
    AdapterSlot &slot = addSlot(state, found.server, unloaded.nextAdapter, now);
    slot.order = state.nextOrder++;
    slot.countsAsLoad = true;
    slot.holdsLoadPermit = true;
    ++state.loadsInFlight;
    ++state.adapters[number(slot.adapter)].pendingLoads;
    actions.emplace_back(Order{slot.order, OrderKind::Load, server.id, slot.adapter, state.fencing, state.settings.loadTimeout});
}

void unloadFailed(PoolState &state, const FoundOrder &found, OrderOutcome outcome, TimePoint now)
{
    AdapterSlot &slot = state.servers[found.server].slots[found.slot];
    if (number(slot.nextAdapter) != 0) {
        recordLoadFailure(state, slot.nextAdapter, found.server, now);
    }
    if (slot.holdsLoadPermit) {
        state.loadTokens += 1; // the load did not start, so its token is returned
    }
    abandonLoad(state, slot);
    releaseLoadPermit(state, slot);
    markUnknown(slot, now);
    if (outcome != OrderOutcome::Unknown) {
        makeResident(state, found.server, slot, now); // not executed, so the adapter is still resident
    }
}

void loadFailed(PoolState &state, const FoundOrder &found, OrderOutcome outcome, TimePoint now)
{
    AdapterSlot &slot = state.servers[found.server].slots[found.slot];
    if (slot.phase == SlotPhase::Loading) {
        recordLoadFailure(state, slot.adapter, found.server, now);
    }
    abandonLoad(state, slot);
    releaseLoadPermit(state, slot);
    if (outcome == OrderOutcome::NotSent) {
        ServerState &server = state.servers[found.server];
        server.grantsAllowedFrom = std::max(server.grantsAllowedFrom, now + state.settings.connectionRefusedBackoff);
    }
    if (outcome == OrderOutcome::Unknown) {
        markUnknown(slot, now);
    } else {
        eraseSlot(state, found.server, found.slot, now);
    }
}

} // namespace

void orderFinished(PoolState &state, std::uint64_t order, OrderOutcome outcome, TimePoint now, Actions &actions)
{
    const FoundOrder found = findOrder(state, order);
    if (found.server == noIndex) {
        return;
    }
    const AdapterSlot &slot = state.servers[found.server].slots[found.slot];
    const bool unload = slot.phase == SlotPhase::Unloading || slot.isUnloadOrder;
    if (outcome == OrderOutcome::Done) {
        unload ? unloadDone(state, found, now, actions) : loadDone(state, found, now);
    } else {
        unload ? unloadFailed(state, found, outcome, now) : loadFailed(state, found, outcome, now);
    }
    grantWaiting(state, found.server, now, actions);
    planLoads(state, now, actions);
}

void grantLoadTokens(PoolState &state, double tokens, TimePoint now, Actions &actions)
{
    state.loadTokens += tokens;
    planLoads(state, now, actions);
}

} // namespace mimosahollow::scheduling
