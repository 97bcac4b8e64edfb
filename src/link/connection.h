#pragma once

#include "frame.h"
#include "mimosahollow/membership/instancerecord.h"
#include "sendqueue.h"
#include "tlscontext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <span>
#include <string>

namespace mimosahollow::link {

/** One TCP connection, with or without TLS. Used on the link thread only, but for the send queue. */
class Connection
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    Connection(Socket socket, TlsContext tls, bool outgoing, const LinkOptions &options);

    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> handshake();
    /** Returns the number of bytes read, 0 at the end or after an error. */
    [[nodiscard]] boost::asio::awaitable<std::size_t> readSome(std::span<std::uint8_t> space);
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> write(std::span<const OutgoingFrame> frames);
    /** Writes the queued frames until the connection is closed. */
    [[nodiscard]] boost::asio::awaitable<void> writeQueue();

    void wakeWriter();
    void close();
    [[nodiscard]] bool isClosed() const noexcept;
    [[nodiscard]] bool isOutgoing() const noexcept;
    [[nodiscard]] Socket &socket() noexcept;
    [[nodiscard]] SendQueue &queue() noexcept;
    [[nodiscard]] FrameReader &reader() noexcept;
    [[nodiscard]] const std::string &lastError() const noexcept;

    membership::InstanceRecord peer; /**< From its Hello. */

private:
    Socket m_socket;
    TlsContext m_tlsContext;
    std::optional<boost::asio::ssl::stream<Socket &>> m_tls;
    boost::asio::steady_timer m_writerWake;
    SendQueue m_queue;
    FrameReader m_reader;
    std::string m_lastError;
    bool m_outgoing;
    bool m_closed = false;
};

} // namespace mimosahollow::link
