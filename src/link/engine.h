#pragma once

#include "connection.h"
#include "mimosahollow/link/linkevent.h"
#include "mimosahollow/link/linknetwork.h"
#include "mimosahollow/link/linkoptions.h"
#include "mimosahollow/rings/boundedring.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <shared_mutex>
#include <string>
#include <thread>

namespace mimosahollow::link {

/** Pause before the ring of events or a closing connection is looked at again; short against a heartbeat. */
constexpr milliseconds retryInterval{1};

/** The link thread and its connections. Everything but the functions of LinkNetwork runs on that thread. */
class LinkNetwork::Engine
{
public:
    Engine(LinkOptions options, BoundedRing<LinkEvent> &events);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    // Any thread.
    [[nodiscard]] std::string start();
    void stop();
    [[nodiscard]] bool send(std::string_view peer, MessageKind kind, std::vector<std::uint8_t> payload);
    void connect(const std::string &address);
    void forget(const std::string &address);
    [[nodiscard]] std::string reloadTls();
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    using ConnectionPointer = std::shared_ptr<Connection>;

    /** Keeps a connection to one address. */
    struct Dialer
    {
        explicit Dialer(boost::asio::io_context &context) : timer(context)
        {
        }
        boost::asio::steady_timer timer;
        std::string address;
        std::string peer; /**< Name of the instance that answered there; empty: not known yet. */
        bool stopped = false;
    };
    using DialerPointer = std::shared_ptr<Dialer>;

    [[nodiscard]] std::string openListener();
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> dial(DialerPointer dialer);
    boost::asio::awaitable<bool> connectOnce(Dialer &dialer, const boost::asio::ip::tcp::endpoint &endpoint);
    /** Runs one connection to its end. Returns whether the peer was accepted. */
    boost::asio::awaitable<bool> serve(ConnectionPointer connection);
    /** Exchanges Hello. Returns the reason of a refusal, or nothing. */
    boost::asio::awaitable<std::string> introduce(ConnectionPointer connection);
    boost::asio::awaitable<std::string> readFrames(ConnectionPointer connection);
    boost::asio::awaitable<std::string> readHello(ConnectionPointer connection);
    /** Decides between two connections to the same peer. Returns the reason of a refusal, or nothing. */
    boost::asio::awaitable<std::string> replaceExisting(ConnectionPointer connection);
    boost::asio::awaitable<void> emit(LinkEvent event);
    boost::asio::awaitable<void> pause(Duration duration);
    [[nodiscard]] bool isPreferred(const Connection &connection) const;
    [[nodiscard]] TlsContext tls() const;
    [[nodiscard]] Duration jittered(Duration delay);
    void addPeer(const ConnectionPointer &connection);
    void removePeer(const ConnectionPointer &connection);

    LinkOptions m_options;
    BoundedRing<LinkEvent> &m_events;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, DialerPointer> m_dialers;
    std::set<ConnectionPointer> m_connections;
    std::mt19937_64 m_random;
    std::uint16_t m_port = 0;
    bool m_stopping = false;
    mutable std::mutex m_tlsMutex;
    TlsContext m_tls;
    mutable std::shared_mutex m_peersMutex; /**< Written on the link thread only, which reads without the lock. */
    std::map<std::string, ConnectionPointer, std::less<>> m_peers;
    std::thread m_thread;
};

} // namespace mimosahollow::link
