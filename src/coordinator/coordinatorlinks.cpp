#include "coordinator/coordinatorinternal.h"

#include "mimosahollow/controltraffic/intervals.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <algorithm>

namespace mimosahollow::coordinator {

namespace {

using Clock = std::chrono::steady_clock;

/** An entry instance that sends no report for this long is no longer counted among those that share the fleet-wide limits. */
constexpr Duration entryTimeout = seconds(6);

/** Entry instances have no link address in their Hello. */
bool isEntry(const fleetlink::Peer &peer)
{
    return peer.hello.address.empty();
}

void logServer(const registry::ServerRecord &record, std::string_view source)
{
    constexpr std::array<std::string_view, 3> states{"ready", "draining", "gone"};
    observability::DecisionLine line("server");
    line.add("id", record.id).add("state", states.at(static_cast<std::size_t>(record.state))).add("address", record.address).add("domain", record.domain);
    line.add("sequence", record.sequence).add("born", record.born).add("cold-ms", record.coldMilliseconds).add("source", source);
    observability::logDecision(line.text());
}

} // namespace

void Coordinator::announce(registry::ServerRecord record)
{
    ++m_counters.announcements;
    const TimePoint now = Clock::now();
    const registry::ServerRecord copy = record;
    switch (registry::merge(m_registry, std::move(record), now)) {
    case registry::MergeOutcome::Changed:
        logServer(copy, "announcement");
        queueServers({copy}, true);
        serversChanged({copy}, now);
        break;
    case registry::MergeOutcome::Refreshed:
        m_refreshedServers[copy.id] = copy;
        break;
    case registry::MergeOutcome::Stale:
        break;
    }
}

void Coordinator::removeServer(const std::string &server)
{
    const TimePoint now = Clock::now();
    if (const auto record = registry::remove(m_registry, server, now)) {
        logServer(*record, "departure");
        queueServers({*record}, true);
        serversChanged({*record}, now);
    }
}

/** All records. Encoded once for the many connections that open after a start. */
control::SharedBytes Coordinator::serverTable()
{
    if (!m_serverTable) {
        fleetlink::ServerUpdate all;
        all.servers.reserve(m_registry.entries.size());
        for (const auto &[id, entry] : m_registry.entries) {
            all.servers.push_back(entry.record);
        }
        m_serverTable = std::make_shared<const control::Bytes>(fleetlink::encode(all));
    }
    return m_serverTable;
}

/**
 * Sends changed records to the other coordinators and, with @p toEntries, to the entry instances: at once, unless the previous update was sent a moment ago.
 * The end of a server never waits: it is acknowledged next, and this coordinator may end right after that.
 */
void Coordinator::queueServers(const std::vector<registry::ServerRecord> &servers, bool toEntries)
{
    const TimePoint now = Clock::now();
    const bool isScheduled = !m_queuedServers.empty();
    m_serverTable.reset();
    for (const registry::ServerRecord &record : servers) {
        QueuedServer &queued = m_queuedServers[record.id];
        queued = {record, toEntries || queued.toEntries};
    }
    const bool anyEnds = std::any_of(servers.begin(), servers.end(), [](const registry::ServerRecord &record) {
        return record.state != registry::ServerState::Ready;
    });
    if (anyEnds || (!isScheduled && now >= m_nextServerUpdate)) {
        sendQueuedServers(now);
        return;
    }
    if (isScheduled) {
        return;
    }
    m_serverUpdateTimer.expires_at(m_nextServerUpdate);
    m_serverUpdateTimer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (!error && *alive) {
            sendQueuedServers(Clock::now());
        }
    });
}

void Coordinator::sendQueuedServers(TimePoint now)
{
    m_nextServerUpdate = now + controltraffic::updateInterval(m_hub->peers().size());
    std::vector<registry::ServerRecord> forAll;
    std::vector<registry::ServerRecord> forCoordinators;
    for (auto &[id, queued] : m_queuedServers) {
        (queued.toEntries ? forAll : forCoordinators).push_back(std::move(queued.record));
    }
    m_queuedServers.clear();
    if (!forAll.empty()) {
        broadcastServers(forAll, false, true); // some may come from another coordinator
    }
    if (!forCoordinators.empty()) {
        broadcastServers(forCoordinators, false, false);
    }
}

