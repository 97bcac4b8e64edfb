#include "internal.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace mimosahollow::serving {

namespace {

// Each attempt to record a call uses three command ids: begin, complete and abandon. The sequence number of the request is
// multiplied by commandsPerCall, so that the ids of two calls never overlap.
constexpr std::uint64_t commandsPerAttempt = 3;
constexpr std::uint64_t commandsPerCall = 64;
constexpr std::uint32_t maximumRecordAttempts = 20;
static_assert(maximumRecordAttempts * commandsPerAttempt <= commandsPerCall);

// An answer reaches its caller before it is stored. A resend that follows at once therefore waits for the record instead of
// being refused as "in progress". Storing the record takes milliseconds, or as long as an election.
constexpr Duration maximumInProgressWait = seconds(2);
constexpr Duration recordRetryInterval = milliseconds(100);

bool mayRetryRecord(const Call &call, TimePoint now)
{
    const TimePoint end = std::min(call.deadline, call.request.arrival + maximumInProgressWait);
    return call.recordAttempts < maximumRecordAttempts && now + recordRetryInterval < end;
}

control::Digest requestDigest(const gateway::ServingRequest &request)
{
    const std::uint64_t target = XXH3_64bits(request.target.data(), request.target.size());
    control::Digest digest{};
    std::memcpy(digest.data(), &request.bodyHash, sizeof request.bodyHash);
    std::memcpy(digest.data() + sizeof request.bodyHash, &target, sizeof target);
    return digest;
}

void refuseByRecord(ServingState &state, const CommitResult &result, TimePoint now, Actions &actions)
{
    const auto refuse = [&](RefusalReason reason, CallOutcome outcome) {
        refuseCall(state, result.call, reason, outcome, {}, now, actions);
    };
    switch (result.result.outcome) {
    case control::CommandOutcome::CallInProgress:
        refuse(RefusalReason::InProgress, CallOutcome::Unknown);
        return;
    case control::CommandOutcome::CallOutcomeUnknown:
        refuse(RefusalReason::BackendFailed, CallOutcome::Unknown);
        return;
    case control::CommandOutcome::CallConflict:
        refuse(RefusalReason::IdempotencyConflict, CallOutcome::NotRun);
        return;
    case control::CommandOutcome::TooManyCalls:
        refuse(RefusalReason::Overloaded, CallOutcome::NotRun);
        return;
    default:
        refuse(RefusalReason::InvalidRequest, CallOutcome::NotRun);
        return;
    }
}

} // namespace

void recordCall(ServingState &state, Call &call, Actions &actions)
{
    call.stage = CallStage::Recording;
    call.nextRecordAttempt = {};
    call.beginCommandId = {call.request.id.process, call.request.id.sequence * commandsPerCall + call.recordAttempts * commandsPerAttempt};
    ++call.recordAttempts;
    actions.push_back(CommitCommand{call.request.id, call.beginCommandId, control::BeginCall{call.callKey, requestDigest(call.request), state.self}});
}

void abandonRecord(const Call &call, Actions &actions)
{
    actions.push_back(
        CommitCommand{call.request.id, {call.beginCommandId.high, call.beginCommandId.low + 2}, control::AbandonCall{call.callKey, call.beginCommandId}});
}

void completeRecord(const Call &call, const gateway::ServingResult &result, Actions &actions)
{
    control::CompleteCall complete;
    complete.call = call.callKey;
    complete.beginId = call.beginCommandId;
    complete.status = static_cast<std::uint16_t>(result.status);
    complete.contentType = result.answerContentType;
    complete.responseBody = result.answerBody;
    actions.push_back(CommitCommand{call.request.id, {call.beginCommandId.high, call.beginCommandId.low + 1}, std::move(complete)});
}

void handle(ServingState &state, const CommitResult &result, TimePoint now, Actions &actions)
{
    const auto found = state.calls.find(result.call);
    if (found == state.calls.end() || found->second.stage != CallStage::Recording) {
        return;
    }
    Call &call = found->second;
    const bool mayExist = result.committed ? result.result.outcome == control::CommandOutcome::RunCall : result.sent;
    if (call.abandoned) {
        if (mayExist) {
            abandonRecord(call, actions);
        }
        finishCall(state, result.call, 0, now, actions);
        return;
    }
    call.stage = CallStage::AwaitingTokens;
    if (!result.committed) {
        // The call was not sent to a server, so it is refused as not run. If the record was committed after all, it is withdrawn, as
        // it would block a resend.
        call.recorded = mayExist;
        refuseCall(state, result.call, RefusalReason::NoQuorum, CallOutcome::NotRun, seconds(1), now, actions);
        return;
    }
    if (result.result.outcome == control::CommandOutcome::RunCall) {
        call.recorded = true;
        reserveTokens(state, call, now, actions);
        return;
    }
    if (result.result.outcome == control::CommandOutcome::StoredResponse) {
        gateway::StoredAnswer answer{static_cast<unsigned>(result.result.number), result.result.message, result.result.responseBody};
        actions.push_back(ReplyToCall{call.request.gatewayThread, {result.call, std::move(answer)}});
        finishCall(state, result.call, 0, now, actions);
        return;
    }
    if (result.result.outcome == control::CommandOutcome::CallInProgress && mayRetryRecord(call, now)) {
        call.stage = CallStage::Recording;
        call.nextRecordAttempt = now + recordRetryInterval;
        return;
    }
    refuseByRecord(state, result, now, actions);
}

} // namespace mimosahollow::serving
