#include "engine.h"

#include "mimosahollow/link/fleetcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <netinet/tcp.h>

namespace mimosahollow::link {

namespace asio = boost::asio;

namespace {

/** Unacknowledged data for this long ends a connection, so that a silent cut is noticed long before TCP gives up. */
constexpr int userTimeoutMilliseconds = 5000;
/** Probes of an idle connection: after 2 s, then every second, three times; the same 5 s. */
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 3;

void setOptions(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored; // a refused option leaves the connection usable
    const auto set = [&](int level, int name, int value) {
        static_cast<void>(::setsockopt(socket.native_handle(), level, name, &value, sizeof value));
    };
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

std::string describe(FrameError error)
{
    switch (error) {
    case FrameError::TooLarge:
        return "a frame is larger than allowed";
    case FrameError::UnsupportedVersion:
        return "a frame has an unsupported protocol version";
    case FrameError::UnknownKind:
        return "a frame has an unknown kind";
    }
    return {};
}

std::string endReason(const Connection &connection)
{
    return connection.lastError().empty() ? "the connection was closed" : connection.lastError();
}

OutgoingFrame helloFrame(const LinkOptions &options)
{
    std::vector<std::uint8_t> payload = encode(membership::Hello{options.fleet, options.self, protocolVersion, protocolVersion});
    const FrameHeader header = makeFrameHeader(payload.size(), MessageKind::Hello);
    return {header, std::move(payload)};
}

std::string judge(const membership::Hello &hello, const LinkOptions &options)
{
    if (hello.fleet != options.fleet) {
        return "the peer belongs to another fleet: " + hello.fleet;
    }
    if (hello.minimumVersion > protocolVersion || hello.maximumVersion < protocolVersion) {
        return "the peer supports protocol versions " + std::to_string(hello.minimumVersion) + " to " + std::to_string(hello.maximumVersion) + ", not "
               + std::to_string(protocolVersion);
    }
    if (hello.instance.name == options.self.name) {
        return hello.instance.incarnation == options.self.incarnation ? "the address is this instance's own" : "another process uses this instance's name";
    }
    return {};
}

} // namespace

asio::awaitable<std::string> LinkNetwork::Engine::readHello(ConnectionPointer connection)
{
    while (true) {
        FrameResult result = connection->reader().next();
        if (const auto *error = std::get_if<FrameError>(&result)) {
            co_return describe(*error);
        }
        if (const auto *frame = std::get_if<Frame>(&result)) {
            if (frame->kind != MessageKind::Hello) {
                co_return "the first frame is not a Hello";
            }
            const auto decoded = decodeHello(frame->payload);
            const auto *hello = std::get_if<membership::Hello>(&decoded);
            if (hello == nullptr) {
                co_return "the Hello is malformed";
            }
            std::string reason = judge(*hello, m_options);
            if (reason.empty() || hello->instance.name == m_options.self.name) {
                connection->peer = hello->instance;
            }
            co_return reason;
        }
        const std::size_t count = co_await connection->readSome(connection->reader().space());
        if (count == 0) {
            co_return endReason(*connection);
        }
        connection->reader().filled(count);
    }
}

asio::awaitable<std::string> LinkNetwork::Engine::introduce(ConnectionPointer connection)
{
    const boost::system::error_code handshakeError = co_await connection->handshake();
    if (handshakeError) {
        co_return "TLS handshake: " + handshakeError.message();
    }
    const OutgoingFrame hello = helloFrame(m_options);
    const boost::system::error_code writeError = co_await connection->write(std::span(&hello, 1));
    if (writeError) {
        co_return writeError.message();
    }
    std::string reason = co_await readHello(connection);
    if (reason.empty()) {
        connection->reader().setMaximumPayload(maximumPayloadBytes);
        reason = co_await replaceExisting(connection);
    }
    co_return reason;
}

bool LinkNetwork::Engine::isPreferred(const Connection &connection) const
{
    // Both sides keep the connection that the instance with the smaller name has opened.
    return connection.isOutgoing() == (m_options.self.name < connection.peer.name);
}

asio::awaitable<std::string> LinkNetwork::Engine::replaceExisting(ConnectionPointer connection)
{
    auto existing = m_peers.find(connection->peer.name);
    while (existing != m_peers.end()) {
        const ConnectionPointer old = existing->second;
        if (old->peer.incarnation > connection->peer.incarnation) {
            co_return "a newer process of the peer is connected";
        }
        const bool sameProcess = old->peer.incarnation == connection->peer.incarnation;
        if (sameProcess && !old->isClosed() && isPreferred(*old) && !isPreferred(*connection)) {
            co_return "the peer is connected already";
        }
        // PeerDown of the old connection must come before PeerUp of the new one.
        old->close();
        co_await pause(retryInterval);
        if (connection->isClosed()) {
            co_return endReason(*connection);
        }
        existing = m_peers.find(connection->peer.name);
    }
    addPeer(connection);
    co_return std::string();
}

asio::awaitable<std::string> LinkNetwork::Engine::readFrames(ConnectionPointer connection)
{
    while (true) {
        FrameResult result = connection->reader().next();
        if (const auto *error = std::get_if<FrameError>(&result)) {
            co_return describe(*error);
        }
        if (auto *frame = std::get_if<Frame>(&result)) {
            LinkEvent event = ReceivedFrame{connection->peer.name, frame->kind, std::move(frame->payload)};
            // A full ring stops the reading here, and the peer's send queue fills up instead.
            if (!m_events.tryPush(event)) {
                co_await emit(std::move(event));
            }
            continue;
        }
        const std::size_t count = co_await connection->readSome(connection->reader().space());
        if (count == 0) {
            co_return endReason(*connection);
        }
        connection->reader().filled(count);
    }
}

asio::awaitable<bool> LinkNetwork::Engine::serve(ConnectionPointer connection)
{
    m_connections.insert(connection);
    if (m_stopping) {
        connection->close();
    }
    setOptions(connection->socket());
    boost::system::error_code error;
    const auto endpoint = connection->socket().remote_endpoint(error);
    const std::string address = error ? std::string("unknown") : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    asio::steady_timer deadline(m_context, m_options.handshakeTimeout);
    deadline.async_wait([connection](const boost::system::error_code &waitError) {
        if (!waitError) {
            connection->close();
        }
    });
    std::string reason = co_await introduce(connection);
    deadline.cancel();
    const bool accepted = reason.empty();
    if (accepted) {
        asio::co_spawn(
            m_context,
            [connection]() -> asio::awaitable<void> {
                co_await connection->writeQueue();
            },
            asio::detached);
        LinkEvent up = PeerUp{connection->peer};
        co_await emit(std::move(up));
        reason = co_await readFrames(connection);
    }
    connection->close();
    m_connections.erase(connection);
    LinkEvent end = PeerRefused{address, reason};
    if (accepted) {
        end = PeerDown{connection->peer.name, reason};
    }
    co_await emit(std::move(end));
    if (accepted) {
        removePeer(connection); // only now, so that the next connection to the peer cannot report PeerUp first
    }
    co_return accepted;
}

} // namespace mimosahollow::link
