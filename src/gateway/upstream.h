#pragma once

#include "mimosahollow/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosahollow::gateway {

/** Bytes that are read ahead. A head, a chunk extension or a trailer above it ends the connection; the parser itself limits heads only. */
constexpr std::size_t maximumBufferedBytes = 65'536;

/** A connection to a backend server that carries one call at a time. */
struct UpstreamConnection
{
    explicit UpstreamConnection(boost::asio::io_context &context) : stream(context)
    {
    }
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{maximumBufferedBytes};
    std::uint64_t number = 0; /**< Differs between all connections of a process. */
    bool reused = false; /**< The server may have closed it while it was idle. */
    TimePoint idleSince{};
    Duration idleLimit = seconds(30); /**< Servers that left keep theirs open this long; a server may announce a shorter time. */
};

struct UpstreamOptions
{
    Duration connectTimeout = seconds(2);
    /** Ends a connection on which the peer confirms nothing; 0: as the operating system does. */
    Duration lossTimeout{};
};

using UpstreamPointer = std::unique_ptr<UpstreamConnection>;

/** Idle connections to backend servers of one event loop. */
class UpstreamConnections
{
public:
    explicit UpstreamConnections(boost::asio::io_context &context, const UpstreamOptions &options = {});

    /** An idle connection that the server has neither closed nor written to, and whose number is not in @p excluded; null when there is none. */
    [[nodiscard]] UpstreamPointer takeIdle(const std::string &address, std::span<const std::uint64_t> excluded = {});
    /** A connection that is not open yet. */
    [[nodiscard]] UpstreamPointer create();
    /** Opens @p connection. After false no byte of a call was sent. */
    [[nodiscard]] boost::asio::awaitable<bool> connect(UpstreamConnection &connection, const std::string &address, TimePoint deadline);

    /** Idle connections kept for each backend server. */
    void setIdleLimit(std::size_t connections) noexcept;
    /** Keeps a connection for reuse. Only for connections whose last answer was read to its end. */
    void release(const std::string &address, UpstreamPointer connection);

private:
    void closeOld(TimePoint now);

    boost::asio::io_context &m_context;
    UpstreamOptions m_options;
    std::size_t m_idleLimit;
    std::unordered_map<std::string, std::vector<UpstreamPointer>> m_idle;
    TimePoint m_nextSweep{};
    std::uint64_t m_created = 0;
};

} // namespace mimosahollow::gateway
