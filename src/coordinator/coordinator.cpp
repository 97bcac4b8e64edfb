#include "coordinator/coordinatorinternal.h"
#include "coordinator/voteridentity.h"

#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <sstream>

namespace mimosahollow::coordinator {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

// Log entries kept after a snapshot. Bounds the log in memory, where an entry may be hundreds of kilobytes.
constexpr std::size_t retainedEntries = 16;

/** Id of an initial voter: its IP address, so that all initial voters derive the same ids without communication. */
control::VoterId voterIdFromAddress(const std::string &address)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address_v4(address.substr(0, address.rfind(':')), error);
    return error ? control::VoterId{} : static_cast<control::VoterId>(ip.to_uint());
}

VoterIdentity makeIdentity(const CoordinatorSettings &settings)
{
    VoterIdentity identity;
    const bool isSeed = std::find(settings.seeds.begin(), settings.seeds.end(), settings.linkAddress) != settings.seeds.end();
    if (settings.bootstrapsFleet && isSeed) {
        identity.id = voterIdFromAddress(settings.linkAddress);
        for (const std::string &seed : settings.seeds) {
            identity.initialMembers.push_back({voterIdFromAddress(seed), seed, false});
        }
        return identity;
    }
    std::random_device random;
    while (identity.id == control::VoterId{}) {
        identity.id = static_cast<control::VoterId>(random());
    }
    return identity;
}

} // namespace

Coordinator::Coordinator(
    asio::io_context &context, CoordinatorSettings settings, catalog::CatalogDecoder decodeCatalog, EngineOperations engines, DutyOperations duties)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_decodeCatalog(std::move(decodeCatalog))
    , m_engines(std::move(engines))
    , m_dutyOperations(std::move(duties))
    , m_timer(context)
    , m_serverUpdateTimer(context)
    , m_placementTimer(context)
{
    m_settings.consensus.keptEntries = retainedEntries;
    m_registry.options = m_settings.registry;
    m_placement.options = m_settings.placement;
    m_placement.slots.options = m_settings.orderSlots;
    m_rateLimiter.options = m_settings.rateLimiter;
    m_duties.queue.options.callsPerSecond = m_settings.duties.callsPerSecond;
}

Coordinator::~Coordinator()
{
    *m_alive = false;
}

std::string Coordinator::start(std::unique_ptr<storage::FileSystem> files)
{
    const auto identity = loadOrCreateIdentity(*files, m_settings.dataFolder, makeIdentity(m_settings));
    if (const auto *problem = std::get_if<std::string>(&identity)) {
        return *problem;
    }
    const auto &self = std::get<VoterIdentity>(identity);
    m_self = self.id;
    const auto report = [this, alive = m_alive](storage::StorageEvent event) {
        asio::post(m_context, [this, alive, event = std::move(event)]() mutable {
            if (*alive) {
                storageReported(std::move(event));
            }
        });
    };
    m_storage = std::make_unique<app::VoterStorage>(m_settings.dataFolder + "/log", report, std::move(files));
    auto opened = m_storage->open();
    if (const auto *problem = std::get_if<std::string>(&opened)) {
        return *problem;
    }
    auto &log = std::get<control::DurableLog>(opened);
    if (log.snapshotData) {
        auto decoded = fleetstate::decodeSnapshot(*log.snapshotData);
        if (const auto *error = std::get_if<fleetstate::FleetStateError>(&decoded)) {
            return error->message;
        }
        m_state = std::get<fleetstate::FleetState>(std::move(decoded));
        m_snapshotIndex = log.snapshot.index;
        stateChanged();
    }
    fleetlink::LinkHubOptions options;
    options.self = {m_settings.name, m_settings.linkAddress, m_settings.domain, m_self};
    options.listenAddress = m_settings.linkAddress;
    m_hub = std::make_unique<fleetlink::LinkHub>(m_context,
                                                 options,
                                                 fleetlink::LinkHubEvents{[this](const fleetlink::Peer &peer) {
                                                                              linkOpened(peer);
                                                                          },
                                                                          [this](const fleetlink::Peer &peer) {
                                                                              linkClosed(peer);
                                                                          },
                                                                          [this](const fleetlink::Peer &peer, fleetlink::LinkMessage message) {
                                                                              linkMessage(peer, std::move(message));
                                                                          },
                                                                          [this](const fleetlink::Peer &peer, std::span<const std::uint8_t> bytes) {
                                                                              consensusMessage(peer, bytes);
                                                                          }});
    if (auto problem = m_hub->start(); !problem.empty()) {
        return problem;
    }
    observability::DecisionLine line("coordinator-start");
    line.add("voter", static_cast<std::uint64_t>(m_self)).add("founder", self.initialMembers.empty() ? "no" : "yes");
    line.add("log-entries", log.entries.size()).add("snapshot", log.snapshot.index).add("term", log.term);
    observability::logDecision(line.text());
    std::random_device random;
    m_consensus = std::make_unique<control::ConsensusState>(
        control::makeConsensus(m_self, m_settings.consensus, std::move(log), self.initialMembers, random(), Clock::now()));
    membershipChanged();
    setSeeds(m_settings.seeds);
    scheduleTick();
    return {};
}

