#include "contact.h"

#include <algorithm>

namespace mimosahollow::membership {

namespace {

/** An instance that stays alive for this many of the longest recovery times counts as never lost. */
constexpr int lossMemoryFactor = 10;
/** Keeps the shift of the recovery time in range; the maximum recovery time is reached earlier. */
constexpr std::uint32_t maximumDoublings = 16;

bool isRecent(TimePoint time, Duration window, TimePoint now)
{
    return time != neverTime && now - time < window;
}

bool hasTwoWayContact(const View &view, const KnownInstance &known, TimePoint now)
{
    const bool remote = known.record.failureDomain != view.self.failureDomain;
    const Duration interval = view.options.heartbeatInterval * (remote ? view.options.remoteIntervalFactor : 1);
    const Duration window = interval * view.options.missedForSuspicion;
    // The echo is up to one interval older than the heartbeat that carries it.
    return isRecent(known.heardAt, window, now) && isRecent(known.confirmedAt, window + interval, now);
}

Duration recoveryTime(const ViewOptions &options, std::uint32_t losses)
{
    if (losses == 0) {
        return Duration::zero();
    }
    return std::min(options.recoveryTime * (1U << std::min(losses - 1, maximumDoublings)), options.maximumRecoveryTime);
}

/** Instances of different failure domains exchange heartbeats only while both are relays. */
bool exchangesHeartbeats(const View &view, const KnownInstance &known)
{
    return known.record.failureDomain == view.self.failureDomain || (known.relay && view.relay == view.self.name);
}

} // namespace

ContactChange updateContact(const View &view, KnownInstance &known, TimePoint now)
{
    if (!exchangesHeartbeats(view, known)) {
        known.alive = false; // the end of a role is no loss
        known.twoWaySince = neverTime;
        return ContactChange::None;
    }
    if (!hasTwoWayContact(view, known, now)) {
        known.twoWaySince = neverTime;
        if (!known.alive) {
            return ContactChange::None;
        }
        known.alive = false;
        ++known.losses;
        return ContactChange::BecameSuspect;
    }
    if (known.twoWaySince == neverTime) {
        known.twoWaySince = now;
    }
    if (known.alive) {
        if (now - known.aliveSince >= view.options.maximumRecoveryTime * lossMemoryFactor) {
            known.losses = 0;
        }
        return ContactChange::None;
    }
    if (now - known.twoWaySince < recoveryTime(view.options, known.losses)) {
        return ContactChange::None;
    }
    known.alive = true;
    known.aliveSince = now;
    return ContactChange::BecameAlive;
}

} // namespace mimosahollow::membership
