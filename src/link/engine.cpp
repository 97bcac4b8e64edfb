#include "engine.h"

#include "gateway/addresses.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sstream>

namespace mimosahollow::link {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto tupleAwaitable = asio::as_tuple(asio::use_awaitable);
/** Pause after a failed accept, for example without free file descriptors. */
constexpr milliseconds acceptRetryInterval{100};
/** A dialer looks this often whether its peer is still connected; the end of a connection wakes it earlier. */
constexpr seconds dialerPollInterval{1};

std::string textOf(const tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace

LinkNetwork::Engine::Engine(LinkOptions options, BoundedRing<LinkEvent> &events)
    : m_options(std::move(options)), m_events(events), m_context(1), m_work(m_context.get_executor()), m_acceptor(m_context), m_random(m_options.seed)
{
}

LinkNetwork::Engine::~Engine()
{
    stop();
}

std::string LinkNetwork::Engine::start()
{
    if (!m_options.tls.certificate.empty()) {
        std::string error = reloadTls();
        if (!error.empty()) {
            return error;
        }
    }
    std::string error = openListener();
    if (!error.empty()) {
        return error;
    }
    asio::co_spawn(m_context, accept(), asio::detached);
    for (const std::string &seed : m_options.seeds) {
        connect(seed);
    }
    m_thread = std::thread([this] {
        m_context.run();
    });
    return {};
}

std::string LinkNetwork::Engine::openListener()
{
    const auto endpoint = parseEndpoint(m_options.self.linkAddress);
    if (!endpoint) {
        return "the link address is not an IP address and port: " + m_options.self.linkAddress;
    }
    if (!endpoint->address().is_loopback() && !tls()) {
        return "links off loopback need TLS: " + m_options.self.linkAddress;
    }
    if (const auto error = mimosahollow::openListener(m_acceptor, *endpoint); error) {
        return "cannot listen on " + m_options.self.linkAddress + ": " + error.message();
    }
    m_port = m_acceptor.local_endpoint().port();
    m_options.self.linkAddress = textOf({endpoint->address(), m_port});
    return {};
}

void LinkNetwork::Engine::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    asio::post(m_context, [this] {
        m_stopping = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto &[address, dialer] : m_dialers) {
            dialer->stopped = true;
            dialer->timer.cancel();
        }
        for (const ConnectionPointer &connection : m_connections) {
            connection->close();
        }
        m_work.reset();
    });
    m_thread.join();
}

bool LinkNetwork::Engine::send(std::string_view peer, MessageKind kind, std::vector<std::uint8_t> payload)
{
    if (payload.size() > maximumPayloadBytes) {
        return false;
    }
    ConnectionPointer connection;
    {
        const std::shared_lock lock(m_peersMutex);
        const auto found = m_peers.find(peer);
        if (found == m_peers.end()) {
            return false;
        }
        connection = found->second;
    }
    const FrameHeader header = makeFrameHeader(payload.size(), kind);
    const PushResult result = connection->queue().push({header, std::move(payload)});
    if (result == PushResult::QueuedWriterIdle) {
        asio::post(m_context, [connection] {
            connection->wakeWriter();
        });
    }
    return result != PushResult::Full;
}

void LinkNetwork::Engine::connect(const std::string &address)
{
    asio::post(m_context, [this, address] {
        if (m_stopping || address == m_options.self.linkAddress || m_dialers.contains(address)) {
            return;
        }
        const auto dialer = std::make_shared<Dialer>(m_context);
        dialer->address = address;
        m_dialers.emplace(address, dialer);
        asio::co_spawn(m_context, dial(dialer), asio::detached);
    });
}

void LinkNetwork::Engine::forget(const std::string &address)
{
    asio::post(m_context, [this, address] {
        const auto found = m_dialers.find(address);
        if (found != m_dialers.end()) {
            found->second->stopped = true;
            found->second->timer.cancel();
            m_dialers.erase(found);
        }
    });
}

std::string LinkNetwork::Engine::reloadTls()
{
    auto loaded = loadTls(m_options.tls);
    if (auto *error = std::get_if<std::string>(&loaded)) {
        return std::move(*error);
    }
    const std::scoped_lock lock(m_tlsMutex);
    m_tls = std::get<TlsContext>(std::move(loaded));
    return {};
}

