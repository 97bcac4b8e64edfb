#include "liveness.h"

#include <algorithm>

namespace mimosahollow::membership {

namespace {

/** The failure count is reset after an instance has been alive for this multiple of the maximum recovery time. */
constexpr int failureResetFactor = 10;
/** Keeps the shift below the width of its type; the maximum recovery time is reached earlier. */
constexpr std::uint32_t maximumDoublings = 16;

bool isRecent(TimePoint time, Duration window, TimePoint now)
{
    return time != neverTime && now - time < window;
}

bool hasBidirectionalContact(const View &view, const KnownInstance &known, TimePoint now)
{
    const bool remote = known.record.failureDomain != view.self.failureDomain;
    const Duration interval = view.options.heartbeatInterval * (remote ? view.options.remoteIntervalFactor : 1);
    const Duration window = interval * view.options.suspicionThreshold;
    // The echoed heartbeat is up to one interval older than the heartbeat that carries the echo.
    return isRecent(known.lastHeartbeatAt, window, now) && isRecent(known.lastAcknowledgedAt, window + interval, now);
}

Duration recoveryTime(const ViewOptions &options, std::uint32_t failureCount)
{
    if (failureCount == 0) {
        return Duration::zero();
    }
    return std::min(options.recoveryTime * (1U << std::min(failureCount - 1, maximumDoublings)), options.maximumRecoveryTime);
}

/** Instances in different failure domains exchange heartbeats only while both are relays. */
bool exchangesHeartbeats(const View &view, const KnownInstance &known)
{
    return known.record.failureDomain == view.self.failureDomain || (known.relay && view.relay == view.self.name);
}

} // namespace

LivenessChange updateLiveness(const View &view, KnownInstance &known, TimePoint now)
{
    if (!exchangesHeartbeats(view, known)) {
        known.alive = false; // losing the relay role is not a failure
        known.bidirectionalSince = neverTime;
        return LivenessChange::None;
    }
    if (!hasBidirectionalContact(view, known, now)) {
        known.bidirectionalSince = neverTime;
        if (!known.alive) {
            return LivenessChange::None;
        }
        known.alive = false;
        ++known.failureCount;
        return LivenessChange::BecameSuspect;
    }
    if (known.bidirectionalSince == neverTime) {
        known.bidirectionalSince = now;
    }
    if (known.alive) {
        if (now - known.aliveSince >= view.options.maximumRecoveryTime * failureResetFactor) {
            known.failureCount = 0;
        }
        return LivenessChange::None;
    }
    if (now - known.bidirectionalSince < recoveryTime(view.options, known.failureCount)) {
        return LivenessChange::None;
    }
    known.alive = true;
    known.aliveSince = now;
    return LivenessChange::BecameAlive;
}

} // namespace mimosahollow::membership
