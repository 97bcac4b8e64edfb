#include "upstream.h"

#include "addresses.h"
#include "link/lossdetection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mimosahollow::gateway {

namespace asio = boost::asio;

namespace {

// Enough for the slots of one server; more idle connections only hold memory.
constexpr std::size_t maximumIdlePerServer = 64;
constexpr seconds sweepInterval{5};

/** An idle connection on which the server has sent something, or which it has closed, must not carry another call. */
bool isQuiet(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    boost::system::error_code error;
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

UpstreamConnections::UpstreamConnections(asio::io_context &context, const UpstreamOptions &options)
    : m_context(context), m_options(options), m_idleLimit(maximumIdlePerServer)
{
}

UpstreamPointer UpstreamConnections::takeIdle(const std::string &address, std::span<const std::uint64_t> excluded)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    for (std::size_t i = idle.size(); i > 0; --i) {
        if (std::find(excluded.begin(), excluded.end(), idle[i - 1]->number) != excluded.end()) {
            continue;
        }
        UpstreamPointer connection = std::move(idle[i - 1]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        const bool isFresh = std::chrono::steady_clock::now() - connection->idleSince < connection->idleLimit;
        if (isFresh && isQuiet(connection->stream)) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

UpstreamPointer UpstreamConnections::create()
{
    auto connection = std::make_unique<UpstreamConnection>(m_context);
    connection->number = ++m_created;
    return connection;
}

asio::awaitable<bool> UpstreamConnections::connect(UpstreamConnection &connection, const std::string &address, TimePoint deadline)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return false;
    }
    connection.stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + m_options.connectTimeout));
    const auto [error] = co_await connection.stream.async_connect(*endpoint, asio::as_tuple(asio::use_awaitable));
    if (error) {
        co_return false;
    }
    boost::system::error_code optionError;
    connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), optionError);
    // isQuiet() must not block; set once here, because setting it for each call costs a system call.
    connection.stream.socket().non_blocking(true, optionError);
    if (!optionError && m_options.lossTimeout > Duration::zero()) {
        link::detectLoss(connection.stream.socket(), m_options.lossTimeout);
    }
    co_return !optionError;
}

void UpstreamConnections::setIdleLimit(std::size_t connections) noexcept
{
    m_idleLimit = std::clamp<std::size_t>(connections, 1, maximumIdlePerServer);
}

void UpstreamConnections::release(const std::string &address, UpstreamPointer connection)
{
    const TimePoint now = std::chrono::steady_clock::now();
    closeOld(now);
    auto &idle = m_idle[address];
    if (idle.size() < m_idleLimit && connection->buffer.size() == 0) {
        connection->stream.expires_never();
        connection->idleSince = now;
        idle.push_back(std::move(connection));
    }
}

void UpstreamConnections::closeOld(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + sweepInterval;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const UpstreamPointer &connection) {
            return now - connection->idleSince > connection->idleLimit || !isQuiet(connection->stream);
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

} // namespace mimosahollow::gateway
