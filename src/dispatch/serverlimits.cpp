#include "mimosahollow/dispatch/serverlimits.h"

#include "mimosahollow/callpermits/permitbucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosahollow::dispatch {

namespace {

constexpr Duration permitLifetime = milliseconds(300); // two report intervals; unused permits keep other instances waiting
constexpr Duration ownStatementTime = milliseconds(1000); // until the leader and its digest have followed
constexpr Duration wishTimeout = milliseconds(500); // an answer of the leader takes a few milliseconds

constexpr Duration rateTime = seconds(1); // several calls also where an instance sends a few a second
constexpr Duration longestRetryDelay = seconds(4); // limits may end at any time, and callers should not stay away for long then

double sendsPerSecond(const ServiceLoad &load, TimePoint now)
{
    return load.sendsPerSecond * std::exp(-toSeconds(now - load.updatedAt) / toSeconds(rateTime));
}

double expectedSendRate(const DispatchState &state, const std::string &service, double callsPerSecond, TimePoint now)
{
    const auto load = state.services.find(service);
    const double share = callsPerSecond / std::max(1U, state.entryInstances);
    return load == state.services.end() ? share : std::max(share, sendsPerSecond(load->second, now));
}

bool hasIssuedPermit(const ServerView &server, TimePoint now)
{
    return server.permits > 0 && now < server.permitsUntil;
}

/** Begins the share with a random part of a permit, so that all instances together send at an even rate, also where shares are small. */
void updateShare(DispatchState &state, ServerView &server, TimePoint now)
{
    const double callsPerSecond = server.callsPerSecond / std::max(1U, state.entryInstances);
    if (server.share.callsPerSecond <= 0) {
        server.share = {callsPerSecond, std::uniform_real_distribution<double>(0, 1)(state.random), now};
    } else if (server.share.callsPerSecond != callsPerSecond) {
        callpermits::setLimit(server.share, callsPerSecond, now);
    }
}

} // namespace

bool hasPermit(DispatchState &state, ServerView &server, TimePoint now)
{
    if (server.callsPerSecond <= 0 || hasIssuedPermit(server, now)) {
        return true;
    }
    if (!state.isLeaderless) {
        return false;
    }
    updateShare(state, server, now);
    return callpermits::hasPermit(server.share, now);
}

void takePermit(ServerView &server, TimePoint now)
{
    if (server.callsPerSecond > 0 && hasIssuedPermit(server, now)) {
        --server.permits;
    } else {
        callpermits::takePermits(server.share, 1, now);
    }
}

void recordSend(DispatchState &state, const std::string &service, TimePoint now)
{
    ServiceLoad &load = state.services[service];
    load.sendsPerSecond = sendsPerSecond(load, now) + 1 / toSeconds(rateTime);
    load.updatedAt = now;
}

Duration expectedPermitWait(const DispatchState &state, const std::string &service, double callsPerSecond, unsigned ahead, TimePoint now)
{
    return fromSeconds(ahead / expectedSendRate(state, service, callsPerSecond, now));
}

Duration permitRetryDelay(DispatchState &state, const std::string &service, double callsPerSecond, Duration wait, TimePoint now)
{
    ServiceLoad &load = state.services[service];
    const TimePoint latest = now + longestRetryDelay;
    const TimePoint returnAt = std::min(latest, std::max(now + wait, load.nextReturn));
    load.nextReturn = std::min(latest, returnAt + fromSeconds(1 / expectedSendRate(state, service, callsPerSecond, now)));
    return returnAt - now;
}

void setLeaderless(DispatchState &state, bool isLeaderless)
{
    if (!isLeaderless && state.isLeaderless) {
        for (auto &[id, server] : state.servers) {
            server.share = {};
        }
    }
    state.isLeaderless = isLeaderless;
}

bool limitStated(DispatchState &state, const std::string &server, std::optional<double> callsPerSecond, TimePoint now)
{
    const auto found = state.servers.find(server);
    if (found == state.servers.end()) {
        return false;
    }
    ServerView &view = found->second;
    const double stated = callsPerSecond ? std::max(callpermits::minimumLimit, *callsPerSecond) : 0;
    const double before = std::exchange(view.callsPerSecond, stated);
    if (stated > 0 || before > 0) {
        view.statedLimit = stated;
        view.limitStatedAt = now;
        view.isLimitReported = false;
    }
    return stated != before;
}

void applyLimit(ServerView &server, double callsPerSecond, TimePoint now)
{
    if (server.limitStatedAt == TimePoint{} || now - server.limitStatedAt > ownStatementTime) {
        server.callsPerSecond = callsPerSecond;
    }
}

void addPermits(DispatchState &state, const std::string &server, unsigned permits, TimePoint now)
{
    if (const auto found = state.servers.find(server); found != state.servers.end()) {
        found->second.permits += permits;
        found->second.permitsUntil = now + permitLifetime;
    }
}

unsigned takePermitWishes(ServerView &server, std::uint64_t stamp, TimePoint now)
{
    const bool isAnswerDue = server.wishStamp != 0 && now - server.wishedAt < wishTimeout;
    if (server.callsPerSecond <= 0 || isAnswerDue || server.permitWishes.empty()) {
        return 0;
    }
    const auto wanted = static_cast<unsigned>(std::exchange(server.permitWishes, {}).size());
    if (wanted <= server.permits) {
        return 0;
    }
    server.wishStamp = stamp;
    server.wishedAt = now;
    return wanted - server.permits;
}

void permitWishesAnswered(DispatchState &state, std::uint64_t stamp)
{
    for (auto &[id, server] : state.servers) {
        if (server.wishStamp <= stamp) {
            server.wishStamp = 0;
        }
    }
}

unsigned takeExpiredPermits(ServerView &server, TimePoint now)
{
    return now < server.permitsUntil ? 0 : std::exchange(server.permits, 0);
}

} // namespace mimosahollow::dispatch
