#include "ingress/entryinternal.h"

#include "httpio/decimal.h"
#include "httpio/retryafter.h"
#include "httpio/serverload.h"
#include "ingress/serverexchange.h"
#include "mimosahollow/callpermits/permitissuer.h"
#include "mimosahollow/dispatch/serverlimits.h"
#include "mimosahollow/dispatch/servernotices.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <algorithm>

namespace mimosahollow::ingress {

namespace {

using Clock = std::chrono::steady_clock;

} // namespace

void Entry::limitStated(const std::string &server, std::string_view limit)
{
    const auto parsed = httpio::parseDecimal(limit);
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

void Entry::readNotices(const std::string &server, std::uint64_t born, const ServerExchange &exchange)
{
    const auto [leaving, leavingEnd] = exchange.fields().equal_range(m_settings.headers.serverLeaving);
    for (auto field = leaving; field != leavingEnd; ++field) {
        if (field->value() != "1") {
            observability::logWarning("the header with which backend server " + server + " says that it leaves has an unknown value");
        } else if (dispatch::leavingStated(m_dispatch, server, born)) {
            observability::DecisionLine line("server-leaving");
            line.add("server", server).add("born", born).add("status", exchange.status());
            observability::logDecision(line.text());
        }
    }
    readLoad(server, born, exchange);
    if (exchange.status() != 503) {
        return;
    }
    // If the field is repeated, the longest time counts.
    const auto [silence, silenceEnd] = exchange.fields().equal_range(boost::beast::http::field::retry_after);
    for (auto field = silence; field != silenceEnd; ++field) {
        const auto parsed = httpio::parseRetryAfter({field->value().data(), field->value().size()});
        if (!parsed) {
            observability::logWarning("the Retry-After of backend server " + server + " is not a number of seconds");
        } else if (dispatch::silenceRequested(m_dispatch, server, born, *parsed, Clock::now())) {
            observability::DecisionLine line("server-silence");
            line.add("server", server).add("born", born).add("ms", *parsed);
            observability::logDecision(line.text());
        }
    }
}

void Entry::readLoad(const std::string &server, std::uint64_t born, const ServerExchange &exchange)
{
    if (exchange.status() == 421 || m_settings.headers.serverLoad.empty()) {
        return; // 421 comes from another backend server at the same address
    }
    const auto count = exchange.fields().count(m_settings.headers.serverLoad);
    if (count == 0) {
        if (dispatch::loadNotStated(m_dispatch, server, born) == dispatch::LoadNotice::IgnoredFirst) {
            observability::logWarning("backend server " + server + " does not state its load any more");
        }
        return;
    }
    const auto load = count == 1 ? httpio::parseServerLoad(exchange.header(m_settings.headers.serverLoad)) : std::nullopt;
    if (dispatch::loadStated(m_dispatch, server, born, load, Clock::now()) == dispatch::LoadNotice::IgnoredFirst) {
        observability::logWarning("the load stated by backend server " + server + " is malformed");
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
