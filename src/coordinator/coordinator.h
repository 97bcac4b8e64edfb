#pragma once

#include "app/voterstorage.h"
#include "coordinator/coordinatorsettings.h"
#include "coordinator/dutyoperations.h"
#include "coordinator/dutystate.h"
#include "coordinator/engineoperations.h"
#include "fleetlink/linkhub.h"
#include "mimosahollow/allowance/ratelimiter.h"
#include "mimosahollow/callpermits/permitissuer.h"
#include "mimosahollow/catalog/catalogdecoder.h"
#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/control/consensus.h"
#include "mimosahollow/feed/feed.h"
#include "mimosahollow/fleetstate/fleetcommand.h"
#include "mimosahollow/fleetstate/fleetstate.h"
#include "mimosahollow/placement/placement.h"
#include "mimosahollow/quarantine/crashledger.h"
#include "mimosahollow/registry/serverregistry.h"
#include "mimosahollow/serverpace/pacetable.h"
#include "mimosahollow/storage/filesystem.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace mimosahollow::coordinator {

/** The change is durable on a majority and applied. */
struct Committed
{
    bool changed = false; /**< False if the change was superseded or a duplicate. */
};

/** This coordinator is not the leader. */
struct NotLeader
{
    std::string leaderLink; /**< Link address of the leader; empty if unknown. */
};

/** The outcome of a change is unknown, or no decision is possible at present. */
struct Unavailable
{
    std::string reason;
};

using ChangeResult = std::variant<Committed, NotLeader, Unavailable>;
using ReadResult = std::variant<fleetstate::FleetState, NotLeader, Unavailable>;

/** Counters of a coordinator for its metrics. */
struct CoordinatorCounters
{
    std::uint64_t changes = 0;
    std::uint64_t changesFailed = 0;
    std::uint64_t announcements = 0; /**< Announcements of backend servers received directly. */
    std::uint64_t orders = 0; /**< Load and unload orders to engines. */
    std::uint64_t ordersUnanswered = 0;
    std::uint64_t reports = 0; /**< Reports of entry instances. */
    std::uint64_t elections = 0; /**< Elections won. */
    std::uint64_t serverEnds = 0; /**< Reports of backend servers that ended while they began to answer calls. */
};

/**
 * Maintains the replicated fleet state and the list of backend servers. While it is the leader, it also manages the token buckets
 * of the organisations and the placement of adapters. Runs on one event loop; only storage has a thread of its own.
 */
class Coordinator
{
public:
    Coordinator(boost::asio::io_context &context,
                CoordinatorSettings settings,
                catalog::CatalogDecoder decodeCatalog,
                EngineOperations engines,
                DutyOperations duties = {});
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /** Opens storage and the link listener. Returns an error message, empty on success. */
    [[nodiscard]] std::string start(std::unique_ptr<storage::FileSystem> files = storage::posixFileSystem());
    /** Replaces the seed addresses and connects to them. */
    void setSeeds(const std::vector<std::string> &seeds);

    /** Proposes @p command and waits until it is applied, at most CoordinatorSettings::changeTimeout. */
    [[nodiscard]] boost::asio::awaitable<ChangeResult> change(fleetstate::FleetCommand command);
    /** Linearizable read: returns the state after a majority has confirmed the leadership. */
    [[nodiscard]] boost::asio::awaitable<ReadResult> read();

    /** A backend server has announced itself to this coordinator. */
    void announce(registry::ServerRecord record);
    /** A backend server has given notice of its departure. */
    void removeServer(const std::string &server);

    [[nodiscard]] std::string metricsText() const;
    /** Called when storage has failed: this coordinator can no longer acknowledge anything. */
    std::function<void(const std::string &)> storageFailed;

private:
    struct PendingChange;
    struct PendingRead;
    struct EntryView;

    [[nodiscard]] bool leads() const noexcept;
    [[nodiscard]] std::string leaderLink() const;
    void executeActions(control::ConsensusActions actions);
    void executeAction(control::ConsensusAction &action);
    void send(const control::SendToVoter &message);
    void applyEntries(const std::vector<control::LogEntry> &entries);
    void installSnapshot(const control::InstallSnapshot &snapshot);
    void takeSnapshot();
    void stateChanged();
    void membershipChanged();
    void storageReported(storage::StorageEvent event);
    void finishChange(control::LogIndex index, control::Term term, bool changed);
    void finishRead(std::uint64_t read, bool confirmed);
    void becomeLeader(control::Term term);
    void loseLeadership();

