#include "mimosahollow/scheduling/pool.h"

#include "loads.h"
#include "lookup.h"

#include <algorithm>

namespace mimosahollow::scheduling {

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
        summary.freeSlots += server.slowStart.limit - std::min(server.slowStart.limit, usedSlots(server));
        for (const AdapterSlot &slot : server.slots) {
            if (slot.phase == SlotPhase::Resident || slot.phase == SlotPhase::Loading) {
                summary.adapters.push_back(slot.adapter);
            }
        }
    }
    std::sort(summary.adapters.begin(), summary.adapters.end());
    summary.adapters.erase(std::unique(summary.adapters.begin(), summary.adapters.end()), summary.adapters.end());
    if (summary.totalSlots > 0 && (summary.freeSlots == 0 || state.waiting > summary.freeSlots)) {
        summary.expectedWait = fromSeconds((state.waiting + 1) * state.serviceSeconds / summary.totalSlots);
    }
    summary.expectedLoadWait = expectedLoadWait(state, AdapterId{}, OrganisationId{}, now);
    return summary;
}

} // namespace mimosahollow::scheduling
