#include "ingress/entryinternal.h"

#include "fleetlink/bootclock.h"
#include "mimosahollow/controltraffic/intervals.h"
#include "mimosahollow/dispatch/versions.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <algorithm>
#include <limits>

namespace mimosahollow::ingress {

namespace {

using Clock = std::chrono::steady_clock;

/** With the 3 s in which older copies are used, below the 5 s that the platform allows after the acknowledgement of a new version. */
constexpr Duration versionCertainty = milliseconds(1500);
constexpr Duration loadReportMargin = milliseconds(30); // a report's way to the leader, its plan, and the way of the order

} // namespace

void Entry::linkOpened(const fleetlink::Peer &peer)
{
    if (peer.dialedAddress == m_leader) {
        sendReport(Clock::now());
    }
}

void Entry::linkMessage(const fleetlink::Peer &peer, fleetlink::LinkMessage message)
{
    const TimePoint now = Clock::now();
    if (const auto *coordinators = std::get_if<fleetlink::Coordinators>(&message)) {
        for (const std::string &address : coordinators->addresses) {
            m_hub->dial(address);
        }
        if (!coordinators->leader.empty() && coordinators->leader != m_leader) {
            observability::DecisionLine line("leader-known");
            line.add("leader", coordinators->leader).add("before", m_leader).add("source", peer.hello.name);
            observability::logDecision(line.text());
            m_leader = coordinators->leader;
            m_sendsHistory = true;
            for (ObservedEnd &observed : m_observedEnds) {
                observed.isKnownToLeader = false;
                observed.reportStamp = 0;
            }
            m_feedHeard = now;
            m_hub->dial(m_leader);
            sendReport(now);
        }
    } else if (const auto *update = std::get_if<fleetlink::ServerUpdate>(&message)) {
        for (const registry::ServerRecord &record : update->servers) {
            if (dispatch::updateServer(m_dispatch, record, now)) {
                observability::DecisionLine line("server");
                line.add("id", record.id).add("state", static_cast<std::uint64_t>(record.state)).add("address", record.address);
                line.add("sequence", record.sequence).add("source", peer.hello.name);
                observability::logDecision(line.text());
            }
        }
        postDispatchWaitingCalls();
    } else if (auto *state = std::get_if<fleetstate::FleetState>(&message)) {
        applyState(std::move(*state));
    } else if (const auto *reply = std::get_if<fleetlink::LeaderReply>(&message)) {
        handleLeaderReply(*reply);
    } else if (const auto *digest = std::get_if<fleetlink::LoadDigest>(&message)) {
        if (peer.hello.domain == m_settings.domain) {
            m_feedHeard = now;
        }
        dispatch::applyLoad(m_dispatch, *digest, now);
        postDispatchWaitingCalls();
    } else if (const auto *placement = std::get_if<fleetlink::PlacementUpdate>(&message)) {
        dispatch::applyPlacement(m_dispatch, *placement, now);
        postDispatchWaitingCalls();
    }
}

void Entry::applyState(fleetstate::FleetState state)
{
    if (state.index < m_state.index) {
        return;
    }
    if (!state.catalogText) {
        if (state.catalogVersion != m_state.catalogVersion) {
            observability::logError("fleet state lacks the text of its catalog, version " + std::to_string(state.catalogVersion));
            return;
        }
        state.catalogText = m_state.catalogText;
    }
    const TimePoint now = Clock::now();
    // What the leader has confirmed was in force when its report was sent, so a later change was acknowledged after that.
    const bool isRecentChange = m_state.index != 0 && stateAge() < versionCertainty;
    const bool isNewCatalog = !m_dispatch.catalog || state.catalogVersion != m_state.catalogVersion;
    m_state = std::move(state);
    if (isNewCatalog && m_state.catalogText) {
        auto decoded = m_decodeCatalog(*m_state.catalogText);
        if (auto *catalog = std::get_if<catalog::Catalog>(&decoded)) {
            m_dispatch.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(*catalog)));
        } else {
            observability::logError("catalog from the leader is invalid: " + std::get<catalog::CatalogProblem>(decoded).message);
        }
    }
    m_state.catalogText.reset(); // only the decoded index is needed from here on
    m_dispatch.evacuatedDomains = m_state.evacuatedDomains;
    endOlderVersionsAfterSuspension(now);
    dispatch::setRequiredVersions(m_dispatch, m_state.adapterVersions, isRecentChange, now);
    m_versionsBootLead = bootLead(now);
    m_dispatch.quarantinedParts.clear();
    for (const auto &[part, index] : m_state.quarantinedParts) {
        m_dispatch.quarantinedParts.insert(part);
    }
    observability::DecisionLine line("state");
    line.add("index", m_state.index).add("catalog", m_state.catalogVersion).add("evacuated", m_state.evacuatedDomains.size());
    line.add("quarantined", m_state.quarantinedParts.size());
    observability::logDecision(line.text());
    postDispatchWaitingCalls();
}

