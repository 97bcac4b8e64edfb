#include "sendqueue.h"

#include <utility>

namespace mimosahollow::link {

namespace {

/** Frames of one write. Large enough to spread the cost of a system call, small enough for the limit of buffers in one call. */
constexpr std::size_t maximumBatchFrames = 32;

} // namespace

SendQueue::SendQueue(std::size_t maximumFrames, std::size_t maximumBytes) : m_maximumFrames(maximumFrames), m_maximumBytes(maximumBytes)
{
}

PushResult SendQueue::push(OutgoingFrame frame)
{
    const std::size_t bytes = frameHeaderBytes + frame.payload.size();
    const std::scoped_lock lock(m_mutex);
    if (m_closed || m_heldFrames >= m_maximumFrames || m_heldBytes + bytes > m_maximumBytes) {
        return PushResult::Full;
    }
    m_frames.push_back(std::move(frame));
    ++m_heldFrames;
    m_heldBytes += bytes;
    return std::exchange(m_writerIdle, false) ? PushResult::QueuedWriterIdle : PushResult::Queued;
}

void SendQueue::take(std::vector<OutgoingFrame> &batch)
{
    const std::scoped_lock lock(m_mutex);
    while (!m_frames.empty() && batch.size() < maximumBatchFrames) {
        batch.push_back(std::move(m_frames.front()));
        m_frames.pop_front();
    }
    m_writerIdle = batch.empty();
}

void SendQueue::written(std::size_t frames, std::size_t bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_heldFrames -= frames;
    m_heldBytes -= bytes;
}

void SendQueue::close()
{
    const std::scoped_lock lock(m_mutex);
    m_closed = true;
}

} // namespace mimosahollow::link
