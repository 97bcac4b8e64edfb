#pragma once

#include "fleetlink/linkhub.h"
#include "gateway/upstream.h"
#include "ingress/entrysettings.h"
#include "mimosahollow/allowance/quotacache.h"
#include "mimosahollow/callerlimits/callerholdings.h"
#include "mimosahollow/catalog/catalogdecoder.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/duties/usagecounter.h"
#include "mimosahollow/fleetstate/fleetstate.h"
#include "mimosahollow/observability/metrics.h"
#include "mimosahollow/quarantine/serverend.h"
#include "mimosahollow/quarantine/soundparts.h"
#include "mimosahollow/serverpace/samplesums.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosahollow::gateway {
class CallerWatch;
}

namespace mimosahollow::ingress {

class ServerExchange;

/** The caller disconnected while its call waited. */
struct CallerDisconnected
{
};

enum class TokenOutcome : std::uint8_t {
    Acquired,
    OverRate, /**< The leader granted fewer tokens than the call needs. */
    NoLeader, /**< No leader replied in time. */
};

using ServerChoice = std::variant<dispatch::Send, dispatch::Refuse, CallerDisconnected>;

/** Entry instance: accepts calls from clients and relays them to backend servers. Runs on one event loop. */
class Entry
{
public:
    Entry(boost::asio::io_context &context, EntrySettings settings, catalog::CatalogDecoder decodeCatalog);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /** Opens the client listener and the fleet links. Returns an error message, or an empty string on success. */
    [[nodiscard]] std::string start();
    void setSeeds(const std::vector<std::string> &seeds);
    /** Starts draining. Calls @p stopped when the lame-duck period is over and all sessions are closed, or when the drain timeout expires. */
    void stop(std::function<void()> stopped);
    /** Whether the load balancer should send callers to this instance. */
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string metricsText() const;

    // For client sessions; to be called on the event loop only.

    [[nodiscard]] const EntrySettings &settings() const noexcept;
    [[nodiscard]] boost::asio::io_context &context() noexcept;
    [[nodiscard]] dispatch::DispatchState &dispatchState() noexcept;
    [[nodiscard]] gateway::UpstreamConnections &upstream() noexcept;
    [[nodiscard]] observability::ThreadMetrics &metrics() noexcept;
    /** Null until the first catalog arrives. */
    [[nodiscard]] const std::shared_ptr<const catalog::CatalogIndex> &catalog() const noexcept;
    /** Whether the leader confirmed the state recently enough for API keys to be accepted. */
    [[nodiscard]] bool isStateCurrent() const;
    /** Time since the newest report that the leader has confirmed was sent. */
    [[nodiscard]] Duration stateAge() const;
    /** Waits up to the state timeout for a confirmed state, as after a start or an election. Returns whether there is one. */
    [[nodiscard]] boost::asio::awaitable<bool> waitForState(gateway::CallerWatch &watch);
    [[nodiscard]] bool isStopping() const noexcept;
    [[nodiscard]] bool isLameDuckOver() const;
    /** Takes @p tokens from the quota of @p organisation; waits for a grant of the leader if the cached quota is not sufficient. */
    [[nodiscard]] boost::asio::awaitable<TokenOutcome> acquireTokens(const catalog::OrganisationSpec &organisation, double tokens, gateway::CallerWatch &watch);
    void refundTokens(const std::string &organisation, double tokens);
    /** Waits until a backend server can accept @p call and counts the call as running on it. */
    [[nodiscard]] boost::asio::awaitable<ServerChoice> chooseServer(const dispatch::Call &call, gateway::CallerWatch &watch);
    /** The same for a second copy of @p call that runs on @p firstServer. Never waits; nothing if no other backend server can take it now. */
    [[nodiscard]] std::optional<dispatch::Send> chooseSecondServer(const dispatch::Call &call, const std::string &firstServer);
    void callEnded(const std::string &server, const dispatch::Call &call, dispatch::CallResult result);
    /** Adds intervals between events, or times to the answer, of a backend server to the next report. */
    void paceMeasured(std::uint32_t serverKey, Duration total, unsigned count);
    /** Counts the first attempt of a call towards the retry budget of @p service. */
    void countRequest(const std::string &service);
    [[nodiscard]] bool takeRetry(const std::string &service);
    /** @p target has answered @p call, sent at @p sentAt, with @p status. */
    void loadTested(const dispatch::Send &target, const dispatch::Call &call, unsigned status, TimePoint sentAt);
    /** Second copies; its options are those of the settings. */
    [[nodiscard]] hedging::HedgingState &hedgingState() noexcept;
    /** Decides on a second copy. The parts of @p question that are the same for all calls of its service are filled in. */
    [[nodiscard]] hedging::CopyDecision maySendCopy(hedging::CopyQuestion question) const;
    void handleMissingModel(const std::string &server, const dispatch::Call &call);
    /** An answer of @p server names @p limit, a decimal number of calls per second; empty: none. */
    void limitStated(const std::string &server, std::string_view limit);
    /** Takes over what an answer of the incarnation @p born of @p server says about further calls: that it leaves, or wants none for some time. */
    void readNotices(const std::string &server, std::uint64_t born, const ServerExchange &exchange);
    /** The answer of @p target to @p call ended before its beginning or soon after it. Tells the leader if the backend server has ended. */
    void answerBroke(const dispatch::Send &target, const dispatch::Call &call);
    /** A backend server has answered @p call without ending at its prompt. */
    void answeredSoundly(const dispatch::Call &call);
    /** A backend server has begun to run a call of @p organisation. To be called once for each call. */
    void countUsage(const std::string &organisation);
    /** Whether @p call or a part of its prompt may be what ends backend servers. */
    [[nodiscard]] bool isSuspected(const dispatch::Call &call) const;

