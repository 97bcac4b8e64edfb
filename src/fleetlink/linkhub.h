#pragma once

#include "link/frame.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/fleetlink/linkmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosahollow::fleetlink {

using PeerNumber = std::uint64_t; /**< A connection; never used again. */

/** A connection after both sides have said hello. */
struct Peer
{
    PeerNumber number = 0;
    Hello hello;
    std::string dialedAddress; /**< Empty when the other side opened it. */
};

struct LinkHubOptions
{
    Hello self;
    std::string listenAddress; /**< Empty: only opens connections. */
    Duration connectTimeout = milliseconds(800); /**< Far above a round trip between failure domains. */
    Duration pingInterval = milliseconds(600); /**< Three are lost before a connection counts as silent. */
    Duration silenceLimit = milliseconds(1900);
    Duration redialDelay = milliseconds(60); /**< First delay; doubles up to the maximum. */
    Duration maximumRedialDelay = milliseconds(900); /**< Below the time in which a returned instance has to take part. */
    std::size_t sendQueueBytes = std::size_t{8} << 20; /**< For each connection; a configuration is at most 4 MiB. */
};

struct LinkHubEvents
{
    std::function<void(const Peer &)> opened;
    std::function<void(const Peer &)> closed;
    std::function<void(const Peer &, LinkMessage)> message;
    std::function<void(const Peer &, std::span<const std::uint8_t>)> consensus;
};

/** Connections to other instances on the event loop of this process. TLS is not used: the settings name a trusted network. */
class LinkHub
{
public:
    LinkHub(boost::asio::io_context &context, LinkHubOptions options, LinkHubEvents events);
    ~LinkHub();
    LinkHub(const LinkHub &) = delete;
    LinkHub &operator=(const LinkHub &) = delete;

    /** Opens the listener. Returns an error message or nothing. */
    [[nodiscard]] std::string start();
    /** Keeps a connection to the instance at @p address. */
    void dial(const std::string &address);

    /** Returns false when the connection is gone or its queue is full; the connection is closed then. */
    bool send(PeerNumber peer, const LinkMessage &message);
    bool sendEncoded(PeerNumber peer, link::MessageKind kind, const control::SharedBytes &bytes);
    /** A copy: sending may close a connection. */
    [[nodiscard]] std::vector<Peer> peers() const;
    /** Connections to entry instances. */
    [[nodiscard]] std::size_t entryCount() const;
    /** The connection that this side opened to the coordinator @p voter; null when there is none. */
    [[nodiscard]] const Peer *findVoter(control::VoterId voter) const;
    /** The connection that this side opened to @p address; null when there is none. */
    [[nodiscard]] const Peer *findDialed(const std::string &address) const;

private:
    class Connection;
    struct Target;

    void accept();
    void connect(const std::string &address);
    void scheduleRedial(const std::string &address);
    void ready(Connection &connection);
    void gone(Connection &connection, const std::string &reason);

    boost::asio::io_context &m_context;
    LinkHubOptions m_options;
    LinkHubEvents m_events;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<PeerNumber, std::shared_ptr<Connection>> m_connections;
    std::map<std::string, std::unique_ptr<Target>> m_targets;
    PeerNumber m_lastNumber = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // shared with handlers that run after the hub has ended
};

} // namespace mimosahollow::fleetlink