TlsContext LinkNetwork::Engine::tls() const
{
    const std::scoped_lock lock(m_tlsMutex);
    return m_tls;
}

std::uint16_t LinkNetwork::Engine::port() const noexcept
{
    return m_port;
}

asio::awaitable<void> LinkNetwork::Engine::pause(Duration duration)
{
    asio::steady_timer timer(m_context, duration);
    static_cast<void>(co_await timer.async_wait(tupleAwaitable));
}

asio::awaitable<void> LinkNetwork::Engine::emit(LinkEvent event)
{
    while (!m_stopping && !m_events.tryPush(event)) {
        co_await pause(retryInterval);
    }
}

asio::awaitable<void> LinkNetwork::Engine::accept()
{
    while (!m_stopping) {
        auto [error, socket] = co_await m_acceptor.async_accept(tupleAwaitable);
        if (error) {
            if (!m_stopping) {
                co_await pause(acceptRetryInterval);
            }
            continue;
        }
        if (m_connections.size() >= m_options.maximumConnections) {
            continue; // the socket closes
        }
        const auto connection = std::make_shared<Connection>(std::move(socket), tls(), false, m_options);
        asio::co_spawn(
            m_context,
            [this, connection]() -> asio::awaitable<void> {
                static_cast<void>(co_await serve(connection));
            },
            asio::detached);
    }
}

Duration LinkNetwork::Engine::jittered(Duration delay)
{
    // Half to one and a half of the delay, so that instances do not reconnect in step after a failure of many.
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return fromSeconds(toSeconds(delay) * factor(m_random));
}

asio::awaitable<void> LinkNetwork::Engine::dial(DialerPointer dialer)
{
    const auto endpoint = parseEndpoint(dialer->address);
    if (!endpoint || (!endpoint->address().is_loopback() && !tls())) {
        co_await emit(PeerRefused{dialer->address, endpoint ? "links off loopback need TLS" : "not an IP address and port"});
        co_return;
    }
    Duration delay = m_options.reconnectDelay;
    while (!dialer->stopped) {
        if (!dialer->peer.empty() && m_peers.contains(dialer->peer)) {
            dialer->timer.expires_after(dialerPollInterval);
            static_cast<void>(co_await dialer->timer.async_wait(tupleAwaitable));
            continue;
        }
        const bool wasUp = co_await connectOnce(*dialer, *endpoint);
        if (dialer->stopped || dialer->peer == m_options.self.name) {
            break;
        }
        delay = wasUp ? m_options.reconnectDelay : delay;
        dialer->timer.expires_after(jittered(delay));
        static_cast<void>(co_await dialer->timer.async_wait(tupleAwaitable));
        delay = std::min(delay * 2, m_options.maximumReconnectDelay);
    }
}

asio::awaitable<bool> LinkNetwork::Engine::connectOnce(Dialer &dialer, const tcp::endpoint &endpoint)
{
    const auto connection = std::make_shared<Connection>(tcp::socket(m_context), tls(), true, m_options);
    m_connections.insert(connection);
    asio::steady_timer deadline(m_context, m_options.handshakeTimeout);
    deadline.async_wait([connection](const boost::system::error_code &error) {
        if (!error) {
            connection->close();
        }
    });
    const auto [error] = co_await connection->socket().async_connect(endpoint, tupleAwaitable);
    deadline.cancel();
    if (error || connection->isClosed()) {
        m_connections.erase(connection);
        co_return false;
    }
    const bool wasUp = co_await serve(connection);
    if (!connection->peer.name.empty()) {
        dialer.peer = connection->peer.name;
    }
    co_return wasUp;
}

void LinkNetwork::Engine::addPeer(const ConnectionPointer &connection)
{
    const std::scoped_lock lock(m_peersMutex);
    m_peers[connection->peer.name] = connection;
}

void LinkNetwork::Engine::removePeer(const ConnectionPointer &connection)
{
    {
        const std::scoped_lock lock(m_peersMutex);
        m_peers.erase(connection->peer.name);
    }
    for (const auto &[address, dialer] : m_dialers) {
        if (dialer->peer == connection->peer.name) {
            dialer->timer.cancel();
        }
    }
}

} // namespace mimosahollow::link
