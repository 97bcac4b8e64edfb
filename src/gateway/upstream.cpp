#include "upstream.h"

#include "addresses.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mimosahollow::gateway {

namespace asio = boost::asio;

namespace {

// Enough for the slots of one server; more idle connections only hold memory.
constexpr std::size_t maximumIdlePerServer = 64;
constexpr seconds connectTimeout{2};

/** An idle connection on which the server has sent something, or which it has closed, must not carry another call. */
bool isQuiet(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    boost::system::error_code error;
    stream.socket().non_blocking(true, error);
    if (error) {
        return false;
    }
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

UpstreamConnections::UpstreamConnections(asio::io_context &context) : m_context(context)
{
}

asio::awaitable<std::unique_ptr<UpstreamConnection>> UpstreamConnections::acquire(std::string address, TimePoint deadline)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (isQuiet(connection->stream)) {
            connection->reused = true;
            co_return connection;
        }
    }
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return nullptr;
    }
    auto connection = std::make_unique<UpstreamConnection>(m_context);
    connection->stream.expires_at(std::min(deadline, std::chrono::steady_clock::now() + connectTimeout));
    const auto [error] = co_await connection->stream.async_connect(*endpoint, asio::as_tuple(asio::use_awaitable));
    if (error) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return connection;
}

void UpstreamConnections::release(const std::string &address, std::unique_ptr<UpstreamConnection> connection)
{
    auto &idle = m_idle[address];
    if (idle.size() < maximumIdlePerServer && connection->buffer.size() == 0) {
        connection->stream.expires_never();
        idle.push_back(std::move(connection));
    }
}

} // namespace mimosahollow::gateway
