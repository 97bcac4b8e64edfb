#pragma once

#include "mimosahollow/gateway/gateway.h"
#include "mimosahollow/settings/settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>
#include <thread>
#include <unordered_map>

namespace mimosahollow::gateway {

class UpstreamConnections;

enum class ListenerRole : std::uint8_t {
    Callers,
    Backends,
};

/** One thread with its own event loop: accepts connections, parses calls and carries answers. */
class GatewayThread
{
public:
    GatewayThread(const settings::Settings &settings,
                  const GatewayPorts &ports,
                  BoundedRing<ServingEvent> &dispatchRing,
                  std::uint32_t index,
                  std::uint64_t processNumber);
    ~GatewayThread();
    GatewayThread(const GatewayThread &) = delete;
    GatewayThread &operator=(const GatewayThread &) = delete;

    void listen(const std::string &address, ListenerRole role);
    void start();
    void stopAccepting();
    [[nodiscard]] bool isIdle() const noexcept;
    void stop();
    [[nodiscard]] BoundedRing<ServingReply> &replies() noexcept;

    // Used by the coroutines of this thread only.

    /** Sends @p request to the dispatch thread and waits for the reply. Refuses when a ring is full. */
    [[nodiscard]] boost::asio::awaitable<ServingReply> submit(ServingRequest request);
    /** Reports the end of an attempt; nothing more is expected for the call. */
    void report(ServingResult result);
    /** Reports a failed attempt and waits for another grant or a refusal. */
    [[nodiscard]] boost::asio::awaitable<ServingReply> reportAndWait(ServingResult result);
    /** Passes an event of a backend server on. Returns false when the ring is full. */
    [[nodiscard]] bool forward(ServingEvent event);

    [[nodiscard]] RequestId nextRequestId() noexcept;
    [[nodiscard]] std::uint32_t index() const noexcept;
    [[nodiscard]] bool isDraining() const noexcept;
    [[nodiscard]] const settings::Settings &settings() const noexcept;
    [[nodiscard]] const GatewayPorts &ports() const noexcept;
    [[nodiscard]] UpstreamConnections &upstream() noexcept;
    void callStarted() noexcept;
    void callEnded() noexcept;

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
    boost::asio::awaitable<ServingReply> waitForReply(RequestId id, TimePoint deadline);
    boost::asio::awaitable<void> resendResults();
    void deliverReplies();

    const settings::Settings &m_settings;
    const GatewayPorts &m_ports;
    BoundedRing<ServingEvent> &m_dispatchRing;
    std::uint32_t m_index;
    std::uint64_t m_processNumber;
    std::uint64_t m_nextSequence = 0;
    BoundedRing<ServingReply> m_replies;
    boost::asio::io_context m_context;
    std::deque<boost::asio::ip::tcp::acceptor> m_acceptors;
    std::unique_ptr<UpstreamConnections> m_upstream;
    std::unordered_map<RequestId, std::shared_ptr<Waiter>> m_waiters;
    std::deque<ServingEvent> m_unsentResults; // bounded by the number of running calls
    bool m_resending = false;
    std::uint32_t m_connections = 0;
    std::atomic<std::uint32_t> m_runningCalls = 0;
    std::atomic<bool> m_draining = false;
    std::thread m_thread;
};

} // namespace mimosahollow::gateway