void Entry::handleLeaderReply(const fleetlink::LeaderReply &reply)
{
    const TimePoint now = Clock::now();
    m_confirmedAt = std::max(m_confirmedAt, static_cast<std::int64_t>(reply.stamp));
    m_dispatch.entryInstances = std::max(1U, reply.entries);
    limitIdleConnections();
    m_dispatch.expectedLoadTime = milliseconds(reply.loadMilliseconds);
    if (reply.adapterLoadMilliseconds > 0) {
        m_settings.adapterLoadTime = milliseconds(reply.adapterLoadMilliseconds) + loadReportMargin;
    }
    m_sendsHistory = reply.wantsHistory;
    updateLeaderContact();
    m_suspectedParts = {reply.suspectedParts.begin(), reply.suspectedParts.end()};
    crashesReported(reply.stamp);
    permitsIssued(reply, now);
    usageReported(reply);
    for (boost::asio::steady_timer *waiter : std::exchange(m_stateWaiters, {})) {
        waiter->cancel();
    }
    for (const fleetlink::NamedNumber &tokens : reply.tokens) {
        allowance::addGrant(m_quotaCache, tokens.name, tokens.value, now);
    }
    for (TokenWaiter *waiter : m_tokenWaiters) {
        if (waiter->granted) {
            continue;
        }
        waiter->replies += reply.grantsTokens ? 1 : 0;
        if (allowance::spend(m_quotaCache, waiter->organisation, waiter->tokens, now)) {
            waiter->granted = true;
            waiter->timer.cancel();
        } else if (waiter->replies >= 2) {
            // The first reply may belong to a report that was sent before the wait began.
            waiter->granted = false;
            waiter->timer.cancel();
        }
    }
    postDispatchWaitingCalls();
}

/** Limits the idle connections of all instances together to half of those that a backend server accepts; the rest is left for new connections. */
void Entry::limitIdleConnections()
{
    if (!m_dispatch.catalog) {
        return;
    }
    std::size_t limit = std::numeric_limits<std::size_t>::max();
    for (const catalog::ServiceSpec &service : m_dispatch.catalog->catalog().services) {
        if (service.maximumConnections > 0) {
            limit = std::min<std::size_t>(limit, service.maximumConnections / (2 * m_dispatch.entryInstances));
        }
    }
    m_upstream.setIdleLimit(limit);
}

void Entry::scheduleReport(TimePoint at)
{
    if (m_reportAt != TimePoint{} && m_reportAt <= at && m_reportAt > m_lastReport) {
        return;
    }
    m_reportAt = at;
    m_reportTimer.expires_at(at);
    m_reportTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            sendReport(Clock::now());
        }
    });
}

fleetlink::AdapterDemand &Entry::demandOf(const std::string &model, const std::string &adapter, const std::string &service)
{
    fleetlink::AdapterDemand &demand = m_demand[{model, adapter}];
    demand.model = model;
    demand.adapter = adapter;
    demand.service = service;
    return demand;
}

/** Load pattern: refused callers retry after their Retry-After. Unless the adapter is loaded in the meantime, they would have to wait again. */
void Entry::addExpectedRetries(TimePoint now)
{
    std::erase_if(m_expectedRetries, [now](const auto &item) {
        return now >= item.second.until;
    });
    for (const auto &[key, calls] : m_expectedRetries) {
        fleetlink::AdapterDemand &demand = demandOf(key.first, key.second, calls.service);
        demand.waiting = std::max(demand.waiting, 1U);
    }
}