void Coordinator::setSeeds(const std::vector<std::string> &seeds)
{
    m_settings.seeds = seeds;
    for (const std::string &seed : seeds) {
        m_hub->dial(seed);
    }
}

bool Coordinator::leads() const noexcept
{
    return m_isLeading;
}

std::string Coordinator::leaderLink() const
{
    if (m_consensus->role == control::VoterRole::Leader) {
        return m_settings.linkAddress;
    }
    for (const control::Member &member : m_consensus->members) {
        if (member.id == m_consensus->leader) {
            return member.address;
        }
    }
    return {};
}

void Coordinator::stateChanged()
{
    if (m_state.catalogText && (!m_catalog || m_catalog->catalog().version != m_state.catalogVersion)) {
        auto decoded = m_decodeCatalog(*m_state.catalogText);
        if (auto *catalog = std::get_if<catalog::Catalog>(&decoded)) {
            m_catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(*catalog)));
        } else {
            observability::logError("catalog in the replicated log cannot be decoded: " + std::get<catalog::CatalogProblem>(decoded).message);
        }
    }
    if (!m_hub) {
        return;
    }
    const TimePoint now = Clock::now();
    if (leads()) {
        if (m_catalog) {
            allowance::configure(m_rateLimiter, m_catalog->catalog());
        }
        applyOrderHolders();
        applyQuarantine(now);
        if (placement::setRequiredVersions(m_placement, m_state.adapterVersions, now)) {
            schedulePlacement();
        }
        std::vector<registry::ServerRecord> all;
        for (const auto &[id, entry] : m_registry.entries) {
            all.push_back(entry.record);
        }
        serversChanged(all, now);
        for (const fleetlink::Peer &peer : m_hub->peers()) {
            if (peer.hello.address.empty()) {
                sendState(peer);
            }
        }
    }
}

void Coordinator::membershipChanged()
{
    if (!m_hub || !m_consensus) {
        return;
    }
    for (const control::Member &member : m_consensus->members) {
        m_hub->dial(member.address);
    }
}

void Coordinator::becomeLeader(control::Term term)
{
    m_isLeading = true;
    ++m_counters.elections;
    const TimePoint now = Clock::now();
    observability::DecisionLine line("leader");
    line.add("term", term).add("index", m_state.index).add("catalog", m_state.catalogVersion);
    observability::logDecision(line.text());
    m_rateLimiter.accounts.clear();
    m_rateLimiter.grantsStartAt = now + m_rateLimiter.options.takeoverDelay;
    m_hasStartedGrants = false;
    m_entries.clear();
    m_permitIssuer = {};
    m_paces = {};
    m_crashLedger = {};
    m_quarantinedSince.clear();
    m_unconfirmedReports.clear();
    m_confirmingReports.clear();
    m_reportRead.reset();
    m_sentCatalogs.clear();
    m_leadsSince = now;
    placement::beginTerm(m_placement, term, now);
    m_holderCandidates.clear();
    m_remoteOrders.clear();
    m_feed = {term, 0, {}};
    m_feedReceivers.clear();
    beginDutyTerm();
    stateChanged();
    broadcastCoordinators();
}

/** Whether a majority of the voters, this one included, has answered within the contact timeout. */
bool Coordinator::hasMajorityContact(TimePoint now) const
{
    std::size_t voters = 0;
    std::size_t heard = 0;
    for (const control::Member &member : m_consensus->members) {
        if (member.learner) {
            continue;
        }
        ++voters;
        const auto progress = m_consensus->progress.find(member.id);
        const bool isHeard =
            member.id == m_self || (progress != m_consensus->progress.end() && now - progress->second.lastReplyAt <= m_settings.majorityContactTimeout);
        heard += isHeard ? 1 : 0;
    }
    return heard > voters / 2;
}