void Coordinator::broadcastServers(const std::vector<registry::ServerRecord> &servers, bool heardDirectly, bool toEntries)
{
    const auto bytes = std::make_shared<const control::Bytes>(fleetlink::encode(fleetlink::ServerUpdate{servers, heardDirectly}));
    for (const fleetlink::Peer &peer : m_hub->peers()) {
        const bool wanted = isEntry(peer) ? toEntries : !peer.dialedAddress.empty();
        if (wanted) {
            m_hub->sendEncoded(peer.number, link::MessageKind::Relay, bytes);
        }
    }
}

fleetlink::Coordinators Coordinator::knownCoordinators() const
{
    fleetlink::Coordinators known;
    known.leader = leaderLink();
    known.addresses.push_back(m_settings.linkAddress);
    for (const fleetlink::Peer &peer : m_hub->peers()) {
        if (!isEntry(peer) && !peer.dialedAddress.empty()) {
            known.addresses.push_back(peer.dialedAddress);
        }
    }
    for (const control::Member &member : m_consensus->members) {
        if (std::find(known.addresses.begin(), known.addresses.end(), member.address) == known.addresses.end()) {
            known.addresses.push_back(member.address);
        }
    }
    return known;
}

void Coordinator::broadcastCoordinators()
{
    const auto bytes = std::make_shared<const control::Bytes>(fleetlink::encode(knownCoordinators()));
    for (const fleetlink::Peer &peer : m_hub->peers()) {
        m_hub->sendEncoded(peer.number, link::MessageKind::Relay, bytes);
    }
}

void Coordinator::linkOpened(const fleetlink::Peer &peer)
{
    if (!isEntry(peer)) {
        m_hub->dial(peer.hello.address);
        // When all voters start at once there is no leader yet. Elect one without waiting for a whole election timeout.
        control::expediteElection(*m_consensus, m_settings.electionSpread, Clock::now());
    }
    if (isEntry(peer) || !peer.dialedAddress.empty()) {
        m_hub->send(peer.number, knownCoordinators());
        m_hub->sendEncoded(peer.number, link::MessageKind::Relay, serverTable());
    }
    if (isEntry(peer)) {
        sendState(peer);
    } else if (!peer.dialedAddress.empty()) {
        broadcastCoordinators();
    }
}

void Coordinator::linkClosed(const fleetlink::Peer &peer)
{
    m_sentCatalogs.erase(peer.number);
    const auto peers = m_hub->peers();
    const bool isConnected = std::any_of(peers.begin(), peers.end(), [&peer](const fleetlink::Peer &other) {
        return other.number != peer.number && other.hello.voter == peer.hello.voter;
    });
    if (!isEntry(peer) && !isConnected) {
        // Elect a new leader at once: until then no tokens are granted and no adapters are loaded, which matters if the process of the
        // leader ends during a burst of load.
        control::voterDisconnected(*m_consensus, peer.hello.voter, m_settings.electionSpread, Clock::now());
    }
}

/** Sends the replicated state, without the catalog if this version was already sent on the connection. */
void Coordinator::sendState(const fleetlink::Peer &peer)
{
    if (!m_state.catalogText) {
        return;
    }
    const auto sent = m_sentCatalogs.find(peer.number);
    const bool hasCatalog = sent != m_sentCatalogs.end() && sent->second == m_state.catalogVersion;
    m_sentCatalogs[peer.number] = m_state.catalogVersion;
    m_hub->sendEncoded(peer.number, link::MessageKind::Relay, encodedState(!hasCatalog));
}

/**
 * The replicated state, @p withCatalog or without the text of the catalog. Encoded once for each log index, as the same state goes to all entry instances
 * after a change and when they connect again after a restart.
 */
control::SharedBytes Coordinator::encodedState(bool withCatalog)
{
    if (m_encodedState.index != m_state.index) {
        m_encodedState = {m_state.index, {}, {}};
    }
    control::SharedBytes &bytes = withCatalog ? m_encodedState.withCatalog : m_encodedState.withoutCatalog;
    if (!bytes) {
        fleetstate::FleetState state = m_state;
        if (!withCatalog) {
            state.catalogText.reset();
        }
        bytes = std::make_shared<const control::Bytes>(fleetlink::encode(std::move(state)));
    }
    return bytes;
}

