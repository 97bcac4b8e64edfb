#include "residency.h"

#include "lookup.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

bool recentlyErased(const ServerState &server, AdapterId adapter) noexcept
{
    return std::any_of(server.erased.begin(), server.erased.end(), [adapter](const ErasedAdapter &erased) {
        return erased.adapter == adapter;
    });
}

/**
 * Applies the list to the slots whose last change is older than the report lag. Returns true if a resident adapter was removed
 * and the list confirms no other one, as after a restart of the engine.
 */
bool settleSlots(PoolState &state, std::uint32_t server, const std::vector<AdapterId> &listed, TimePoint now)
{
    std::size_t confirmed = 0;
    std::size_t missing = 0;
    auto &slots = state.servers[server].slots;
    for (std::size_t i = slots.size(); i-- > 0;) {
        AdapterSlot &slot = slots[i];
        const bool isListed = std::binary_search(listed.begin(), listed.end(), slot.adapter);
        const bool decided = slot.since + state.settings.reportLag <= now;
        if (slot.phase == SlotPhase::Resident) {
            confirmed += isListed ? 1 : 0;
            if (!isListed && decided) {
                ++missing;
                eraseSlot(state, server, i, now);
            }
        } else if (slot.phase == SlotPhase::Unknown && decided) {
            if (isListed) {
                makeResident(state, server, slot, now);
            } else {
                eraseSlot(state, server, i, now);
            }
        }
    }
    return confirmed == 0 && missing > 0;
}

} // namespace

AdapterSlot *findSlot(ServerState &server, AdapterId adapter) noexcept
{
    const auto found = std::find_if(server.slots.begin(), server.slots.end(), [adapter](const AdapterSlot &slot) {
        return slot.adapter == adapter;
    });
    return found == server.slots.end() ? nullptr : &*found;
}

AdapterSlot &addSlot(PoolState &state, std::uint32_t server, AdapterId adapter, TimePoint now)
{
    AdapterSlot &slot = state.servers[server].slots.emplace_back();
    slot.adapter = adapter;
    slot.since = now;
    // The adapter may be resident again while grants from before its removal are still held; they count as use (P2).
    for (const RequestRecord &record : state.records) {
        slot.users += record.phase == RequestPhase::Granted && record.server == server && record.request.adapter == adapter ? 1 : 0;
    }
    return slot;
}

void makeResident(PoolState &state, std::uint32_t server, AdapterSlot &slot, TimePoint now)
{
    slot.phase = SlotPhase::Resident;
    slot.order = 0;
    slot.isUnloadOrder = false;
    slot.nextAdapter = {};
    slot.since = now;
    adapterState(state, slot.adapter).holders.push_back(static_cast<std::uint16_t>(server));
}

void dropHolder(PoolState &state, std::uint32_t server, AdapterId adapter) noexcept
{
    auto &holders = state.adapters[number(adapter)].holders;
    std::erase(holders, static_cast<std::uint16_t>(server));
}

AdapterId loadingAdapter(const AdapterSlot &slot) noexcept
{
    return slot.phase == SlotPhase::Unloading ? slot.nextAdapter : slot.adapter;
}

void abandonLoad(PoolState &state, AdapterSlot &slot) noexcept
{
    if (slot.countsAsLoad) {
        --state.adapters[number(loadingAdapter(slot))].pendingLoads;
        slot.countsAsLoad = false;
    }
}

void releaseLoadPermit(PoolState &state, AdapterSlot &slot) noexcept
{
    if (slot.holdsLoadPermit) {
        --state.loadsInFlight;
        slot.holdsLoadPermit = false;
    }
}

void eraseSlot(PoolState &state, std::uint32_t server, std::size_t position, TimePoint now)
{
    ServerState &owner = state.servers[server];
    AdapterSlot &slot = owner.slots[position];
    abandonLoad(state, slot);
    releaseLoadPermit(state, slot);
    if (slot.phase == SlotPhase::Resident) {
        dropHolder(state, server, slot.adapter);
    }
    owner.erased.push_back({slot.adapter, now});
    slot = owner.slots.back();
    owner.slots.pop_back();
}

void applyResidentList(PoolState &state, std::uint32_t server, const std::vector<AdapterId> &listed, TimePoint now)
{
    ServerState &owner = state.servers[server];
    std::erase_if(owner.erased, [&](const ErasedAdapter &erased) {
        return erased.at + state.settings.reportLag <= now;
    });
    std::vector<AdapterId> sorted(listed);
    std::sort(sorted.begin(), sorted.end());
    if (settleSlots(state, server, sorted, now)) {
        // An engine that lost all its adapters has restarted, even if its incarnation number is unchanged.
        resetSlowStart(owner.slowStart);
    }
    for (const AdapterId adapter : sorted) {
        const bool valid = number(adapter) != 0 && number(adapter) <= state.settings.largestId;
        if (valid && findSlot(owner, adapter) == nullptr && !recentlyErased(owner, adapter)) {
            AdapterSlot &slot = addSlot(state, server, adapter, now);
            slot.mayHaveUnknownGrants = state.mayHaveUnknownGrants;
            makeResident(state, server, slot, now);
        }
    }
}

} // namespace mimosahollow::scheduling
