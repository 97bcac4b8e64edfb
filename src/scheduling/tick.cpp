#include "mimosahollow/scheduling/pool.h"

#include "availability.h"
#include "crashes.h"
#include "limits.h"
#include "loads.h"
#include "lookup.h"
#include "placement.h"
#include "queue.h"
#include "unknowngrants.h"

namespace mimosahollow::scheduling {

namespace {

/** Whether a waiting request can no longer finish before its deadline, including a load if its adapter needs one. */
bool cannotMeetDeadline(const PoolState &state, const RequestRecord &record, TimePoint now) noexcept
{
    const AdapterId id = record.request.adapter;
    const AdapterState &adapter = state.adapters[number(id)];
    const Duration run = minimumRunTime(state, record.request);
    if (now + run >= record.request.deadline) {
        return true;
    }
    if (number(id) == 0 || adapter.pendingLoads > 0 || usableHolders(state, adapter) > 0) {
        return false;
    }
    return std::max(now, adapter.retryAt) + fromSeconds(state.averageLoadSeconds) + run >= record.request.deadline;
}

void expireRequests(PoolState &state, TimePoint now, Actions &actions)
{
    for (std::uint32_t i = 0; i < state.records.size(); ++i) {
        const RequestRecord &record = state.records[i];
        if (record.phase == RequestPhase::Granted && record.request.deadline <= now) {
            endGrant(state, i, record.chargedTokens);
        } else if (record.phase == RequestPhase::Waiting && record.request.deadline <= now) {
            refuseWaiting(state, i, RefusalReason::DeadlineExceeded, {}, actions);
        } else if (record.phase == RequestPhase::Waiting && cannotMeetDeadline(state, record, now)) {
            const bool failed = state.adapters[number(record.request.adapter)].failures > 0;
            refuseWaiting(state, i, failed ? RefusalReason::LoadFailed : RefusalReason::Overloaded, fromSeconds(state.averageLoadSeconds), actions);
        }
    }
}

} // namespace

void tick(PoolState &state, TimePoint now, Actions &actions)
{
    if (state.mayHaveUnknownGrants && state.unknownGrantsExpireAt <= now) {
        clearUnknownGrants(state);
    }
    expireOrders(state, now);
    expireRequests(state, now, actions);
    refuseBeyondLimits(state, now, actions);
    planQuarantine(state, now, actions);
    if (markSilentServers(state, now)) {
        applyAvailability(state, now, actions);
        return;
    }
    grantAllWaiting(state, now, actions);
    planLoads(state, now, actions);
}

} // namespace mimosahollow::scheduling
