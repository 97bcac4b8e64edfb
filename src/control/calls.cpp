#include "commandsinternal.h"

namespace mimosahollow::control {

namespace {

/** A call whose instance is gone, or that is past every deadline, may have run: nobody will report its answer. */
void noticeLostCall(const ControlState &state, CallRecord &record)
{
    const bool tooOld = state.time - record.started > state.limits.maximumDeadline;
    if (record.state == CallState::InProgress && (tooOld || !isRegistered(state, record.entry))) {
        record.state = CallState::Unknown;
    }
}

CommandResult knownCall(const CommandId &id, const BeginCall &command, const CallRecord &record)
{
    if (record.request != command.request) {
        return failed(CommandOutcome::CallConflict, "the idempotency key was used with another request");
    }
    switch (record.state) {
    case CallState::Answered:
        return {CommandOutcome::StoredAnswer, record.contentType, record.status, record.answer};
    case CallState::Unknown:
        return failed(CommandOutcome::CallUnknown, "the call may have run");
    case CallState::InProgress:
        break;
    }
    // The instance resends its own command after a lost answer; it has not started the call yet.
    if (record.begin == id && record.entry == command.entry) {
        return {CommandOutcome::RunCall, {}, 0, {}};
    }
    return failed(CommandOutcome::CallInProgress, "the call is running");
}

void dropAnswer(ControlState &state, CallRecord &record)
{
    state.answerBytes -= record.answer.size();
    record.answer = std::string();
    record.contentType = std::string();
}

void limitAnswers(ControlState &state)
{
    while (state.answerBytes > state.limits.answers && !state.answerOrder.empty()) {
        const auto [key, begin] = state.answerOrder.front();
        state.answerOrder.pop_front();
        const auto found = state.calls.find(key);
        if (found != state.calls.end() && found->second.begin == begin) {
            dropAnswer(state, found->second);
            found->second.state = CallState::Unknown;
        }
    }
}

} // namespace

void expireCalls(ControlState &state)
{
    while (!state.callOrder.empty()) {
        const auto &[key, begin] = state.callOrder.front();
        const auto found = state.calls.find(key);
        const bool present = found != state.calls.end() && found->second.begin == begin;
        if (present && state.time - found->second.started < state.limits.callAge) {
            return;
        }
        if (present) {
            dropAnswer(state, found->second);
            state.calls.erase(found);
        }
        state.callOrder.pop_front();
    }
}

CommandResult beginCall(ControlState &state, const CommandId &id, const BeginCall &command)
{
    const auto found = state.calls.find(command.call);
    if (found != state.calls.end()) {
        noticeLostCall(state, found->second);
        return knownCall(id, command, found->second);
    }
    if (!isRegistered(state, command.entry)) {
        return failed(CommandOutcome::Invalid, "the instance is not registered");
    }
    if (state.calls.size() >= state.limits.calls) {
        return failed(CommandOutcome::TooManyCalls, "too many calls are on record");
    }
    CallRecord record;
    record.begin = id;
    record.request = command.request;
    record.entry = command.entry;
    record.started = state.time;
    state.calls.emplace(command.call, std::move(record));
    state.callOrder.emplace_back(command.call, id);
    return {CommandOutcome::RunCall, {}, 0, {}};
}

CommandResult completeCall(ControlState &state, const CompleteCall &command)
{
    const auto found = state.calls.find(command.call);
    if (found == state.calls.end() || found->second.begin != command.begin) {
        return failed(CommandOutcome::NotFound, "no such call is on record");
    }
    CallRecord &record = found->second;
    if (record.state == CallState::Answered) {
        return accepted();
    }
    if (command.answer.size() > state.limits.answer) {
        record.state = CallState::Unknown;
        return accepted();
    }
    record.state = CallState::Answered;
    record.status = command.status;
    record.contentType = command.contentType;
    record.answer = command.answer;
    state.answerBytes += record.answer.size();
    state.answerOrder.emplace_back(command.call, command.begin);
    limitAnswers(state);
    return accepted();
}

CommandResult abandonCall(ControlState &state, const AbandonCall &command)
{
    const auto found = state.calls.find(command.call);
    if (found == state.calls.end() || found->second.begin != command.begin) {
        return failed(CommandOutcome::NotFound, "no such call is on record");
    }
    if (found->second.state == CallState::Answered) {
        return failed(CommandOutcome::Invalid, "the call has an answer");
    }
    state.calls.erase(found);
    return accepted();
}

} // namespace mimosahollow::control
