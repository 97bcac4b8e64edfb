#include "mimosahollow/scheduling/pool.h"

#include "crashes.h"
#include "limits.h"
#include "loads.h"
#include "lookup.h"
#include "placement.h"
#include "queue.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

constexpr double serviceTimeWeight = 0.02; // weight of the latest grant in the moving average
// Refusing a request that would finish in time is worse than running one that finishes late. The estimate of the run time
// therefore follows fast grants more closely than slow ones: about one grant in twenty is faster than the estimate.
constexpr double fallWeight = 0.1;
constexpr double riseWeight = 0.005;
constexpr Duration overloadedRetry = seconds(1); // about the time in which a full queue advances

/** Refuses the request if the queue of its organisation is full, or if the load of its adapter lets it start too late for the deadline. */
bool refuseIfTooLate(PoolState &state, const AcquireRequest &request, TimePoint now, Actions &actions)
{
    const OrganisationState &organisation = organisationState(state, request.organisation);
    if (organisation.waiting >= state.settings.waitingPerOrganisation) {
        refuse(request, RefusalReason::Overloaded, overloadedRetry, actions);
        return true;
    }
    const AdapterState &adapter = adapterState(state, request.adapter);
    if (number(request.adapter) == 0 || adapter.pendingLoads > 0 || usableHolders(state, adapter) > 0) {
        return false;
    }
    const Duration wait = expectedLoadWait(state, request.adapter, request.organisation, now);
    if (now + wait + minimumRunTime(state, request) < request.deadline) {
        return false;
    }
    refuse(request, adapter.failures > 0 ? RefusalReason::LoadFailed : RefusalReason::Overloaded, wait, actions);
    return true;
}

/** Whether any usable server could run the request. */
bool canRun(const PoolState &state, const AcquireRequest &request) noexcept
{
    return std::any_of(state.servers.begin(), state.servers.end(), [&](const ServerState &server) {
        return isUsable(state, server) && (number(request.adapter) == 0 || server.adapterSlots > 0);
    });
}

void updateRunTimes(PoolState &state, const RequestRecord &record, TimePoint now) noexcept
{
    if (record.grantedAt == TimePoint{}) {
        return;
    }
    const double held = toSeconds(now - record.grantedAt);
    state.averageServiceSeconds += serviceTimeWeight * (held - state.averageServiceSeconds);
    const double measured = held / std::max(1U, record.request.maximumOutputTokens);
    double &estimate = state.minimumSecondsPerToken;
    estimate += (estimate == 0 ? 1 : (measured < estimate ? fallWeight : riseWeight)) * (measured - estimate);
}

void applyReleaseOutcome(PoolState &state, const RequestRecord &record, const Release &release, TimePoint now) noexcept
{
    ServerState &server = state.servers[record.server];
    if (record.incarnation != server.incarnation) {
        return;
    }
    if (release.outcome == ReleaseOutcome::ConnectionRefused) {
        server.grantsAllowedFrom = now + state.settings.connectionRefusedBackoff;
    }
    if (release.outcome == ReleaseOutcome::NotSent) {
        callpermits::takePermits(server.permits, -1, now);
    }
    if (record.epoch != server.slowStart.epoch) {
        return;
    }
    switch (release.outcome) {
    case ReleaseOutcome::Completed:
        recordResponse(server.slowStart, toSeconds(release.firstTokenLatency), record.request.promptTokens);
        updateRunTimes(state, record, now);
        break;
    case ReleaseOutcome::ConnectionReset:
    case ReleaseOutcome::ConnectionRefused:
        resetSlowStart(server.slowStart);
        break;
    case ReleaseOutcome::Cancelled:
    case ReleaseOutcome::Failed:
    case ReleaseOutcome::NotSent:
        break;
    }
}

} // namespace

void submit(PoolState &state, const AcquireRequest &request, TimePoint now, Actions &actions)
{
    const std::uint32_t known = state.index.find(request.id);
    if (known != noIndex && state.records[known].phase == RequestPhase::Waiting) {
        return;
    }
    if (known != noIndex) {
        // An entry instance runs one attempt of a request at a time. As it asks again, the release of the earlier grant was lost.
        const std::uint32_t server = state.records[known].server;
        endGrant(state, known, state.records[known].chargedTokens);
        grantWaiting(state, server, now, actions);
    }
    if (std::max(number(request.organisation), number(request.adapter)) > state.settings.largestId) {
        refuse(request, RefusalReason::InvalidRequest, {}, actions);
        return;
    }
    OrganisationState &organisation = organisationState(state, request.organisation);
    organisation.weight = request.weight > 0 ? request.weight : 1;
    if (request.deadline <= now) {
        refuse(request, RefusalReason::DeadlineExceeded, {}, actions);
        return;
    }
    if (isQuarantined(state, request)) {
        refuseQuarantined(request, actions);
        return;
    }
    if (!canRun(state, request)) {
        refuse(request, RefusalReason::NoCapacity, overloadedRetry, actions);
        return;
    }
    activate(state, organisation);
    const ServerChoice choice = chooseServer(state, request, now);
    if (choice.server != noIndex) {
        grant(state, newRecord(state, request, now), choice, now, actions);
        return;
    }
    if (refuseIfTooLate(state, request, now, actions)) {
        return;
    }
    enqueue(state, newRecord(state, request, now));
    refuseBeyondLimits(state, now, actions);
    planLoads(state, now, actions);
}

void cancel(PoolState &state, const RequestId &id, TimePoint now, Actions &actions)
{
    const std::uint32_t record = state.index.find(id);
    if (record == noIndex || state.records[record].phase != RequestPhase::Waiting) {
        return;
    }
    dequeue(state, record);
    freeRecord(state, record);
    planLoads(state, now, actions);
}

void release(PoolState &state, const Release &release, TimePoint now, Actions &actions)
{
    const std::uint32_t position = state.index.find(release.id);
    if (position == noIndex) {
        return;
    }
    const RequestRecord &record = state.records[position];
    if (record.phase != RequestPhase::Granted || record.grant != release.grant || record.fencing != release.fencing) {
        return;
    }
    const std::uint32_t server = record.server;
    judgePrompt(state, record, release, now);
    applyReleaseOutcome(state, record, release, now);
    endGrant(state, position, release.tokensUsed);
    grantWaiting(state, server, now, actions);
    if (!state.waitingAdapters.empty()) {
        planLoads(state, now, actions);
    }
}

} // namespace mimosahollow::scheduling
