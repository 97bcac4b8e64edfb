#include "commandsinternal.h"

namespace mimosahollow::control {

namespace {

/**
 * Sets the outcome of a call in progress to unknown when its entry instance is no longer registered or when it is past every deadline. The call
 * may have run, and no instance will report its response.
 */
void markLostCall(const ControlState &state, CallRecord &record)
{
    const bool pastDeadline = state.time - record.startTime > state.limits.maximumCallDuration;
    if (record.state == CallState::InProgress && (pastDeadline || !isRegistered(state, record.entryInstance))) {
        record.state = CallState::OutcomeUnknown;
    }
}

/** Result of a BeginCall whose key already has a record. */
CommandResult resultForRecord(const CommandId &id, const BeginCall &command, const CallRecord &record)
{
    if (record.requestHash != command.requestHash) {
        return failed(CommandOutcome::CallConflict, "the idempotency key was used with another request");
    }
    switch (record.state) {
    case CallState::Completed:
        return {CommandOutcome::StoredResponse, record.contentType, record.status, record.responseBody};
    case CallState::OutcomeUnknown:
        return failed(CommandOutcome::CallOutcomeUnknown, "the call may have run");
    case CallState::InProgress:
        break;
    }
    // The entry instance resends its command when the first result was lost. It has not started the call yet.
    if (record.beginId == id && record.entryInstance == command.entryInstance) {
        return {CommandOutcome::RunCall, {}, 0, {}};
    }
    return failed(CommandOutcome::CallInProgress, "the call is running");
}

void discardResponse(ControlState &state, CallRecord &record)
{
    state.responseBytes -= record.responseBody.size();
    record.responseBody = std::string();
    record.contentType = std::string();
}

/** Evicts the oldest responses until the total is within its limit. */
void evictResponses(ControlState &state)
{
    while (state.responseBytes > state.limits.maximumTotalResponseBytes && !state.responseOrder.empty()) {
        const auto [key, beginId] = state.responseOrder.front();
        state.responseOrder.pop_front();
        const auto found = state.calls.find(key);
        if (found != state.calls.end() && found->second.beginId == beginId) {
            discardResponse(state, found->second);
            found->second.state = CallState::OutcomeUnknown;
        }
    }
}

} // namespace

void expireCalls(ControlState &state)
{
    while (!state.callOrder.empty()) {
        const auto &[key, beginId] = state.callOrder.front();
        const auto found = state.calls.find(key);
        // The record is missing if the call was abandoned; if the call was then begun again, the new record has its own place in the order.
        const bool present = found != state.calls.end() && found->second.beginId == beginId;
        if (present && state.time - found->second.startTime < state.limits.callRetention) {
            return;
        }
        if (present) {
            discardResponse(state, found->second);
            state.calls.erase(found);
        }
        state.callOrder.pop_front();
    }
}

CommandResult beginCall(ControlState &state, const CommandId &id, const BeginCall &command)
{
    const auto found = state.calls.find(command.call);
    if (found != state.calls.end()) {
        markLostCall(state, found->second);
        return resultForRecord(id, command, found->second);
    }
    if (!isRegistered(state, command.entryInstance)) {
        return failed(CommandOutcome::Invalid, "the instance is not registered");
    }
    if (state.calls.size() >= state.limits.maximumCalls) {
        return failed(CommandOutcome::TooManyCalls, "too many calls are on record");
    }
    CallRecord record;
    record.beginId = id;
    record.requestHash = command.requestHash;
    record.entryInstance = command.entryInstance;
    record.startTime = state.time;
    state.calls.emplace(command.call, std::move(record));
    state.callOrder.emplace_back(command.call, id);
    return {CommandOutcome::RunCall, {}, 0, {}};
}

CommandResult completeCall(ControlState &state, const CompleteCall &command)
{
    const auto found = state.calls.find(command.call);
    if (found == state.calls.end() || found->second.beginId != command.beginId) {
        return failed(CommandOutcome::NotFound, "no such call is on record");
    }
    CallRecord &record = found->second;
    if (record.state == CallState::Completed) {
        return accepted();
    }
    if (command.responseBody.size() > state.limits.maximumResponseBytes) {
        record.state = CallState::OutcomeUnknown;
        return accepted();
    }
    record.state = CallState::Completed;
    record.status = command.status;
    record.contentType = command.contentType;
    record.responseBody = command.responseBody;
    state.responseBytes += record.responseBody.size();
    state.responseOrder.emplace_back(command.call, command.beginId);
    evictResponses(state);
    return accepted();
}

CommandResult abandonCall(ControlState &state, const AbandonCall &command)
{
    const auto found = state.calls.find(command.call);
    if (found == state.calls.end() || found->second.beginId != command.beginId) {
        return failed(CommandOutcome::NotFound, "no such call is on record");
    }
    if (found->second.state == CallState::Completed) {
        return failed(CommandOutcome::Invalid, "the call has an answer");
    }
    state.calls.erase(found);
    return accepted();
}

} // namespace mimosahollow::control
