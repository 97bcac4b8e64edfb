#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>

namespace mimosahollow::gateway {

/**
 * Notices that a caller closes its connection while its call runs.
 *
 * Bytes that arrive during the call belong to the next request and are kept in the buffer of the connection.
 * The end of the caller's input counts as leaving, also when the caller has only shut down its sending side.
 */
class CallerWatch : public std::enable_shared_from_this<CallerWatch>
{
public:
    CallerWatch(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer);

    void beginCall();
    void endCall();
    [[nodiscard]] bool callerLeft() const noexcept;
    /** Sets what is called once when the caller leaves, at once when it has left; it ends the wait that the call is in. */
    void setInterrupt(std::function<void()> interrupt);
    void clearInterrupt();

private:
    void arm();
    void inputArrived();
    void leave();

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    std::function<void()> m_interrupt;
    bool m_active = false; // the connection exists for as long as this is set
    bool m_armed = false;
    bool m_left = false;
};

} // namespace mimosahollow::gateway
