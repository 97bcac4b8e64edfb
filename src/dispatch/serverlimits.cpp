#include "mimosahollow/dispatch/serverlimits.h"

#include "mimosahollow/callpermits/permitbucket.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::dispatch {

namespace {

constexpr Duration permitLifetime = milliseconds(300); // two report intervals; unused permits keep other instances waiting
constexpr Duration ownStatementTime = milliseconds(1000); // until the leader and its digest have followed
constexpr Duration wishTimeout = milliseconds(500); // an answer of the leader takes a few milliseconds
constexpr Duration sendRateTime = seconds(1); // several calls also where an instance sends a few a second
constexpr Duration longestRetryDelay = seconds(4); // limits may end at any time, and callers should not stay away for long then

double evenShare(const DispatchState &state, double callsPerSecond)
{
    return callsPerSecond / std::max(1U, state.entryInstances);
}

bool hasIssuedPermit(const ServerView &server, TimePoint now)
{
    return server.permits > 0 && now < server.permitsUntil;
}

/** Begins the own permits with a random part of a permit, so that all instances together send at an even rate, also where shares are small. */
void updateOwnPermits(DispatchState &state, ServerView &server, TimePoint now)
{
    const double callsPerSecond = evenShare(state, server.callsPerSecond);
    if (server.ownPermits.callsPerSecond <= 0) {
        server.ownPermits = {callsPerSecond, std::uniform_real_distribution<double>(0, 1)(state.random), now};
    } else if (server.ownPermits.callsPerSecond != callsPerSecond) {
        callpermits::setLimit(server.ownPermits, callsPerSecond, now);
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
    updateOwnPermits(state, server, now);
    return callpermits::hasPermit(server.ownPermits, now);
}

void takePermit(ServerView &server, TimePoint now)
{
    if (server.callsPerSecond > 0 && hasIssuedPermit(server, now)) {
        --server.permits;
    } else {
        callpermits::takePermits(server.ownPermits, 1, now);
    }
}

void recordSend(DispatchState &state, const std::string &service, TimePoint now)
{
    recordEvents(state.services[service].sends, 1, sendRateTime, now);
}

double expectedSendRate(const DispatchState &state, const std::string &service, double callsPerSecond, TimePoint now)
{
    const auto load = state.services.find(service);
    const double recent = load == state.services.end() ? 0 : rateAt(load->second.sends, sendRateTime, now);
    return std::max(evenShare(state, callsPerSecond), recent);
}

Duration permitRetryDelay(ServiceLoad &load, double sendRate, Duration wait, TimePoint now)
{
    const TimePoint latest = now + longestRetryDelay;
    const TimePoint returnAt = std::min(latest, std::max(now + wait, load.nextReturn));
    load.nextReturn = std::min(latest, returnAt + fromSeconds(1 / sendRate));
    return returnAt - now;
}

void setLeaderless(DispatchState &state, bool isLeaderless)
{
    if (!isLeaderless && state.isLeaderless) {
        for (auto &[id, server] : state.servers) {
            server.ownPermits = {};
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
    const double stated = callpermits::limitInForce(callsPerSecond);
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