    void scheduleTick();
    void tick(TimePoint now);
    void planVoters(TimePoint now);
    [[nodiscard]] bool hasMajorityContact(TimePoint now) const;
    void startGrants(TimePoint now);

    void linkOpened(const fleetlink::Peer &peer);
    void linkClosed(const fleetlink::Peer &peer);
    void consensusMessage(const fleetlink::Peer &peer, std::span<const std::uint8_t> bytes);
    void linkMessage(const fleetlink::Peer &peer, fleetlink::LinkMessage message);
    void handleReport(const fleetlink::Peer &peer, const fleetlink::EntryReport &report);
    [[nodiscard]] std::size_t knownEntries() const;
    [[nodiscard]] double reachedShare(TimePoint now) const;
    void confirmReports();
    void replyToReports(control::LogIndex index);
    void sendState(const fleetlink::Peer &peer);
    control::SharedBytes encodedState(bool withCatalog);
    void broadcastServers(const std::vector<registry::ServerRecord> &servers, bool heardDirectly, bool toEntries);
    void queueServers(const std::vector<registry::ServerRecord> &servers, bool toEntries);
    void sendQueuedServers(TimePoint now);
    control::SharedBytes serverTable();
    void broadcastCoordinators();
    [[nodiscard]] fleetlink::Coordinators knownCoordinators() const;

    void serversChanged(const std::vector<registry::ServerRecord> &servers, TimePoint now);
    void planPlacement(TimePoint now);
    void applyOrderHolders();
    void planOrderHolders(TimePoint now);
    boost::asio::awaitable<void> assignOrderSlots(placement::SlotAssignment assignment, control::Term term);
    void sendCredit(TimePoint now);
    void handleCredit(const fleetlink::Peer &peer, const fleetlink::OrderCredit &credit);
    void handleOrderRequest(const fleetlink::Peer &peer, const fleetlink::OrderRequest &request);
    void orderEnded(const placement::ModelOrder &order, placement::OrderOutcome outcome, TimePoint sent, control::Term term);
    void handleOrderReply(const fleetlink::OrderReply &reply);
    void expireOrders(TimePoint now);
    void schedulePlacement();
    void sendOrder(const placement::ModelOrder &order);
    void requestEngineReports(TimePoint now);
    void flushPlacement();
    [[nodiscard]] fleetlink::ServerPlacement placementOf(const std::string &server, TimePoint now) const;
    void handleFeed(const fleetlink::PlacementUpdate &update);
    void handleFeed(const fleetlink::LoadDigest &digest);
    void publish(const fleetlink::LinkMessage &message);
    void publishLoad(TimePoint now);
    void updatePaces(TimePoint now);
    void forgetGoneServers();
    void recordCrashes(const fleetlink::Peer &peer, const fleetlink::EntryReport &report, TimePoint now);
    void handlePermitRequests(const fleetlink::EntryReport &report, EntryView &entry, TimePoint now);
    void applyQuarantine(TimePoint now);
    void planQuarantine(TimePoint now);
    boost::asio::awaitable<void> changeQuarantine(fleetstate::CommandKind kind, std::string part);

    [[nodiscard]] bool hasDuties() const noexcept;
    [[nodiscard]] bool holdsDuty(std::string_view duty) const;
    void beginDutyTerm();
    void endDutyTerm();
    void recordClock(const std::string &machine, std::int64_t wall);
    [[nodiscard]] std::int64_t fleetMilliseconds();
    void recordUsage(const fleetlink::Peer &peer, const fleetlink::EntryReport &report);
    void logLateCounts(std::string_view source, std::uint64_t calls);
    void planDuties(TimePoint now);
    void planTakeover(std::string_view duty, TimePoint now);
    boost::asio::awaitable<void> takeDuty(std::string duty);
    void planUsage(TimePoint now);
    [[nodiscard]] std::vector<std::string> expectedEntries(TimePoint now) const;
    boost::asio::awaitable<void> fixUsage(duties::UsageReport report);
    [[nodiscard]] fleetsize::ServiceLoad loadOf(const catalog::ServiceSpec &service, TimePoint now) const;
    void planSizes(TimePoint now);
    void confirmLeadership();
    bool finishConfirmation(std::uint64_t read, bool confirmed);
    void sendDutyCalls(TimePoint now);
    void dutyCallEnded(std::uint64_t number, const duties::DutyCall &call, duties::DutyOutcome outcome, TimePoint sent);
    boost::asio::awaitable<void> acknowledgeUsage(std::uint64_t window);
    [[nodiscard]] std::vector<std::pair<std::string_view, std::uint64_t>> dutyGauges() const;

