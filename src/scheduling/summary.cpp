#include "mimosahollow/scheduling/pool.h"

#include "limits.h"
#include "loads.h"
#include "lookup.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

void addAdapterWaits(const PoolState &state, PoolSummary &summary)
{
    for (const std::uint32_t position : state.waitingAdapters) {
        const AdapterState &adapter = state.adapters[position];
        std::uint32_t slots = 0;
        for (const std::uint16_t holder : adapter.holders) {
            slots += isUsable(state, state.servers[holder]) ? state.servers[holder].slowStart.limit : 0;
        }
        if (position != 0 && slots > 0) {
            summary.waits.push_back({AdapterId{position}, fromSeconds((adapter.waiting + 1) * state.averageServiceSeconds / slots)});
        }
    }
    std::sort(summary.waits.begin(), summary.waits.end(), [](const AdapterWait &left, const AdapterWait &right) {
        return left.adapter < right.adapter;
    });
}

/** Requests that the server may get at once. */
std::uint32_t availableSlots(const ServerState &server, TimePoint now) noexcept
{
    const std::uint32_t free = server.slowStart.limit - std::min(server.slowStart.limit, usedSlots(server));
    return server.permits.callsPerSecond > 0 ? std::min(free, static_cast<std::uint32_t>(std::max(0.0, callpermits::permitsAt(server.permits, now)))) : free;
}

} // namespace

PoolSummary summarise(const PoolState &state, TimePoint now)
{
    PoolSummary summary;
    summary.pool = state.pool;
    summary.fencing = state.fencing;
    summary.waiting = state.waiting;
    for (const ServerState &server : state.servers) {
        if (!isUsable(state, server)) {
            continue;
        }
        summary.inService = true;
        summary.totalSlots += server.slowStart.limit;
        summary.freeSlots += availableSlots(server, now);
        for (const AdapterSlot &slot : server.slots) {
            if (slot.phase == SlotPhase::Resident || slot.phase == SlotPhase::Loading) {
                summary.adapters.push_back(slot.adapter);
            }
        }
    }
    std::sort(summary.adapters.begin(), summary.adapters.end());
    summary.adapters.erase(std::unique(summary.adapters.begin(), summary.adapters.end()), summary.adapters.end());
    if (summary.totalSlots > 0 && (summary.freeSlots == 0 || state.waiting > summary.freeSlots)) {
        summary.expectedWait = std::max(limitedWait(state, now), fromSeconds((state.waiting + 1) * state.averageServiceSeconds / summary.totalSlots));
    }
    addAdapterWaits(state, summary);
    summary.expectedLoadWait = expectedLoadWait(state, AdapterId{}, OrganisationId{}, now);
    return summary;
}

} // namespace mimosahollow::scheduling
