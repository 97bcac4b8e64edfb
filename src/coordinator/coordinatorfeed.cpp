#include "coordinator/coordinatorinternal.h"

#include "mimosahollow/controltraffic/intervals.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace mimosahollow::coordinator {

namespace {

using Clock = std::chrono::steady_clock;

} // namespace

/** Passes placements of the leader on to the entry instances of the own failure domain. */
void Coordinator::handleFeed(const fleetlink::PlacementUpdate &update)
{
    if (leads()) {
        return;
    }
    const bool isNewTerm = update.term > m_feed.term;
    if (!feed::store(m_feed, update, Clock::now())) {
        return;
    }
    if (isNewTerm) {
        m_feedReceivers.clear();
    }
    publish(update);
}

void Coordinator::handleFeed(const fleetlink::LoadDigest &digest)
{
    if (!leads() && digest.term >= m_feed.term) {
        publish(digest);
    }
}

/** Sends a message of the feed. A receiver without the placements published so far gets all of them first. */
void Coordinator::publish(const fleetlink::LinkMessage &message)
{
    std::vector<feed::Subscriber> subscribers;
    for (const fleetlink::Peer &peer : m_hub->peers()) {
        const bool isEntry = peer.hello.address.empty();
        if (!isEntry && peer.dialedAddress.empty()) {
            continue; // the other of the two connections to this coordinator is used
        }
        const auto entry = m_entries.find(peer.hello.name);
        const bool wantsDirect = entry != m_entries.end() && entry->second.wantsFeed;
        subscribers.push_back({peer.number, peer.hello.name, peer.hello.domain, isEntry, wantsDirect});
    }
    auto receivers = leads() ? feed::leaderReceivers(subscribers, m_settings.domain) : feed::relayReceivers(subscribers, m_settings.domain);
    std::vector<fleetlink::PeerNumber> added;
    std::set_difference(receivers.begin(), receivers.end(), m_feedReceivers.begin(), m_feedReceivers.end(), std::back_inserter(added));
    if (!added.empty()) {
        observability::DecisionLine line("feed-receivers");
        line.add("added", added.size()).add("total", receivers.size()).add("term", m_feed.term).add("number", m_feed.number);
        observability::logDecision(line.text());
        const auto table = std::make_shared<const control::Bytes>(fleetlink::encode(feed::contentOf(m_feed, Clock::now())));
        for (const fleetlink::PeerNumber peer : added) {
            m_hub->sendEncoded(peer, link::MessageKind::Relay, table);
        }
    }
    m_feedReceivers = std::move(receivers);
    const auto bytes = std::make_shared<const control::Bytes>(fleetlink::encode(message));
    for (const fleetlink::PeerNumber peer : m_feedReceivers) {
        m_hub->sendEncoded(peer, link::MessageKind::Relay, bytes);
    }
}

/** Compares the backend servers of each service by the samples that the entry instances have reported. */
void Coordinator::updatePaces(TimePoint now)
{
    std::vector<serverpace::PacedServer> servers;
    servers.reserve(m_registry.entries.size());
    for (const auto &[id, entry] : m_registry.entries) {
        if (entry.record.state != registry::ServerState::Gone) {
            servers.push_back({registry::serverKey(id), id, entry.record.service});
        }
    }
    for (const serverpace::PaceChange &change : serverpace::updatePaces(m_paces, servers, now)) {
        observability::DecisionLine line("server-pace");
        line.add("server", change.id).add("service", change.service).add("outcome", serverpace::toString(change.paceClass));
        line.add("hundredths", static_cast<std::uint64_t>(std::lround(change.relative * 100)));
        observability::logDecision(line.text());
    }
    std::map<std::string, double> enginePaces;
    for (const serverpace::PacedServer &server : servers) {
        // Most servers are at 1, which engines without an entry have.
        if (const double pace = serverpace::steadyPace(m_paces, server.serverKey); pace != 1) {
            enginePaces.emplace(server.id, pace);
        }
    }
    placement::setEnginePaces(m_placement, enginePaces);
}

/**
 * Publishes how many calls run on each backend server, and which ones are slow or fast. Sent without calls too, since receivers take its absence for
 * a lost feed.
 */
void Coordinator::publishLoad(TimePoint now)
{
    m_nextLoadDigest = now + controltraffic::digestInterval(m_registry.entries.size());
    std::map<std::uint32_t, unsigned> running;
    for (const auto &[name, entry] : m_entries) {
        for (const fleetlink::ServerLoad &load : entry.running) {
            running[load.serverKey] += load.running;
        }
    }
    fleetlink::LoadDigest digest{m_placement.term, {}, now >= m_rateLimiter.grantsStartAt, {}};
    for (const auto &[server, bucket] : m_permitIssuer.buckets) {
        if (bucket.statedLimit > 0) {
            digest.limits.push_back({registry::serverKey(server), bucket.statedLimit});
        }
    }
    for (const auto &[key, count] : running) {
        digest.servers.push_back({key, count});
    }
    updatePaces(now);
    digest.paces = serverpace::publishedPaces(m_paces);
    publish(digest);
}

void Coordinator::forgetGoneServers()
{
    std::erase_if(m_feed.rows, [this](const auto &row) {
        return !m_registry.entries.contains(row.first);
    });
    std::erase_if(m_permitIssuer.buckets, [this](const auto &bucket) {
        return !m_registry.entries.contains(bucket.first);
    });
}

} // namespace mimosahollow::coordinator