/** Starts granting tokens at the end of the takeover delay, or as soon as all connected entry instances have reported what they spent. */
void Coordinator::startGrants(TimePoint now)
{
    if (m_hasStartedGrants || now - m_leadsSince < m_settings.minimumTakeoverDelay) {
        return;
    }
    const auto peers = m_hub->peers();
    const bool isComplete = std::all_of(peers.begin(), peers.end(), [this](const fleetlink::Peer &peer) {
        const auto entry = m_entries.find(peer.hello.name);
        return !peer.hello.address.empty() || (entry != m_entries.end() && entry->second.hasHistory);
    });
    if (!isComplete && now < m_rateLimiter.grantsStartAt) {
        return;
    }
    m_hasStartedGrants = true;
    m_rateLimiter.grantsStartAt = std::min(m_rateLimiter.grantsStartAt, now);
    std::vector<TimePoint> knownSince;
    for (const auto &[name, entry] : m_entries) {
        if (entry.hasHistory) {
            knownSince.push_back(entry.historySince);
        }
    }
    allowance::assumeUnknownUse(m_rateLimiter, knownSince, now);
}

void Coordinator::loseLeadership()
{
    observability::logDecision("leadership-lost");
    m_isLeading = false;
    m_reportRead.reset();
    m_confirmingReports.clear();
    m_unconfirmedReports.clear();
    endDutyTerm();
    auto changes = std::move(m_changes);
    m_changes.clear();
    for (auto &[index, pending] : changes) {
        pending->isLost = true;
        pending->timer.cancel();
    }
    auto reads = std::move(m_reads);
    m_reads.clear();
    for (auto &[number, pending] : reads) {
        pending->confirmed = false;
        pending->timer.cancel();
    }
}

void Coordinator::scheduleTick()
{
    m_timer.expires_after(m_settings.tickInterval);
    m_timer.async_wait([this, alive = m_alive](boost::system::error_code error) {
        if (!error && *alive) {
            tick(Clock::now());
            scheduleTick();
        }
    });
}

void Coordinator::tick(TimePoint now)
{
    control::ConsensusActions actions;
    control::tick(*m_consensus, now, actions);
    executeActions(std::move(actions));
    m_storage->flush();
    if (const std::string leader = leaderLink(); leader != m_announcedLeader) {
        m_announcedLeader = leader;
        broadcastCoordinators();
    }
    if (now >= m_nextServerSync) {
        m_nextServerSync = now + seconds(1);
        m_serverTable.reset(); // cold times in it count from when it was encoded
        std::vector<registry::ServerRecord> refreshed;
        for (auto &[id, record] : m_refreshedServers) {
            refreshed.push_back(std::move(record));
        }
        m_refreshedServers.clear();
        if (!refreshed.empty()) {
            broadcastServers(refreshed, true, false);
        }
        forgetGoneServers();
        callpermits::forgetEnded(m_permitIssuer, now);
        if (leads()) {
            const auto expired = registry::expire(m_registry, now);
            if (!expired.empty()) {
                serversChanged(expired, now);
                queueServers(expired, true);
            }
        }
    }
    sendCredit(now);
    if (!leads()) {
        return;
    }
    callpermits::setIssuedShare(m_permitIssuer, reachedShare(now), now);
    expireOrders(now);
    planOrderHolders(now);
    if (now >= m_nextVoterPlan) {
        m_nextVoterPlan = now + milliseconds(250);
        planVoters(now);
    }
    requestEngineReports(now);
    if (now >= m_nextQuarantinePlan) {
        planQuarantine(now);
    }
    if (now >= m_nextLoadDigest) {
        publishLoad(now);
    }
    if (now >= m_nextPlacement) {
        planPlacement(now);
    }
    planDuties(now);
}

