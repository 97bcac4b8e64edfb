#include "mimosahollow/dispatch/loadresults.h"

#include "internal.h"

#include <algorithm>

namespace mimosahollow::dispatch {

namespace {

/** Copies with less left are loaded from the host memory of their engine, or their load has begun before the leader knew of it. */
constexpr Duration shortestMeasuredLoad = milliseconds(80);
constexpr Duration sameLoadTolerance = milliseconds(50); // between the ends of a load that two updates tell, which take different ways

} // namespace

AdapterView placedCopy(const AdapterView *known, std::uint64_t version, Duration remaining, TimePoint now)
{
    const TimePoint readyAt = now + remaining;
    if (remaining >= shortestMeasuredLoad) {
        return {version, readyAt, readyAt, true};
    }
    // Updates that follow the end of a load name no remaining time, also if a call has just not found the copy.
    const bool isSameLoad =
        known != nullptr && known->version == version && known->expectedAt <= readyAt + sameLoadTolerance && now - known->expectedAt < lateLoadLimit;
    if (isSameLoad) {
        return {version, std::max(known->readyAt, readyAt), known->expectedAt, known->isLoadUntested};
    }
    return {version, readyAt, readyAt, false};
}

void recordLoadResult(DispatchState &state, const std::string &server, const Call &call, bool isFound, TimePoint sentAt)
{
    const auto found = state.servers.find(server);
    if (found == state.servers.end()) {
        return;
    }
    const auto copy = found->second.adapters.find({call.model, call.adapter});
    if (copy == found->second.adapters.end() || !copy->second.isLoadUntested || sentAt < copy->second.expectedAt) {
        return;
    }
    copy->second.isLoadUntested = false;
    if (sentAt - copy->second.expectedAt < lateLoadLimit) {
        state.loadResults.late += isFound ? 0 : 1;
        state.loadResults.prompt += isFound ? 1 : 0;
    }
}

RejectionCause missingCause(const DispatchState &state, const Send &sent, const Call &call, TimePoint sentAt)
{
    const auto server = state.servers.find(sent.server);
    if (server == state.servers.end() || call.adapter.empty()) {
        return RejectionCause::MissingLater;
    }
    const auto copy = server->second.adapters.find({call.model, call.adapter});
    if (copy == server->second.adapters.end()) {
        return RejectionCause::MissingLater; // the leader has ordered its unload since
    }
    // The answer does not tell whether the adapter or only its version is missing.
    const bool isReplaced =
        sent.adapterVersion != 0 && (copy->second.version != sent.adapterVersion || sent.adapterVersion < neededVersion(state, call, sentAt).required);
    if (isReplaced) {
        return RejectionCause::OtherVersion;
    }
    return sentAt - copy->second.expectedAt < lateLoadLimit ? RejectionCause::MissingAtLoadEnd : RejectionCause::MissingLater;
}

} // namespace mimosahollow::dispatch