/** Reports the spent tokens to a new leader, so that its quota window continues that of its predecessor. */
void Entry::addHistory(fleetlink::EntryReport &report, TimePoint now) const
{
    report.hasHistory = true;
    report.knownMilliseconds = static_cast<unsigned>(std::chrono::duration_cast<milliseconds>(std::min<Duration>(now - m_startedAt, seconds(3600))).count());
    for (const auto &[organisation, quota] : m_quotaCache.quotas) {
        for (const allowance::Spending &spending : allowance::spendingHistory(m_quotaCache, quota, now)) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - spending.begin).count();
            report.spent.push_back({organisation, spending.tokens, static_cast<unsigned>(age)});
        }
    }
}

void Entry::sendReport(TimePoint now)
{
    m_lastReport = now;
    m_reportAt = {};
    updateLeaderContact();
    auto paces = serverpace::takeSamples(m_paceSamples); // without a leader they are dropped, since the next one needs newer ones
    bool isBusy = !m_waitingCalls.empty() || !m_tokenWaiters.empty();
    if (const fleetlink::Peer *leader = m_hub->findDialed(m_leader)) {
        fleetlink::EntryReport report;
        report.stamp = static_cast<std::uint64_t>(fleetlink::bootMilliseconds());
        for (auto &[organisation, quota] : m_quotaCache.quotas) {
            // A leader that still needs the history does not know of the grant, so the grant must not be returned to it.
            if (const double expired = allowance::takeExpired(m_quotaCache, quota, now); expired > 0 && !m_sendsHistory) {
                report.returned.push_back({organisation, expired});
            }
            quota.shortfall = 0;
            for (const TokenWaiter *waiter : m_tokenWaiters) {
                quota.shortfall += waiter->organisation == organisation && !waiter->granted ? waiter->tokens : 0;
            }
            if (const double requestedTokens = allowance::tokensToRequest(m_quotaCache, quota, now); requestedTokens >= 1) {
                report.tokenWishes.push_back({organisation, requestedTokens});
            }
        }
        if (m_sendsHistory) {
            addHistory(report, now);
            for (const auto &[key, calls] : m_running) {
                demandOf(key.first, key.second, calls.service);
            }
        }
        report.wantsFeed = now - m_feedHeard > controltraffic::digestTimeout(m_dispatch.servers.size());
        for (auto &[id, server] : m_dispatch.servers) {
            if (now < server.avoidUntil) {
                report.unreachable.push_back(id);
            }
            if (now < server.suspectUntil) {
                report.suspected.push_back(id);
            }
            if (server.running > 0) {
                report.running.push_back({server.key, server.running});
                isBusy = true;
            }
            server.reportedRunning = server.running;
        }
        for (const WaitingCall *waiter : m_waitingCalls) {
            if (!waiter->call->model.empty() && !waiter->choice) {
                fleetlink::AdapterDemand &demand = demandOf(waiter->call->model, waiter->call->adapter, waiter->call->service);
                ++demand.waiting;
                demand.inTime += now + m_settings.adapterLoadTime <= waiter->call->objectiveEnd ? 1 : 0;
            }
        }
        report.lateLoads = m_dispatch.loadResults.late;
        report.promptLoads = m_dispatch.loadResults.prompt;
        m_dispatch.loadResults = {};
        addExpectedRetries(now);
        addCrashes(report, now);
        addLimits(report, now);
        report.paces = std::move(paces);
        addUsage(report);
        for (auto demand = m_demand.begin(); demand != m_demand.end();) {
            const auto running = m_running.find(demand->first);
            demand->second.running = running == m_running.end() ? 0 : running->second.calls;
            report.demand.push_back(demand->second);
            // Adapters with waiting calls stay, so that one more report tells the leader when no call waits any more.
            if (demand->second.waiting == 0) {
                demand = m_demand.erase(demand);
            } else {
                demand->second.waiting = 0;
                demand->second.inTime = 0;
                demand->second.started = 0;
                ++demand;
            }
        }
        m_hub->send(leader->number, report);
    }
    scheduleReport(now + (isBusy ? controltraffic::reportInterval(m_dispatch.entryInstances) : m_settings.idleReportInterval));
}

} // namespace mimosahollow::ingress
