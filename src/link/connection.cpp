#include "connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <vector>

namespace mimosahollow::link {

namespace asio = boost::asio;

namespace {

constexpr auto tupleAwaitable = asio::as_tuple(asio::use_awaitable);

} // namespace

Connection::Connection(Socket socket, TlsContext tls, bool outgoing, const LinkOptions &options)
    : m_socket(std::move(socket))
    , m_tlsContext(std::move(tls))
    , m_writerWake(m_socket.get_executor(), asio::steady_timer::time_point::max())
    , m_queue(options.sendQueueFrames, options.sendQueueBytes)
    , m_outgoing(outgoing)
{
    m_reader.setMaximumPayload(maximumHelloBytes);
    if (m_tlsContext) {
        m_tls.emplace(m_socket, *m_tlsContext);
    }
}

asio::awaitable<boost::system::error_code> Connection::handshake()
{
    if (!m_tls) {
        co_return boost::system::error_code();
    }
    const auto role = m_outgoing ? asio::ssl::stream_base::client : asio::ssl::stream_base::server;
    const auto [error] = co_await m_tls->async_handshake(role, tupleAwaitable);
    co_return error;
}

asio::awaitable<std::size_t> Connection::readSome(std::span<std::uint8_t> space)
{
    const auto buffer = asio::buffer(space.data(), space.size());
    boost::system::error_code error;
    std::size_t count = 0;
    if (m_tls) {
        std::tie(error, count) = co_await m_tls->async_read_some(buffer, tupleAwaitable);
    } else {
        std::tie(error, count) = co_await m_socket.async_read_some(buffer, tupleAwaitable);
    }
    if (error) {
        m_lastError = error.message();
        co_return 0;
    }
    co_return count;
}

asio::awaitable<boost::system::error_code> Connection::write(std::span<const OutgoingFrame> frames)
{
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(frames.size() * 2);
    for (const OutgoingFrame &frame : frames) {
        buffers.push_back(asio::buffer(frame.header));
        if (!frame.payload.empty()) {
            buffers.push_back(asio::buffer(frame.payload));
        }
    }
    boost::system::error_code error;
    std::size_t count = 0;
    if (m_tls) {
        std::tie(error, count) = co_await asio::async_write(*m_tls, buffers, tupleAwaitable);
    } else {
        std::tie(error, count) = co_await asio::async_write(m_socket, buffers, tupleAwaitable);
    }
    co_return error;
}

asio::awaitable<void> Connection::writeQueue()
{
    std::vector<OutgoingFrame> batch;
    while (!m_closed) {
        batch.clear();
        m_queue.take(batch);
        if (batch.empty()) {
            m_writerWake.expires_at(asio::steady_timer::time_point::max());
            static_cast<void>(co_await m_writerWake.async_wait(tupleAwaitable));
            continue;
        }
        const boost::system::error_code error = co_await write(batch);
        if (error) {
            close();
            co_return;
        }
        std::size_t bytes = 0;
        for (const OutgoingFrame &frame : batch) {
            bytes += frameHeaderBytes + frame.payload.size();
        }
        m_queue.written(batch.size(), bytes);
    }
}

void Connection::wakeWriter()
{
    m_writerWake.cancel();
}

void Connection::close()
{
    m_closed = true;
    m_queue.close();
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_writerWake.cancel();
}

bool Connection::isClosed() const noexcept
{
    return m_closed;
}

bool Connection::isOutgoing() const noexcept
{
    return m_outgoing;
}

Connection::Socket &Connection::socket() noexcept
{
    return m_socket;
}

SendQueue &Connection::queue() noexcept
{
    return m_queue;
}

FrameReader &Connection::reader() noexcept
{
    return m_reader;
}

const std::string &Connection::lastError() const noexcept
{
    return m_lastError;
}

} // namespace mimosahollow::link
