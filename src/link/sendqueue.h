#pragma once

#include "frame.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <vector>

namespace mimosahollow::link {

struct OutgoingFrame
{
    FrameHeader header{};
    std::vector<std::uint8_t> payload;
};

enum class PushResult : std::uint8_t {
    Full,
    Queued,
    QueuedWriterIdle, /**< The caller must wake the writer. */
};

/** Bounded queue of frames for one connection: any number of producers, one writer. */
class SendQueue
{
public:
    SendQueue(std::size_t maximumFrames, std::size_t maximumBytes);

    [[nodiscard]] PushResult push(OutgoingFrame frame);
    /** Moves frames for one write to @p batch. When there are none, the writer counts as idle. */
    void take(std::vector<OutgoingFrame> &batch);
    /** The frames of the last take() are written and free their room. */
    void written(std::size_t frames, std::size_t bytes);
    /** Accepts no more frames. */
    void close();

private:
    std::mutex m_mutex;
    std::deque<OutgoingFrame> m_frames;
    std::size_t m_maximumFrames;
    std::size_t m_maximumBytes;
    std::size_t m_heldFrames = 0; /**< Queued or being written. */
    std::size_t m_heldBytes = 0;
    bool m_writerIdle = false;
    bool m_closed = false;
};

} // namespace mimosahollow::link
