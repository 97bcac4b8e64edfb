#pragma once

#include "mimosahollow/gateway/gateway.h"
#include "mimosahollow/settings/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <deque>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace mimosahollow::observability {
class Metrics;
class ThreadMetrics;
} // namespace mimosahollow::observability

namespace mimosahollow::gateway {

class CallerWatch;
class UpstreamConnections;

/** What the threads of one gateway share. */
struct GatewayShared
{
    const settings::Settings &settings;
    const GatewayPorts &ports;
    BoundedRing<ServingEvent> &dispatchRing;
    observability::Metrics &metrics;
    std::atomic<std::uint32_t> &connections;
    std::atomic<std::uint64_t> &bodyBytes; /**< Of requests that are being received or carried out. */
    std::uint64_t processNumber = 0;
};

enum class ListenerRole : std::uint8_t {
    Callers,
    Backends,
};

/** One thread with its own event loop: accepts connections, parses calls and carries answers. */
class GatewayThread
{
public:
    GatewayThread(const GatewayShared &shared, std::uint32_t index, std::uint32_t connectionLimit);
    ~GatewayThread();
    GatewayThread(const GatewayThread &) = delete;
    GatewayThread &operator=(const GatewayThread &) = delete;

    void listen(const std::string &address, ListenerRole role);
    void start();
    void stopAccepting();
    [[nodiscard]] bool isIdle() const noexcept;
    /** Closes the connections that wait for a request, once no call runs any more. */
    void closeIdleConnections();
    [[nodiscard]] bool hasConnections() const noexcept;
    void stop();
    [[nodiscard]] BoundedRing<ServingReply> &replies() noexcept;

    // Used by the coroutines of this thread only.

    /** Sends @p request to the dispatch thread and waits for the reply. Refuses when a ring is full. Empty when the caller left. */
    [[nodiscard]] boost::asio::awaitable<std::optional<ServingReply>> submit(ServingRequest request, CallerWatch &watch);
    /** Reports the end of an attempt; nothing more is expected for the call. */
    void report(ServingResult result);
    /** Reports a failed attempt and waits for another grant or a refusal, until the deadline of the call at most. */
    [[nodiscard]] boost::asio::awaitable<std::optional<ServingReply>> reportAndWait(ServingResult result, TimePoint deadline, CallerWatch &watch);
    /** Passes an event of a backend server on. Returns false when the ring is full. */
    [[nodiscard]] bool forward(ServingEvent event);

    [[nodiscard]] RequestId nextRequestId() noexcept;
    [[nodiscard]] std::uint32_t index() const noexcept;
    [[nodiscard]] bool isDraining() const noexcept;
    [[nodiscard]] const settings::Settings &settings() const noexcept;
    [[nodiscard]] const GatewayPorts &ports() const noexcept;
    [[nodiscard]] UpstreamConnections &upstream() noexcept;
    [[nodiscard]] observability::ThreadMetrics &metrics() noexcept;
    [[nodiscard]] std::string metricsText() const;
    /** Takes space for the body of a request. Returns false when the bodies of all requests hold too much memory. */
    [[nodiscard]] bool reserveBody(std::uint64_t bytes) noexcept;
    void releaseBody(std::uint64_t bytes) noexcept;
    /** Logs input that was rejected; at most a few lines each second, so that a flood of it cannot fill the log. */
    void logRejected(std::string_view message);
    /** The connection of @p stream waits for a request, or no longer does. */
    void connectionIdle(boost::beast::tcp_stream &stream);
    void connectionBusy(boost::beast::tcp_stream &stream);
    /** A request has begun to arrive, or its answer has ended. A graceful shutdown waits for it. */
    void requestStarted() noexcept;
    void requestEnded() noexcept;

private:
    struct Waiter
    {
        explicit Waiter(boost::asio::io_context &context) : signal(context)
        {
        }
        boost::asio::steady_timer signal;
        std::optional<ServingReply> reply;
    };

    boost::asio::awaitable<void> accept(boost::asio::ip::tcp::acceptor &acceptor, ListenerRole role);
    void takeConnection(boost::asio::ip::tcp::socket socket, ListenerRole role);
    void closeListeners();
    boost::asio::awaitable<std::optional<ServingReply>> waitForReply(RequestId id, TimePoint deadline, CallerWatch &watch);
    void giveBack(RequestId id, std::uint64_t grant, AttemptOutcome outcome);
    boost::asio::awaitable<void> resendResults();
    void deliverReplies();

    GatewayShared m_shared;
    std::uint32_t m_index;
    std::uint32_t m_connectionLimit;
    std::uint64_t m_nextSequence = 0;
    BoundedRing<ServingReply> m_replies;
    boost::asio::io_context m_context;
    struct Listener
    {
        boost::asio::ip::tcp::acceptor acceptor;
        ListenerRole role;
    };
    std::deque<Listener> m_listeners;
    std::unique_ptr<UpstreamConnections> m_upstream;
    std::unordered_map<RequestId, std::shared_ptr<Waiter>> m_waiters;
    std::deque<ServingEvent> m_unsentResults; // bounded by the number of running calls
    bool m_resending = false;
    std::atomic<std::uint32_t> m_connections = 0;
    std::unordered_set<boost::beast::tcp_stream *> m_idleConnections;
    bool m_closing = false;
    TimePoint m_rejectionWindow{};
    std::uint32_t m_rejections = 0; // in the window
    std::atomic<std::uint32_t> m_runningRequests = 0;
    std::atomic<bool> m_draining = false;
    std::thread m_thread;
};

} // namespace mimosahollow::gateway
