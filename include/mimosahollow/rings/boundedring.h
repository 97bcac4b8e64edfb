#pragma once

#include <boost/circular_buffer.hpp>

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace mimosahollow {

/**
 * Bounded queue between threads: any number of producers, one consumer.
 *
 * A full ring refuses the element; the producer turns that into a refusal or back-pressure.
 * Memory grows with use up to the capacity and never beyond.
 */
template<typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity) : m_elements(capacity)
    {
    }

    /** Sets the function that wakes a consumer which does not block in waitAndTake(). Call before the first push. */
    void setWakeFunction(std::function<void()> wake)
    {
        m_wake = std::move(wake);
    }

    /** Moves @p element into the ring. Returns false, and leaves it untouched, when the ring is full. */
    [[nodiscard]] bool tryPush(T &element)
    {
        bool wasEmpty = false;
        {
            const std::scoped_lock lock(m_mutex);
            if (m_elements.full()) {
                return false;
            }
            wasEmpty = m_elements.empty();
            m_elements.push_back(std::move(element));
        }
        // The consumer takes everything at once, so only the first element after a take needs a wake-up.
        if (wasEmpty) {
            m_notEmpty.notify_one();
            if (m_wake) {
                m_wake();
            }
        }
        return true;
    }

    /** Moves all elements to the end of @p out without waiting. */
    void take(std::vector<T> &out)
    {
        const std::scoped_lock lock(m_mutex);
        moveAll(out);
    }

    /** Waits up to @p timeout for an element, then moves all elements to the end of @p out. */
    template<typename WaitDuration>
    void waitAndTake(std::vector<T> &out, WaitDuration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_notEmpty.wait_for(lock, timeout, [this] {
            return !m_elements.empty() || m_woken;
        });
        m_woken = false;
        moveAll(out);
    }

    /** Ends a present or the next wait of the consumer early, for example because another ring has elements for it. */
    void wake()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_woken = true;
        }
        m_notEmpty.notify_one();
    }

private:
    void moveAll(std::vector<T> &out)
    {
        for (T &element : m_elements) {
            out.push_back(std::move(element));
        }
        m_elements.clear();
    }

    std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    boost::circular_buffer_space_optimized<T> m_elements;
    std::function<void()> m_wake;
    bool m_woken = false;
};

} // namespace mimosahollow
