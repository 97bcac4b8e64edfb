#include "callerwatch.h"

#include <utility>

namespace mimosahollow::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t readBytes = 4096;
// A caller that pipelines more than this is not watched further; its bytes stay in the kernel.
constexpr std::size_t maximumPipelinedBytes = 65'536;

} // namespace

CallerWatch::CallerWatch(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer) : m_stream(stream), m_buffer(buffer)
{
}

void CallerWatch::beginCall()
{
    m_active = true;
    arm();
}

void CallerWatch::endCall()
{
    // A pending wait is left alone: cancelling costs a system call for each request, and its handler sees the flag.
    m_active = false;
    m_interrupt = nullptr;
}

bool CallerWatch::callerLeft() const noexcept
{
    return m_left;
}

void CallerWatch::setInterrupt(std::function<void()> interrupt)
{
    if (m_left) {
        interrupt();
    } else {
        m_interrupt = std::move(interrupt);
    }
}

void CallerWatch::clearInterrupt()
{
    m_interrupt = nullptr;
}

void CallerWatch::arm()
{
    if (m_armed || m_left) {
        return;
    }
    m_armed = true;
    m_stream.socket().async_wait(asio::socket_base::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        self->m_armed = false;
        if (!error && self->m_active) {
            self->inputArrived();
        }
    });
}

void CallerWatch::inputArrived()
{
    if (m_buffer.size() >= maximumPipelinedBytes || m_buffer.max_size() - m_buffer.size() < readBytes) {
        return;
    }
    boost::system::error_code error;
    const std::size_t bytes = m_stream.socket().read_some(m_buffer.prepare(readBytes), error);
    m_buffer.commit(bytes);
    if (error && error != asio::error::would_block) {
        leave();
        return;
    }
    arm();
}

void CallerWatch::leave()
{
    m_left = true;
    // Also ends a write to the caller that waits for space.
    m_stream.close();
    if (auto interrupt = std::exchange(m_interrupt, nullptr)) {
        interrupt();
    }
}

} // namespace mimosahollow::gateway