    /**
     * Registers a client connection. While callers hold too many, those of the address that holds most are closed first. Returns nothing if none
     * of them can be closed; @p stream is then to be closed.
     */
    [[nodiscard]] std::optional<callerlimits::ConnectionNumber> sessionOpened(boost::beast::tcp_stream &stream);
    void sessionClosed(callerlimits::ConnectionNumber number);
    /**
     * Sets the memory that the request on a connection takes. Closes connections of the address that holds most while all take too much. Returns
     * false when this request is the one to give up.
     */
    [[nodiscard]] bool holdBytes(callerlimits::ConnectionNumber number, std::size_t bytes);
    /** A call on the connection begins or ends; the connection isn't closed for the sake of others in between. */
    void sessionCallBegan(callerlimits::ConnectionNumber number);
    void sessionCallEnded(callerlimits::ConnectionNumber number);
    /** A connection that waits for a request. */
    struct IdleCaller
    {
        boost::beast::tcp_stream *stream = nullptr;
        const boost::beast::flat_buffer *buffer = nullptr; /**< Bytes of a request that has arrived in part. */
        TimePoint since{};
    };
    using IdleCallers = std::list<IdleCaller>;

    /** Registers a connection as waiting for a request. After the lame-duck period it is closed unless removeIdleCaller() was called. */
    IdleCallers::iterator addIdleCaller(boost::beast::tcp_stream &stream, const boost::beast::flat_buffer &buffer);
    void removeIdleCaller(IdleCallers::iterator position);

private:
    struct WaitingCall;
    struct ExpectedRetries
    {
        std::string service;
        TimePoint until{};
    };
    struct RunningCalls
    {
        std::string service;
        unsigned calls = 0;
    };
    struct TokenWaiter;
    using Incarnation = std::pair<std::string, std::uint64_t>; // id and start of a backend server
    struct BrokenAnswers
    {
        std::string address;
        TimePoint since{};
        std::set<std::string> parts;
    };
    struct ObservedEnd
    {
        quarantine::ServerEnd end;
        TimePoint at{};
        std::uint64_t reportStamp = 0; // of the newest report with it
        bool isKnownToLeader = false;
    };

