#pragma once

#include "mimosahollow/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosahollow::gateway {

/** A connection to a backend server that carries one call at a time. */
struct UpstreamConnection
{
    explicit UpstreamConnection(boost::asio::io_context &context) : stream(context)
    {
    }
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool reused = false; /**< The server may have closed it while it was idle. */
};

/** Idle connections to backend servers of one gateway thread. */
class UpstreamConnections
{
public:
    explicit UpstreamConnections(boost::asio::io_context &context);

    /** Takes an idle connection or opens one. Null when the server cannot be reached; no byte of a call was sent then. */
    [[nodiscard]] boost::asio::awaitable<std::unique_ptr<UpstreamConnection>> acquire(std::string address, TimePoint deadline);

    /** Keeps a connection for reuse. Only for connections whose last answer was read to its end. */
    void release(const std::string &address, std::unique_ptr<UpstreamConnection> connection);

private:
    boost::asio::io_context &m_context;
    std::unordered_map<std::string, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace mimosahollow::gateway