void Coordinator::linkMessage(const fleetlink::Peer &peer, fleetlink::LinkMessage message)
{
    if (const auto *known = std::get_if<fleetlink::Coordinators>(&message)) {
        for (const std::string &address : known->addresses) {
            m_hub->dial(address);
        }
    } else if (auto *update = std::get_if<fleetlink::ServerUpdate>(&message)) {
        const TimePoint now = Clock::now();
        std::vector<registry::ServerRecord> changed;
        for (registry::ServerRecord &record : update->servers) {
            const registry::ServerRecord copy = record;
            if (registry::merge(m_registry, std::move(record), now) == registry::MergeOutcome::Changed) {
                logServer(copy, peer.hello.name);
                changed.push_back(copy);
            }
        }
        if (!changed.empty()) {
            serversChanged(changed, now);
            // An entry instance may have no connection to the coordinator that received the announcement.
            queueServers(changed, leads());
        }
    } else if (const auto *report = std::get_if<fleetlink::EntryReport>(&message)) {
        handleReport(peer, *report);
    } else if (const auto *placements = std::get_if<fleetlink::PlacementUpdate>(&message)) {
        handleFeed(*placements);
    } else if (const auto *digest = std::get_if<fleetlink::LoadDigest>(&message)) {
        handleFeed(*digest);
    } else if (const auto *credit = std::get_if<fleetlink::OrderCredit>(&message)) {
        handleCredit(peer, *credit);
    } else if (const auto *request = std::get_if<fleetlink::OrderRequest>(&message)) {
        handleOrderRequest(peer, *request);
    } else if (const auto *reply = std::get_if<fleetlink::OrderReply>(&message)) {
        handleOrderReply(*reply);
    }
}

void Coordinator::handleReport(const fleetlink::Peer &peer, const fleetlink::EntryReport &report)
{
    if (!leads()) {
        return;
    }
    ++m_counters.reports;
    const TimePoint now = Clock::now();
    EntryView &entry = m_entries[peer.hello.name];
    entry.peer = peer.number;
    entry.lastReportAt = now;
    entry.stamp = report.stamp;
    entry.running = report.running;
    entry.wantsFeed = report.wantsFeed;
    if (report.hasHistory && !entry.hasHistory) {
        entry.hasHistory = true;
        entry.historySince = now - milliseconds(report.knownMilliseconds);
        for (const fleetlink::SpentTokens &spent : report.spent) {
            allowance::recordPastUse(m_rateLimiter, spent.organisation, spent.tokens, milliseconds(spent.ageMilliseconds), now);
        }
    }
    startGrants(now);
    recordUsage(peer, report);
    recordCrashes(peer, report, now);
    handlePermitRequests(report, entry, now);
    serverpace::recordSamples(m_paces, report.paces, now);
    for (const fleetlink::NamedNumber &returned : report.returned) {
        allowance::returnTokens(m_rateLimiter, returned.name, returned.value);
    }
    for (const fleetlink::NamedNumber &wish : report.tokenWishes) {
        if (!entry.hasHistory || !m_rateLimiter.accounts.contains(wish.name)) {
            continue; // no history yet, or the organisation's rate was removed and the entry instance does not know it yet
        }
        const double granted = allowance::grant(m_rateLimiter, wish.name, wish.value, now);
        entry.granted[wish.name] += granted;
        if (granted < wish.value && now >= m_rateLimiter.grantsStartAt) {
            const allowance::RateLimitAccount &account = m_rateLimiter.accounts[wish.name];
            observability::DecisionLine line("tokens-short");
            line.add("entry", peer.hello.name).add("organisation", wish.name).add("wish", static_cast<std::uint64_t>(wish.value));
            line.add("granted", static_cast<std::uint64_t>(granted)).add("rate", static_cast<std::uint64_t>(account.ratePerSecond));
            line.add("burst", static_cast<std::uint64_t>(account.burst));
            observability::logDecision(line.text());
        }
    }
    for (const std::string &server : report.unreachable) {
        placement::markUnreachable(m_placement, server, now);
    }
    for (const std::string &server : report.suspected) {
        placement::suspect(m_placement, server, now);
    }
    if (placement::recordLoadResults(m_placement.loadTime, {report.lateLoads, report.promptLoads}, now)) {
        observability::DecisionLine line("load-time");
        line.add("ms", m_placement.loadTime.value).add("entry", peer.hello.name);
        observability::logDecision(line.text());
    }
    placement::setEntryDomain(m_placement, peer.hello.name, peer.hello.domain);
    bool anyWaits = false;
    for (const fleetlink::AdapterDemand &demand : report.demand) {
        const placement::EntryDemand counts{demand.waiting, demand.inTime, demand.started, demand.running};
        placement::recordDemand(m_placement, peer.hello.name, {demand.model, demand.adapter}, demand.service, counts, now);
        anyWaits = anyWaits || demand.waiting > 0;
    }
    if (anyWaits) {
        schedulePlacement();
    }
    m_unconfirmedReports.push_back(peer.hello.name);
    confirmReports();
}

