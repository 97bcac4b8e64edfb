#include "limits.h"

#include "lookup.h"
#include "placement.h"

#include "mimosahollow/scheduling/pool.h"

namespace mimosahollow::scheduling {

Duration limitedWait(const PoolState &state) noexcept
{
    double callsPerSecond = 0;
    for (const ServerState &server : state.servers) {
        if (!isUsable(state, server)) {
            continue;
        }
        if (server.permits.callsPerSecond <= 0) {
            return Duration::zero();
        }
        callsPerSecond += server.permits.callsPerSecond;
    }
    return callsPerSecond > 0 ? fromSeconds((state.waiting + 1) / callsPerSecond) : Duration::zero();
}

void applyLimit(PoolState &state, const LimitStatement &statement, TimePoint now, Actions &actions)
{
    const std::uint32_t position = state.index.find(statement.id);
    if (position == noIndex) {
        return;
    }
    const RequestRecord &record = state.records[position];
    const bool isCurrent = record.phase == RequestPhase::Granted && record.grant == statement.grant && record.fencing == statement.fencing;
    if (!isCurrent || record.incarnation != state.servers[record.server].incarnation) {
        return;
    }
    ServerState &server = state.servers[record.server];
    if (statement.callsPerSecond != server.permits.callsPerSecond) {
        const DecisionReason reason = statement.callsPerSecond > 0 ? DecisionReason::LimitNamed : DecisionReason::LimitEnded;
        actions.emplace_back(DecisionRecord{statement.id, {}, {}, 0, server.id, reason, {}});
    }
    callpermits::setLimit(server.permits, statement.callsPerSecond, now);
    grantWaiting(state, record.server, now, actions);
}

} // namespace mimosahollow::scheduling