/** Adds or removes at most one member of the replicated log. */
void Coordinator::planVoters(TimePoint now)
{
    std::vector<voterplan::MemberView> members;
    for (const control::Member &member : m_consensus->members) {
        Duration silence{};
        if (const auto progress = m_consensus->progress.find(member.id); progress != m_consensus->progress.end()) {
            silence = now - progress->second.lastReplyAt;
        }
        members.push_back({member, silence});
    }
    std::vector<voterplan::ReachableCoordinator> reachable;
    for (const fleetlink::Peer &peer : m_hub->peers()) {
        if (!peer.hello.address.empty() && peer.dialedAddress == peer.hello.address) {
            reachable.push_back({{peer.hello.voter, peer.hello.address, true}});
        }
    }
    const auto change = voterplan::planChange(members, reachable, m_self, m_settings.voterPlan);
    if (!change) {
        return;
    }
    control::ConsensusActions actions;
    control::ProposalResult result;
    observability::DecisionLine line("voter-change");
    if (const auto *add = std::get_if<voterplan::AddMember>(&*change)) {
        line.add("add", add->member.address).add("voter", static_cast<std::uint64_t>(add->member.id));
        result = control::proposeMember(*m_consensus, add->member, now, actions);
    } else {
        const auto &remove = std::get<voterplan::RemoveMember>(*change);
        line.add("remove", static_cast<std::uint64_t>(remove.id));
        result = control::proposeRemoval(*m_consensus, remove.id, now, actions);
    }
    const auto *rejected = std::get_if<control::ProposalRejected>(&result);
    line.add("members", members.size()).add("outcome", rejected != nullptr ? control::toString(rejected->error) : "proposed");
    observability::logDecision(line.text());
    executeActions(std::move(actions));
    membershipChanged();
}

std::string Coordinator::metricsText() const
{
    std::ostringstream text;
    const auto counter = [&text](std::string_view name, std::uint64_t value) {
        text << "# TYPE mimosahollow_" << name << " counter\nmimosahollow_" << name << ' ' << value << '\n';
    };
    counter("changes_total", m_counters.changes);
    counter("changes_failed_total", m_counters.changesFailed);
    counter("announcements_total", m_counters.announcements);
    counter("orders_total", m_counters.orders);
    counter("orders_unanswered_total", m_counters.ordersUnanswered);
    counter("entry_reports_total", m_counters.reports);
    counter("elections_won_total", m_counters.elections);
    counter("server_ends_total", m_counters.serverEnds);
    const auto gauge = [&text](std::string_view name, std::uint64_t value) {
        text << "# TYPE mimosahollow_" << name << " gauge\nmimosahollow_" << name << ' ' << value << '\n';
    };
    gauge("leads", leads() ? 1 : 0);
    for (const auto &[name, value] : dutyGauges()) {
        gauge(name, value);
    }
    if (hasDuties()) {
        counter("duty_calls_accepted_total", m_duties.callsAccepted);
        counter("duty_calls_throttled_total", m_duties.callsThrottled);
        counter("duty_calls_rejected_total", m_duties.callsRejected);
        counter("duty_calls_unanswered_total", m_duties.callsUnanswered);
        counter("usage_late_calls_total", m_duties.lateCounts);
    }
    gauge("log_index", m_state.index);
    gauge("catalog_version", m_state.catalogVersion);
    gauge("backend_servers", m_registry.entries.size());
    const auto isLimited = [](const auto &item) {
        return item.second.statedLimit > 0;
    };
    gauge("limited_backend_servers", static_cast<std::uint64_t>(std::count_if(m_permitIssuer.buckets.begin(), m_permitIssuer.buckets.end(), isLimited)));
    gauge("slow_backend_servers", leads() ? serverpace::countServers(m_paces, serverpace::PaceClass::Slow) : 0);
    gauge("fast_backend_servers", leads() ? serverpace::countServers(m_paces, serverpace::PaceClass::Fast) : 0);
    gauge("suspected_prompt_parts", leads() ? quarantine::suspects(m_crashLedger).size() : 0);
    gauge("quarantined_prompt_parts", m_state.quarantinedParts.size());
    const auto isVoter = [](const control::Member &member) {
        return !member.learner;
    };
    const auto &members = m_consensus->members;
    const auto isOwnVote = [this, isVoter](const control::Member &member) {
        return member.id == m_self && isVoter(member);
    };
    gauge("log_vote", std::any_of(members.begin(), members.end(), isOwnVote) ? 1 : 0);
    gauge("log_voters", static_cast<std::uint64_t>(std::count_if(members.begin(), members.end(), isVoter)));
    return text.str();
}

} // namespace mimosahollow::coordinator
