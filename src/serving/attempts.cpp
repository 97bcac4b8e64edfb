#include "internal.h"

namespace mimosahollow::serving {

namespace {

using gateway::AttemptOutcome;
using scheduling::ReleaseOutcome;

// Each attempt may occupy a slot of another server, so a call that fails on every server must not be tried on the whole fleet.
constexpr std::uint32_t maximumAttempts = 3;
constexpr unsigned firstServerError = 500;

bool wasNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::ConnectionRefused || outcome == AttemptOutcome::AdapterMissing;
}

ReleaseOutcome releaseOutcome(const gateway::ServingResult &result)
{
    switch (result.outcome) {
    case AttemptOutcome::Completed:
        return result.status >= firstServerError ? ReleaseOutcome::Failed : ReleaseOutcome::Completed;
    case AttemptOutcome::ConnectionRefused:
        return ReleaseOutcome::ConnectionRefused;
    case AttemptOutcome::FailedBeforeAnswer:
    case AttemptOutcome::FailedDuringAnswer:
        return ReleaseOutcome::ConnectionReset;
    case AttemptOutcome::AdapterMissing:
        return ReleaseOutcome::Failed;
    case AttemptOutcome::CallerLeft:
    case AttemptOutcome::DeadlineExceeded:
        return ReleaseOutcome::Cancelled;
    }
    return ReleaseOutcome::Failed;
}

std::uint64_t usedTokens(const Call &call, const gateway::ServingResult &result)
{
    if (wasNotRun(result.outcome)) {
        return 0;
    }
    return std::uint64_t{call.request.promptTokens} + result.outputTokens;
}

scheduling::Release makeRelease(const Call &call, const gateway::ServingResult &result)
{
    scheduling::Release release;
    release.id = result.id;
    release.grant = call.grant;
    release.fencing = call.fencing;
    release.outcome = releaseOutcome(result);
    release.tokensUsed = static_cast<std::uint32_t>(usedTokens(call, result));
    // The gateway measures from the arrival of the call; the time before the grant must not count against the server.
    const Duration beforeGrant = call.grantedAt - call.request.arrival;
    release.firstTokenLatency = result.firstTokenLatency > beforeGrant ? result.firstTokenLatency - beforeGrant : Duration::zero();
    return release;
}

/** Ends a call whose caller disconnected, or whose deadline passed, before it was sent to a server. */
void abandonWaitingCall(ServingState &state, Call &call, TimePoint now, Actions &actions)
{
    const RequestId id = call.request.id;
    if (call.stage == CallStage::Recording) {
        call.abandoned = true; // the record may still be committed and must then be withdrawn
        return;
    }
    if (call.stage == CallStage::AwaitingTokens) {
        admission::cancel(state.quotas, admission::accountOf(call.organisation), id, now);
    } else if (call.stage == CallStage::AwaitingGrant && call.pool != PoolId{}) {
        sendToOwner(state, call.pool, call.owner, CancelRequest{id}, now, actions);
    }
    if (call.recorded && !call.mayHaveRun) {
        abandonRecord(call, actions);
    }
    finishCall(state, id, 0, now, actions);
}

bool mayRetry(ServingState &state, const Call &call, const gateway::ServingResult &result, TimePoint now)
{
    const bool safe = call.repeatable || wasNotRun(result.outcome);
    return safe && now < call.deadline && call.attempts < maximumAttempts && admission::takeRetry(state.retryBudget);
}

} // namespace

void handle(ServingState &state, const gateway::ServingResult &result, TimePoint now, Actions &actions)
{
    const auto found = state.calls.find(result.id);
    if (found == state.calls.end()) {
        return;
    }
    if (found->second.stage != CallStage::Running) {
        // The gateway has already ended the call: its caller disconnected, or its deadline has passed.
        if (result.grant == 0) {
            abandonWaitingCall(state, found->second, now, actions);
        }
        return;
    }
    if (found->second.grant != result.grant) {
        return;
    }
    Call &call = found->second;
    const scheduling::Release release = makeRelease(call, result);
    const PoolId pool = call.pool;
    const std::uint64_t used = usedTokens(call, result);
    call.mayHaveRun = call.mayHaveRun || !wasNotRun(result.outcome);
    if (!result.awaitsReply) {
        if (call.recorded && result.outcome == AttemptOutcome::Completed && !result.answerOmitted) {
            completeRecord(call, result, actions);
        }
        finishCall(state, result.id, used, now, actions);
    } else if (mayRetry(state, call, result, now)) {
        actions.push_back(LogDecision{"retry", result.id, "", call.adapterName, 0, "", "attempt-failed"});
        call.poolRefusals = 0;
        // Returned before the next request, so that the owner of the pool knows of the failure when it chooses a server again.
        returnGrant(state, pool, release, now, actions);
        requestGrant(state, call, now, actions);
        return;
    } else {
        const CallOutcome outcome = wasNotRun(result.outcome) ? CallOutcome::NotRun : CallOutcome::Unknown;
        const RefusalReason reason = now >= call.deadline ? RefusalReason::DeadlineExceeded : RefusalReason::BackendFailed;
        refuseCall(state, result.id, reason, outcome, {}, now, actions);
    }
    returnGrant(state, pool, release, now, actions);
}

void handle(ServingState &state, const gateway::BackendLimit &limit, TimePoint now, Actions &actions)
{
    const auto found = state.calls.find(limit.id);
    if (found == state.calls.end() || found->second.stage != CallStage::Running || found->second.grant != limit.grant) {
        return;
    }
    const Call &call = found->second;
    const routing::PoolSummary *summary = findSummary(state, call.pool);
    if (summary != nullptr) {
        sendToOwner(state, call.pool, summary->owner, scheduling::LimitStatement{limit.id, limit.grant, call.fencing, limit.callsPerSecond}, now, actions);
    }
}

} // namespace mimosahollow::serving