    boost::asio::io_context &m_context;
    CoordinatorSettings m_settings;
    catalog::CatalogDecoder m_decodeCatalog;
    EngineOperations m_engines;
    DutyOperations m_dutyOperations;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<fleetlink::LinkHub> m_hub;
    std::unique_ptr<app::VoterStorage> m_storage;
    std::unique_ptr<control::ConsensusState> m_consensus;
    control::VoterId m_self{};

    fleetstate::FleetState m_state;
    std::shared_ptr<const catalog::CatalogIndex> m_catalog; // decoded from m_state; null until a catalog is committed
    control::LogIndex m_snapshotIndex = 0;
    std::size_t m_bytesSinceSnapshot = 0;
    std::map<control::LogIndex, std::shared_ptr<PendingChange>> m_changes;
    std::map<std::uint64_t, std::shared_ptr<PendingRead>> m_reads;

    registry::ServerRegistry m_registry;
    struct QueuedServer
    {
        registry::ServerRecord record;
        bool toEntries = false;
    };
    std::map<std::string, QueuedServer> m_queuedServers; // changed, not yet sent to the connected instances
    TimePoint m_nextServerUpdate{};
    control::SharedBytes m_serverTable; // null: to be encoded again
    boost::asio::steady_timer m_serverUpdateTimer;
    struct EncodedState
    {
        control::LogIndex index = 0;
        control::SharedBytes withCatalog; // null: not encoded yet
        control::SharedBytes withoutCatalog;
    };
    EncodedState m_encodedState;
    std::map<std::string, registry::ServerRecord> m_refreshedServers; // announced again, not yet forwarded to the other coordinators
    std::map<std::string, EntryView> m_entries; // on the leader: entry instances by name

    bool m_isLeading = false; // set once the first entry of the own term as leader is applied
    TimePoint m_leadsSince{};
    allowance::RateLimiter m_rateLimiter;
    bool m_hasStartedGrants = false; // in this term
    placement::PlacementState m_placement;
    struct HolderCandidate
    {
        fleetlink::PeerNumber peer = 0;
        std::uint64_t stamp = 0; // of its newest credit
    };
    struct RemoteOrder
    {
        placement::ModelOrder order;
        TimePoint sent{};
        control::Term term = 0;
    };
    std::map<std::string, HolderCandidate> m_holderCandidates; // on the leader: coordinators that can send orders, by name
    std::map<std::uint64_t, RemoteOrder> m_remoteOrders; // on the leader: orders sent through another coordinator, by number
    std::uint64_t m_lastRemoteOrder = 0;
    control::Term m_orderTerm = 0; // newest term in which this coordinator executed an order of a leader
    TimePoint m_nextCredit{};
    bool m_placementFlushPosted = false;
    feed::FeedTable m_feed; // placements that the leader has published
    std::vector<fleetlink::PeerNumber> m_feedReceivers; // connections that have received the whole table; ascending
    TimePoint m_nextLoadDigest{};
    std::optional<std::uint64_t> m_reportRead; // leadership confirmation for m_confirmingReports
    std::vector<std::string> m_confirmingReports; // entry instances that are answered by the confirmation in progress
    std::vector<std::string> m_unconfirmedReports; // entry instances that are answered by the next one
    std::map<fleetlink::PeerNumber, std::uint64_t> m_sentCatalogs; // version of the catalog last sent on each connection
    std::string m_announcedLeader;
    TimePoint m_nextServerSync{};
    TimePoint m_nextVoterPlan{};
    TimePoint m_nextPlacement{}; // latest time; a report or an answer can cause a plan earlier
    boost::asio::steady_timer m_placementTimer;
    bool m_isPlacementScheduled = false;
    callpermits::PermitIssuer m_permitIssuer; // on the leader
    serverpace::PaceTable m_paces; // on the leader
    quarantine::CrashLedger m_crashLedger; // on the leader
    std::map<std::string, TimePoint> m_quarantinedSince; // on the leader: by prompt part, as far as it knows
    std::set<std::string> m_pendingQuarantines; // prompt parts with a change on its way
    TimePoint m_nextQuarantinePlan{};
    DutyState m_duties;
    CoordinatorCounters m_counters;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // shared with asynchronous handlers that may outlive this object
};

} // namespace mimosahollow::coordinator