void Coordinator::handlePermitRequests(const fleetlink::EntryReport &report, EntryView &entry, TimePoint now)
{
    for (const fleetlink::ReportedLimit &reported : report.limits) {
        if (callpermits::applyStatement(m_permitIssuer, reported.limit, now - milliseconds(reported.ageMilliseconds), now)) {
            observability::DecisionLine line("server-limit");
            line.add("server", reported.limit.server).add("born", reported.limit.born);
            line.add("calls-per-minute", static_cast<std::uint64_t>(reported.limit.callsPerSecond * 60));
            observability::logDecision(line.text());
        }
    }
    if (!report.limits.empty()) {
        std::set<std::string> limited;
        for (const auto &[server, bucket] : m_permitIssuer.buckets) {
            if (bucket.statedLimit > 0) {
                limited.insert(server);
            }
        }
        placement::setLimitedEngines(m_placement, limited);
    }
    for (const fleetlink::PermitRequest &request : report.permitRequests) {
        callpermits::takeBack(m_permitIssuer, request.server, request.returned, now);
        if (const unsigned issued = callpermits::issue(m_permitIssuer, request.server, request.wanted, now); issued > 0) {
            entry.permits[request.server] += issued;
        }
    }
}

std::size_t Coordinator::knownEntries() const
{
    // A new leader has received few reports yet, but every entry instance has a connection.
    return std::max(m_entries.size(), m_hub->entryCount());
}

/** Part of the entry instances that have reported lately. */
double Coordinator::reachedShare(TimePoint now) const
{
    const auto reached = std::count_if(m_entries.begin(), m_entries.end(), [now](const auto &item) {
        return now - item.second.lastReportAt < callpermits::contactTimeout;
    });
    const std::size_t known = knownEntries();
    return known == 0 ? 1 : static_cast<double>(reached) / static_cast<double>(known);
}

/** Confirms the leadership by one round of the log, for all reports that arrived before it. */
void Coordinator::confirmReports()
{
    if (m_reportRead || m_unconfirmedReports.empty() || !leads()) {
        return;
    }
    m_confirmingReports.swap(m_unconfirmedReports);
    control::ConsensusActions actions;
    m_reportRead = control::requestRead(*m_consensus, actions);
    control::tick(*m_consensus, Clock::now(), actions);
    executeActions(std::move(actions));
}

/** Replies to the reports in m_confirmingReports; @p index is the log index up to which the replies are current. */
void Coordinator::replyToReports(control::LogIndex index)
{
    const TimePoint now = Clock::now();
    std::erase_if(m_entries, [this, now](const auto &item) {
        const bool isGone = now - item.second.lastReportAt > entryTimeout;
        if (isGone) {
            placement::removeEntry(m_placement, item.first);
        }
        return isGone;
    });
    const auto entries = static_cast<unsigned>(knownEntries());
    const auto loadMilliseconds = static_cast<unsigned>(std::chrono::ceil<milliseconds>(placement::expectedLoadTime(m_placement, now)).count());
    const std::vector<std::string> suspects = quarantine::suspects(m_crashLedger);
    const std::int64_t fleetTime = fleetMilliseconds();
    for (const std::string &name : m_confirmingReports) {
        const auto found = m_entries.find(name);
        if (found == m_entries.end()) {
            continue;
        }
        EntryView &entry = found->second;
        fleetlink::LeaderReply reply{entry.stamp, index, entries, {}, !entry.hasHistory, now >= m_rateLimiter.grantsStartAt, loadMilliseconds, suspects, {}};
        reply.adapterLoadMilliseconds = static_cast<unsigned>(std::chrono::ceil<milliseconds>(m_placement.loadTime.value).count());
        for (const auto &[organisation, tokens] : entry.granted) {
            reply.tokens.push_back({organisation, tokens});
        }
        entry.granted.clear();
        for (const auto &[server, permits] : std::exchange(entry.permits, {})) {
            reply.permits.push_back({server, permits});
        }
        reply.fleetMilliseconds = fleetTime;
        reply.fixedWindow = fleetTime == 0 ? 0 : m_state.fixedWindow;
        m_hub->send(entry.peer, reply);
    }
}

} // namespace mimosahollow::coordinator
