#include "mimosahollow/scheduling/pool.h"

#include "loads.h"
#include "lookup.h"
#include "placement.h"
#include "queue.h"
#include "residency.h"
#include "unknowngrants.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::scheduling {

namespace {

// Results of orders of the former owner do not arrive here; server reports settle them within about two report intervals.
constexpr Duration inheritedLoadRetryDelay = seconds(1);

/** Copies the properties of a server and its slots, but no grants: all slots count as granted until proven otherwise. */
void inheritServer(PoolState &state, const ServerState &old, TimePoint now)
{
    const std::uint32_t position = addServer(state, old.id);
    ServerState &server = state.servers[position];
    const std::uint32_t grants = server.grants;
    server = old;
    server.grants = grants;
    server.unknownGrants = old.slowStart.warmLimit;
    server.ordersAllowedFrom = old.checksFencing ? TimePoint{} : state.ordersAllowedFrom;
    ++server.slowStart.epoch;
    server.slots.clear();
    for (const AdapterSlot &slot : old.slots) {
        AdapterSlot &inherited = addSlot(state, position, slot.adapter, now);
        inherited.mayHaveUnknownGrants = true;
        if (slot.phase == SlotPhase::Resident) {
            makeResident(state, position, inherited, now);
        } else {
            inherited.phase = SlotPhase::Unknown;
        }
    }
}

/** Whether the grant is valid and not yet known to this owner. */
bool isNew(const PoolState &state, const HeldGrant &held, TimePoint now) noexcept
{
    const std::uint32_t known = state.index.find(held.id);
    const std::uint32_t largest = std::max({number(held.server), number(held.organisation), number(held.adapter)});
    return largest <= state.settings.largestId && held.fencing < state.fencing && held.deadline > now
           && (known == noIndex || state.records[known].phase == RequestPhase::Waiting);
}

/** Adds the reported grant in place of a waiting request with the same id, if any. */
void adoptGrant(PoolState &state, InstanceId entry, const HeldGrant &held, TimePoint now)
{
    const std::uint32_t waiting = state.index.find(held.id);
    if (waiting != noIndex) {
        dequeue(state, waiting);
        freeRecord(state, waiting);
    }
    AcquireRequest request;
    request.id = held.id;
    request.entry = entry;
    request.organisation = held.organisation;
    request.adapter = held.adapter;
    request.promptTokens = std::min(held.promptTokens, held.estimatedTokens);
    request.maximumOutputTokens = held.estimatedTokens - request.promptTokens;
    request.deadline = held.deadline;
    ++organisationState(state, held.organisation).running;
    static_cast<void>(adapterState(state, held.adapter)); // adds the adapter to the table if it is new
    const std::uint32_t position = newRecord(state, request, now);
    RequestRecord &record = state.records[position];
    const std::uint32_t serverPosition = addServer(state, held.server);
    ServerState &server = state.servers[serverPosition];
    record.phase = RequestPhase::Granted;
    record.server = static_cast<std::uint16_t>(serverPosition);
    record.epoch = server.slowStart.epoch;
    record.incarnation = server.incarnation;
    record.grant = held.grant;
    record.fencing = held.fencing;
    record.chargedTokens = held.estimatedTokens;
    ++server.grants;
    server.unknownGrants -= std::min(server.unknownGrants, 1U);
    if (AdapterSlot *slot = findSlot(server, held.adapter)) {
        ++slot->users;
    }
}

} // namespace

void takeOver(PoolState &state, const Takeover &takeover, TimePoint now)
{
    PoolState old = std::exchange(state, makePool(state.pool, state.settings, now));
    state.fencing = takeover.fencing;
    state.domainState = old.domainState;
    state.randomState = old.randomState;
    state.unknownGrantsExpireAt = takeover.unknownGrantsExpireAt;
    state.ordersAllowedFrom = takeover.ordersAllowedFrom;
    state.unreportedInstances = takeover.instances;
    state.mayHaveUnknownGrants = takeover.unknownGrantsExpireAt > now;
    state.averageLoadSeconds = old.averageLoadSeconds;
    state.averageServiceSeconds = old.averageServiceSeconds;
    state.popularityOrigin = old.popularityOrigin;
    for (std::size_t i = 0; i < old.adapters.size(); ++i) {
        adapterState(state, AdapterId{static_cast<std::uint32_t>(i)}).popularity = old.adapters[i].popularity;
    }
    for (const ServerState &server : old.servers) {
        inheritServer(state, server, now);
    }
    if (!state.mayHaveUnknownGrants) {
        clearUnknownGrants(state);
    }
}

void clearUnknownGrants(PoolState &state) noexcept
{
    state.mayHaveUnknownGrants = false;
    state.unreportedInstances.clear();
    for (ServerState &server : state.servers) {
        server.unknownGrants = 0;
        for (AdapterSlot &slot : server.slots) {
            slot.mayHaveUnknownGrants = false;
        }
    }
}

void reconcileGrants(PoolState &state, const GrantReport &report, TimePoint now, Actions &actions)
{
    for (const HeldGrant &held : report.grants) {
        if (isNew(state, held, now)) {
            adoptGrant(state, report.entry, held, now);
        }
    }
    std::erase(state.unreportedInstances, report.entry);
    if (state.mayHaveUnknownGrants && state.unreportedInstances.empty()) {
        clearUnknownGrants(state);
    }
    grantAllWaiting(state, now, actions);
    planLoads(state, now, actions);
}

PoolState exportState(PoolState &state)
{
    return std::exchange(state, makePool(state.pool, state.settings, state.ownedSince));
}

void importState(PoolState &state, PoolState &&handedOver, FencingNumber fencing, TimePoint now, Actions &actions)
{
    state = std::move(handedOver);
    state.fencing = fencing;
    state.ownedSince = now;
    state.loadTokens = 0; // load tokens were granted to the former owner and are not transferable
    for (ServerState &server : state.servers) {
        for (AdapterSlot &slot : server.slots) {
            if (slot.phase != SlotPhase::Loading && slot.phase != SlotPhase::Unloading) {
                slot.order = 0;
                continue;
            }
            const AdapterId loaded = loadingAdapter(slot);
            abandonLoad(state, slot);
            releaseLoadPermit(state, slot);
            adapterState(state, loaded).retryAt = now + inheritedLoadRetryDelay;
            slot.phase = SlotPhase::Unknown;
            slot.order = 0;
            slot.nextAdapter = {};
            slot.since = now;
        }
    }
    grantAllWaiting(state, now, actions);
    planLoads(state, now, actions);
}

} // namespace mimosahollow::scheduling