    boost::asio::awaitable<void> acceptCallers();
    void linkOpened(const fleetlink::Peer &peer);
    void linkMessage(const fleetlink::Peer &peer, fleetlink::LinkMessage message);
    void applyState(fleetstate::FleetState state);
    void handleLeaderReply(const fleetlink::LeaderReply &reply);
    void limitIdleConnections();
    void scheduleReport(TimePoint at);
    fleetlink::AdapterDemand &demandOf(const std::string &model, const std::string &adapter, const std::string &service);
    void addExpectedRetries(TimePoint now);
    void addHistory(fleetlink::EntryReport &report, TimePoint now) const;
    void sendReport(TimePoint now);
    boost::asio::awaitable<void> checkServer(Incarnation incarnation);
    [[nodiscard]] quarantine::SoundParts &soundAnswersOf(std::string_view fingerprint);
    void addCrashes(fleetlink::EntryReport &report, TimePoint now);
    void crashesReported(std::uint64_t stamp);
    void readLoad(const std::string &server, std::uint64_t born, const ServerExchange &exchange);
    void addLimits(fleetlink::EntryReport &report, TimePoint now);
    void addUsage(fleetlink::EntryReport &report);
    void usageReported(const fleetlink::LeaderReply &reply);
    void updateLeaderContact();
    void permitsIssued(const fleetlink::LeaderReply &reply, TimePoint now);
    void endOlderVersionsAfterSuspension(TimePoint now);
    void countStart(const dispatch::Call &call);
    void postDispatchWaitingCalls();
    void dispatchWaitingCalls();
    bool makeRoom(callerlimits::ConnectionNumber requester);
    void closeIdleCallers();
    void checkStopped();

    boost::asio::io_context &m_context;
    EntrySettings m_settings;
    catalog::CatalogDecoder m_decodeCatalog;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_reportTimer;
    boost::asio::steady_timer m_waitingCallsTimer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_lameDuckTimer;
    std::unique_ptr<fleetlink::LinkHub> m_hub;
    gateway::UpstreamConnections m_upstream;
    observability::Metrics m_metrics;

    fleetstate::FleetState m_state;
    dispatch::DispatchState m_dispatch;
    std::int64_t m_versionsBootLead = 0; // of the boot clock over the steady clock when the newest version was learned, in milliseconds
    hedging::HedgingState m_hedging;
    allowance::QuotaCache m_quotaCache;
    std::string m_leader; // link address; empty if unknown
    bool m_sendsHistory = true; // until the leader knows what was spent before its election
    std::int64_t m_confirmedAt = 0; // send time of the newest confirmed report, boot clock in milliseconds; 0: none
    TimePoint m_feedHeard{}; // last load digest through a coordinator of the own failure domain, or begin of the leader's term
    TimePoint m_reportAt{};
    TimePoint m_lastReport{};
    std::map<std::pair<std::string, std::string>, fleetlink::AdapterDemand> m_demand; // since the last report
    std::map<std::pair<std::string, std::string>, RunningCalls> m_running; // calls on inference engines, by model and adapter
    /** Adapters of refused calls that are expected to be retried; they are reported as wanted until the retry is due. */
    std::map<std::pair<std::string, std::string>, ExpectedRetries> m_expectedRetries;
    std::map<Incarnation, BrokenAnswers> m_brokenAnswers; // of backend servers that are being checked
    std::deque<ObservedEnd> m_observedEnds; // oldest first
    serverpace::SampleSums m_paceSamples;
    quarantine::SoundParts m_soundParts;
    quarantine::SoundParts m_soundRequests;
    std::set<std::string> m_suspectedParts; // by the leader
    duties::UsageCounter m_usage;
    std::uint64_t m_incarnation = 0; // of this process; 0: no usage is counted
    std::list<WaitingCall *> m_waitingCalls; // most urgent first
    std::list<TokenWaiter *> m_tokenWaiters;
    std::vector<boost::asio::steady_timer *> m_stateWaiters;
    bool m_dispatchPosted = false;
    IdleCallers m_idle;
    callerlimits::CallerHoldings m_holdings;
    std::map<callerlimits::ConnectionNumber, boost::beast::tcp_stream *> m_callerStreams;
    std::size_t m_sessions = 0;
    bool m_stopping = false;
    TimePoint m_stopSince{};
    std::function<void()> m_stopped;
    TimePoint m_startedAt = std::chrono::steady_clock::now();
};

} // namespace mimosahollow::ingress
