#include "ingress/entryinternal.h"

#include "httpio/calllimit.h"
#include "mimosahollow/callpermits/permitissuer.h"
#include "mimosahollow/dispatch/serverlimits.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <algorithm>

namespace mimosahollow::ingress {

namespace {

using Clock = std::chrono::steady_clock;

} // namespace

void Entry::limitStated(const std::string &server, std::string_view limit)
{
    const auto parsed = httpio::parseCallLimit(limit);
    if (!limit.empty() && !parsed) {
        observability::logWarning("the limit named by backend server " + server + " is not a number");
        return;
    }
    if (dispatch::limitStated(m_dispatch, server, parsed, Clock::now())) {
        observability::DecisionLine line("server-limit");
        line.add("server", server).add("limit", limit);
        observability::logDecision(line.text());
    }
}

void Entry::addLimits(fleetlink::EntryReport &report, TimePoint now)
{
    for (auto &[id, server] : m_dispatch.servers) {
        if (server.limitStatedAt != TimePoint{} && (!server.isLimitReported || m_sendsHistory)) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - server.limitStatedAt).count();
            report.limits.push_back({{id, server.record.born, server.statedLimit}, static_cast<unsigned>(std::max<std::int64_t>(0, age))});
            server.isLimitReported = true;
        }
        const unsigned returned = dispatch::takeExpiredPermits(server, now);
        const unsigned wanted = dispatch::takePermitWishes(server, report.stamp, now);
        server.permitWishes.clear();
        if (wanted > 0 || returned > 0) {
            // A leader that still needs the history has not issued the permits.
            report.permitRequests.push_back({id, wanted, m_sendsHistory ? 0 : returned});
        }
    }
}

void Entry::updateLeaderContact()
{
    // Without any reply so far the number of entry instances is unknown, and so is the share.
    const bool isLeaderless = m_confirmedAt != 0 && stateAge() >= callpermits::contactTimeout;
    if (isLeaderless != m_dispatch.isLeaderless) {
        observability::DecisionLine line("leader-contact");
        line.add("leader", m_leader).add("outcome", isLeaderless ? "lost" : "regained").add("entries", m_dispatch.entryInstances);
        observability::logDecision(line.text());
    }
    dispatch::setLeaderless(m_dispatch, isLeaderless);
}

void Entry::permitsIssued(const fleetlink::LeaderReply &reply, TimePoint now)
{
    for (const fleetlink::IssuedPermits &issued : reply.permits) {
        dispatch::addPermits(m_dispatch, issued.server, issued.permits, now);
    }
    dispatch::permitWishesAnswered(m_dispatch, reply.stamp);
}

} // namespace mimosahollow::ingress
