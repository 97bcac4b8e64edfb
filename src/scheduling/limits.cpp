#include "limits.h"

#include "lookup.h"
#include "placement.h"
#include "queue.h"

#include "mimosahollow/scheduling/pool.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

namespace mimosahollow::scheduling {

namespace {

/** Times at which the permits of all usable servers become free, in ascending order. Empty if one of them has no limit, or if there is none. */
class PermitTimes
{
public:
    PermitTimes(const PoolState &state, TimePoint now)
    {
        for (const ServerState &server : state.servers) {
            if (!isUsable(state, server)) {
                continue;
            }
            if (server.permits.callsPerSecond <= 0) {
                m_next = {};
                return;
            }
            const double missing = 1 - callpermits::permitsAt(server.permits, now);
            m_next.push({missing / server.permits.callsPerSecond, 1 / server.permits.callsPerSecond});
        }
    }

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_next.empty();
    }

    /** Time until the first permit that has not been taken. */
    [[nodiscard]] Duration next() const noexcept
    {
        return fromSeconds(std::max(0.0, m_next.top().wait));
    }

    void take()
    {
        ServerPermit permit = m_next.top();
        m_next.pop();
        permit.wait += permit.interval;
        m_next.push(permit);
    }

private:
    struct ServerPermit
    {
        double wait = 0; // seconds; negative if the permit has been free for a while
        double interval = 0;

        bool operator>(const ServerPermit &other) const noexcept
        {
            return wait > other.wait;
        }
    };

    std::priority_queue<ServerPermit, std::vector<ServerPermit>, std::greater<>> m_next;
};

} // namespace

Duration limitedWait(const PoolState &state, TimePoint now)
{
    PermitTimes permits(state, now);
    if (permits.isEmpty()) {
        return Duration::zero();
    }
    for (std::uint32_t i = 0; i < state.waiting; ++i) {
        permits.take();
    }
    return permits.next();
}

void refuseBeyondLimits(PoolState &state, TimePoint now, Actions &actions)
{
    PermitTimes permits(state, now);
    if (state.waiting == 0 || permits.isEmpty()) {
        return;
    }
    const std::vector<std::uint32_t> late = simulateStarts(state, [&](const AcquireRequest &request) {
        const bool isInTime = now + permits.next() + minimumRunTime(state, request) < request.deadline;
        if (isInTime) {
            permits.take();
        }
        return isInTime;
    });
    for (const std::uint32_t record : late) {
        refuseWaiting(state, record, RefusalReason::Overloaded, permits.next(), actions);
        permits.take();
    }
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
    refuseBeyondLimits(state, now, actions);
}

} // namespace mimosahollow::scheduling
