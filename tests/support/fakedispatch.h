#pragma once

#include "waitfor.h"

#include "mimosahollow/gateway/gateway.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace mimosahollow::tests {

using ReplyContent = decltype(gateway::ServingReply::content);

/** Answers requests of a gateway in place of the dispatch thread and records what arrives. */
class FakeDispatch
{
public:
    /** Decides about a request; nothing: it is left waiting. @p attempt counts from 0 for each request. */
    using Decide = std::function<std::optional<ReplyContent>(const gateway::ServingRequest &request, unsigned attempt)>;

    explicit FakeDispatch(Decide decide) : m_ring(4096), m_decide(std::move(decide))
    {
    }
    ~FakeDispatch()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    FakeDispatch(const FakeDispatch &) = delete;
    FakeDispatch &operator=(const FakeDispatch &) = delete;

    [[nodiscard]] BoundedRing<gateway::ServingEvent> &ring()
    {
        return m_ring;
    }

    void start(gateway::Gateway &gateway)
    {
        m_thread = std::thread([this, &gateway] {
            std::vector<gateway::ServingEvent> events;
            while (!m_stopping) {
                events.clear();
                m_ring.waitAndTake(events, std::chrono::milliseconds(5));
                for (gateway::ServingEvent &event : events) {
                    handle(gateway, event);
                }
            }
        });
    }

    [[nodiscard]] std::vector<gateway::ServingRequest> requests() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_requests;
    }

    [[nodiscard]] std::vector<gateway::ServingResult> results() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_results;
    }

    /** Waits for result number @p count and returns it. */
    [[nodiscard]] std::optional<gateway::ServingResult> awaitResult(std::size_t count)
    {
        const bool arrived = waitFor([&] {
            return results().size() >= count;
        });
        return arrived ? std::optional(results()[count - 1]) : std::nullopt;
    }

    [[nodiscard]] std::vector<gateway::BackendLimit> limits() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_limits;
    }

private:
    void handle(gateway::Gateway &gateway, gateway::ServingEvent &event)
    {
        if (auto *request = std::get_if<gateway::ServingRequest>(&event)) {
            {
                const std::scoped_lock lock(m_mutex);
                m_requests.push_back(*request);
            }
            answer(gateway, *request, 0);
        } else if (auto *result = std::get_if<gateway::ServingResult>(&event)) {
            std::optional<gateway::ServingRequest> again;
            unsigned attempts = 0;
            {
                const std::scoped_lock lock(m_mutex);
                for (const gateway::ServingResult &earlier : m_results) {
                    attempts += earlier.id == result->id ? 1 : 0;
                }
                for (const gateway::ServingRequest &request : m_requests) {
                    if (request.id == result->id && result->awaitsReply) {
                        again = request;
                    }
                }
                m_results.push_back(*result);
            }
            if (again) {
                answer(gateway, *again, attempts + 1);
            }
        } else if (const auto *limit = std::get_if<gateway::BackendLimit>(&event)) {
            const std::scoped_lock lock(m_mutex);
            m_limits.push_back(*limit);
        }
    }

    void answer(gateway::Gateway &gateway, const gateway::ServingRequest &request, unsigned attempt)
    {
        if (auto content = m_decide(request, attempt)) {
            gateway::ServingReply reply{request.id, std::move(*content)};
            while (!gateway.reply(request.gatewayThread, reply) && !m_stopping) {
                std::this_thread::yield();
            }
        }
    }

    BoundedRing<gateway::ServingEvent> m_ring;
    Decide m_decide;
    mutable std::mutex m_mutex;
    std::vector<gateway::ServingRequest> m_requests;
    std::vector<gateway::ServingResult> m_results;
    std::vector<gateway::BackendLimit> m_limits;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace mimosahollow::tests
