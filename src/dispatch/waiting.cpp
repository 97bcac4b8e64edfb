#include "internal.h"

#include <algorithm>

namespace mimosahollow::dispatch {

namespace {

constexpr Duration recheckInterval = milliseconds(100); // maximum time until the next decision when no event triggers one

/** Time at which @p share of the latency objective of @p call has passed, but no later than its deadline. */
TimePoint waitLimit(const Call &call, double share)
{
    const auto part = std::chrono::duration_cast<Duration>((call.objectiveEnd - call.arrived) * share);
    return std::min(call.arrived + part, call.deadline);
}

/**
 * Lets a call wait if its adapter is expected before the wait limit, and otherwise refuses it immediately with the time after which the
 * adapter can be loaded. Refusals occur when calls need more rare adapters than the weight store delivers.
 */
Decision waitForAdapter(const DispatchState &state, const Call &call, TimePoint readyAt, TimePoint now)
{
    const TimePoint limit = waitLimit(call, state.options.adapterWaitShare);
    if (readyAt > now) {
        if (readyAt <= limit) {
            return Wait{RefusalCause::AdapterNotLoaded, readyAt};
        }
        return Refuse{RefusalCause::AdapterNotLoaded, readyAt - now};
    }
    // The expected load time applies to a call that has just arrived; the load for a waiting call is due sooner.
    const bool isNew = now - call.arrived < recheckInterval;
    if (now >= limit || (isNew && now + state.expectedLoadTime > limit)) {
        return Refuse{RefusalCause::AdapterNotLoaded, std::max(adapterRetry, state.expectedLoadTime)};
    }
    return Wait{RefusalCause::AdapterNotLoaded, std::min(limit, now + recheckInterval)};
}

} // namespace

/** A new call begins to wait only if it may be answered in time: once the queue is longer, all calls are answered late, and no fewer are refused. */
bool isTooLateForPermits(const DispatchState &state, const Call &call, QueuePosition position, Duration wait, TimePoint now)
{
    return now + wait > waitLimit(call, position.isWaiting ? state.options.adapterWaitShare : state.options.waitShare);
}

Decision waitForSilence(const DispatchState &state, const Call &call, TimePoint end, TimePoint now)
{
    if (end > waitLimit(call, state.options.adapterWaitShare)) {
        return Refuse{RefusalCause::SilentServers, end - now};
    }
    return Wait{RefusalCause::SilentServers, end};
}

Decision waitOrRefuse(const DispatchState &state, const Call &call, RefusalCause cause, TimePoint readyAt, TimePoint now)
{
    if (cause == RefusalCause::AdapterNotLoaded) {
        return waitForAdapter(state, call, readyAt, now);
    }
    // Calls that wait for permits get another copy of their adapter, so they wait as long as those without a copy.
    const bool isCopyExpected = cause == RefusalCause::LimitedServers && !call.adapter.empty();
    const TimePoint limit = waitLimit(call, isCopyExpected ? state.options.adapterWaitShare : state.options.waitShare);
    if (now >= limit) {
        return Refuse{cause, cause == RefusalCause::NoServer || cause == RefusalCause::LimitedServers ? longRetry : shortRetry};
    }
    return Wait{cause, std::min(limit, now + recheckInterval)};
}

} // namespace mimosahollow::dispatch
