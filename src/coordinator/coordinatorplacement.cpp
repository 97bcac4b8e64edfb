#include "coordinator/coordinatorinternal.h"

#include "mimosahollow/controltraffic/intervals.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/post.hpp>

namespace mimosahollow::coordinator {

namespace {

using Clock = std::chrono::steady_clock;

/** Interval of placement plans when no report triggers one. Replicas and engines without weights depend on these periodic plans. */
constexpr Duration placementInterval = milliseconds(250);

} // namespace

void Coordinator::serversChanged(const std::vector<registry::ServerRecord> &servers, TimePoint now)
{
    if (!leads() || !m_catalog) {
        return;
    }
    for (const registry::ServerRecord &record : servers) {
        const catalog::ServiceSpec *service = m_catalog->findService(record.service);
        if (service == nullptr || !service->engine) {
            continue;
        }
        placement::updateServer(m_placement, record, !m_state.evacuatedDomains.contains(record.domain), now);
    }
}

void Coordinator::planPlacement(TimePoint now)
{
    m_nextPlacement = now + placementInterval;
    if (!leads() || !m_catalog || !hasMajorityContact(now)) {
        return;
    }
    for (const placement::ModelOrder &order : placement::planOrders(m_placement, *m_catalog, now)) {
        sendOrder(order);
    }
    flushPlacement();
}

/** Plans once for all reports and answers that arrive meanwhile, as each plan examines every adapter copy on every engine. */
void Coordinator::schedulePlacement()
{
    if (m_isPlacementScheduled) {
        return;
    }
    m_isPlacementScheduled = true;
    m_placementTimer.expires_after(controltraffic::planInterval(m_placement.engines.size()));
    m_placementTimer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (!error && *alive) {
            m_isPlacementScheduled = false;
            planPlacement(Clock::now());
        }
    });
}

void Coordinator::requestEngineReports(TimePoint now)
{
    for (const std::string &server : placement::takeDueReports(m_placement, now)) {
        const placement::EngineState &engine = m_placement.engines.at(server);
        const std::uint64_t term = m_placement.term;
        m_engines.report(server, engine.address, [this, alive = m_alive, server, term, born = engine.born](std::optional<placement::ModelReport> report) {
            if (!*alive || !leads() || m_placement.term != term) {
                return;
            }
            const TimePoint answered = Clock::now();
            if (report) {
                placement::applyReport(m_placement, server, born, *report, answered);
                flushPlacement();
            } else {
                placement::handleReportFailure(m_placement, server, answered);
            }
        });
    }
}

/** Publishes all changed placements in one message after the pending events are handled. */
void Coordinator::flushPlacement()
{
    if (m_placement.changedEngines.empty() || m_placementFlushPosted) {
        return;
    }
    m_placementFlushPosted = true;
    boost::asio::post(m_context, [this, alive = m_alive] {
        if (!*alive) {
            return;
        }
        m_placementFlushPosted = false;
        if (!leads()) {
            return;
        }
        const TimePoint now = Clock::now();
        fleetlink::PlacementUpdate update{m_placement.term, {}, m_feed.number + 1};
        for (const std::string &server : m_placement.changedEngines) {
            const auto engine = m_placement.engines.find(server);
            if (engine == m_placement.engines.end() || !engine->second.hasReport) {
                continue;
            }
            if (fleetlink::ServerPlacement placement = placementOf(server, now); feed::isNews(m_feed, placement, now)) {
                update.servers.push_back(std::move(placement));
            }
        }
        m_placement.changedEngines.clear();
        if (!update.servers.empty()) {
            feed::store(m_feed, update, now);
            publish(update);
        }
    });
}

fleetlink::ServerPlacement Coordinator::placementOf(const std::string &server, TimePoint now) const
{
    const placement::EngineState &engine = m_placement.engines.at(server);
    fleetlink::ServerPlacement placed{server, engine.born, {}};
    for (const auto &[key, copy] : engine.adapters) {
        // It is unknown whether an unanswered order was executed. If the adapter is missing on the engine, calls sent there would be
        // refused and lose their only attempt.
        const bool isUncertain = engine.unresolvedOrder && engine.unresolvedOrder->model == key.model && engine.unresolvedOrder->adapter == key.adapter;
        if (isUncertain || !copy.isConfirmed || copy.isUnloading) {
            continue;
        }
        const auto left = std::chrono::ceil<milliseconds>(copy.readyAt - now).count();
        placed.adapters.push_back({key.model, key.adapter, copy.version, static_cast<unsigned>(std::max<std::int64_t>(0, left))});
    }
    return placed;
}

} // namespace mimosahollow::coordinator
