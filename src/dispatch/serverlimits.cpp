#include "mimosahollow/dispatch/serverlimits.h"

#include "mimosahollow/callpermits/permitbucket.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::dispatch {

namespace {

constexpr Duration permitLifetime = milliseconds(300); // two report intervals; unused permits keep other instances waiting
constexpr Duration ownStatementTime = milliseconds(1000); // until the leader and its digest have followed
constexpr Duration wishTimeout = milliseconds(500); // an answer of the leader takes a few milliseconds

} // namespace

bool hasPermit(const ServerView &server, TimePoint now)
{
    return server.callsPerSecond <= 0 || (server.permits > 0 && now < server.permitsUntil);
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
