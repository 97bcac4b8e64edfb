#pragma once

#include "fleetlink/linkhub.h"
#include "gateway/upstream.h"
#include "ingress/entrysettings.h"
#include "mimosahollow/allowance/quotacache.h"
#include "mimosahollow/catalog/catalogdecoder.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/fleetstate/fleetstate.h"
#include "mimosahollow/observability/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::gateway {
class CallerWatch;
}

namespace mimosahollow::ingress {

/** The caller left while its call waited. */
struct CallerGone
{
};

enum class TokenOutcome : std::uint8_t {
    Acquired,
    OverRate, /**< The leader has granted less than the call needs. */
    NoLeader, /**< No leader has answered in time. */
};

using ServerChoice = std::variant<dispatch::Send, dispatch::Refuse, CallerGone>;

/** A process that callers connect to. Runs on one event loop. */
class Entry
{
public:
    Entry(boost::asio::io_context &context, EntrySettings settings, catalog::CatalogDecoder decodeCatalog);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /** Opens the listener for callers and the links. Returns an error message or nothing. */
    [[nodiscard]] std::string start();
    void setSeeds(const std::vector<std::string> &seeds);
    /** Finishes the calls at hand; @p stopped is called when the last one has ended or the drain time is over. */
    void stop(std::function<void()> stopped);
    /** Whether callers should be sent here. */
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string metricsText() const;

    // For the sessions of callers, all on the event loop.

    [[nodiscard]] const EntrySettings &settings() const noexcept;
    [[nodiscard]] boost::asio::io_context &context() noexcept;
    [[nodiscard]] dispatch::DispatchState &dispatchState() noexcept;
    [[nodiscard]] gateway::UpstreamConnections &upstream() noexcept;
    [[nodiscard]] observability::ThreadMetrics &metrics() noexcept;
    /** Null before the first catalog. */
    [[nodiscard]] const std::shared_ptr<const catalog::CatalogIndex> &catalog() const noexcept;
    /** Whether the leader has confirmed the state lately enough to trust keys. */
    [[nodiscard]] bool isStateCurrent() const;
    [[nodiscard]] Duration stateAge() const;
    /** Waits a moment for a confirmed state, as after a start or an election. Returns whether there is one. */
    [[nodiscard]] boost::asio::awaitable<bool> waitForState(gateway::CallerWatch &watch);
    [[nodiscard]] bool isStopping() const noexcept;
    [[nodiscard]] bool isLameDuckOver() const;
    /** Takes the tokens of a call, waiting for the leader when needed. */
    [[nodiscard]] boost::asio::awaitable<TokenOutcome> acquireTokens(const catalog::OrganisationSpec &organisation, double tokens, gateway::CallerWatch &watch);
    void refundTokens(const std::string &organisation, double tokens);
    /** Waits until a backend server can take @p call, and counts it there. */
    [[nodiscard]] boost::asio::awaitable<ServerChoice> chooseServer(const dispatch::Call &call, gateway::CallerWatch &watch);
    void callEnded(const std::string &server, const dispatch::Call &call, dispatch::CallResult result);
    /** Counts a first attempt, for the retry budget. */
    void countRequest(const std::string &service);
    [[nodiscard]] bool takeRetry(const std::string &service);
    void handleMissingModel(const std::string &server, const dispatch::Call &call);

    void sessionOpened();
    void sessionClosed();
    /** @p stream waits for a request: it is closed when the time for late callers is over. Ends with removeIdleStream(). */
    std::list<boost::beast::tcp_stream *>::iterator addIdleStream(boost::beast::tcp_stream &stream);
    void removeIdleStream(std::list<boost::beast::tcp_stream *>::iterator position);

private:
    struct Waiter;
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
    void postDispatchWaitingCalls();
    void dispatchWaitingCalls();
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
    allowance::QuotaCache m_quotaCache;
    std::string m_leader; // link address
    bool m_sendsHistory = true; // until the leader has what was spent before its time
    std::int64_t m_confirmedAt = 0; // boot clock, milliseconds, when the newest confirmed report was sent; 0: never
    TimePoint m_reportAt{};
    TimePoint m_lastReport{};
    std::map<std::pair<std::string, std::string>, fleetlink::AdapterDemand> m_demand; // since the last report
    std::map<std::pair<std::string, std::string>, RunningCalls> m_running; // calls on engines, by model and adapter
    /** Adapters of refused calls that will come back, and until when; they are loaded meanwhile. */
    std::map<std::pair<std::string, std::string>, ExpectedRetries> m_expectedRetries;
    std::list<Waiter *> m_waiters; // most urgent first
    std::list<TokenWaiter *> m_tokenWaiters;
    std::vector<boost::asio::steady_timer *> m_stateWaiters;
    bool m_dispatchPosted = false;
    std::list<boost::beast::tcp_stream *> m_idle;
    std::size_t m_sessions = 0;
    bool m_stopping = false;
    TimePoint m_stopSince{};
    std::function<void()> m_stopped;
};

} // namespace mimosahollow::ingress
