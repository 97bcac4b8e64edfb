#pragma once

#include "enginefleet.h"

#include <deque>

namespace benchmark {

enum class Baseline : std::uint8_t { Random, RoundRobin, LeastReported, Rendezvous };

/**
 * Sends each call at once to a server; the engine queues it, loads its adapter on demand and evicts the least recently used
 * idle one. Server choice knows at once which domain is out.
 */
class BaselinePolicy : public FleetListener
{
public:
    BaselinePolicy(const Deployment &deployment, const std::vector<Call> &calls, Baseline baseline, DomainChange change, std::uint64_t seed)
        : m_calls(calls)
        , m_fleet(deployment, calls, *this)
        , m_baseline(baseline)
        , m_change(change)
        , m_random(seed)
        , m_queues(deployment.servers)
        , m_reported(deployment.servers)
    {
        m_result.calls.resize(calls.size());
        m_fleet.schedule(0, reportTimer, 0);
        m_fleet.schedule(change.leaveAt, leaveTimer, 0);
        m_fleet.schedule(change.returnAt, returnTimer, 0);
    }

    RunResult run(double seconds)
    {
        m_fleet.run(seconds);
        m_result.generatedTokens = m_fleet.totalTokens();
        m_result.fullBatchTokens = m_fleet.fullBatchTokens(seconds);
        m_fleet.run(seconds + 60); // the last calls end by their deadlines
        m_result.loads = m_fleet.loads;
        m_result.overloads = m_fleet.overloads;
        m_result.evictionsInUse = m_fleet.evictionsInUse;
        return m_result;
    }

    void callArrived(std::uint32_t call) override
    {
        place(call);
        m_fleet.schedule(m_calls[call].deadline, deadlineTimer, call);
    }

    void callFinished(std::uint32_t call, std::uint32_t server, double) override
    {
        finish(call, m_fleet.now() <= m_calls[call].deadline ? CallResult::Outcome::OnTime : CallResult::Outcome::Late);
        serve(server);
    }

    void callFailed(std::uint32_t call, std::uint32_t) override
    {
        place(call); // repeated elsewhere
    }

    void loadFinished(std::uint32_t server, std::uint32_t, std::uint64_t, bool) override
    {
        serve(server);
        startStoreLoads();
    }

    void unloadFinished(std::uint32_t, std::uint64_t, bool) override
    {
    }

    void timer(std::uint32_t kind, std::uint32_t argument) override
    {
        switch (kind) {
        case reportTimer:
            for (std::uint32_t i = 0; i < m_queues.size(); ++i) {
                m_reported[i] = static_cast<double>(m_queues[i].size() + m_fleet.engines[i].running.size()) / m_fleet.engines[i].slots;
            }
            m_fleet.schedule(m_fleet.now() + 1, reportTimer, 0); // servers report once a second
            break;
        case storeTimer:
            m_storeTimerSet = false;
            startStoreLoads();
            break;
        case deadlineTimer:
            expire(argument);
            break;
        case leaveTimer:
        case returnTimer:
            changeDomain(kind == leaveTimer);
            break;
        default:
            break;
        }
    }

private:
    static constexpr std::uint32_t reportTimer = 1;
    static constexpr std::uint32_t storeTimer = 2;
    static constexpr std::uint32_t deadlineTimer = 3;
    static constexpr std::uint32_t leaveTimer = 4;
    static constexpr std::uint32_t returnTimer = 5;

    [[nodiscard]] bool usable(std::uint32_t server) const
    {
        return m_fleet.engines[server].alive && !(m_out && m_fleet.engines[server].domain == changingDomain);
    }

    std::uint32_t choose(std::uint32_t call)
    {
        std::vector<std::uint32_t> candidates;
        for (std::uint32_t i = 0; i < m_queues.size(); ++i) {
            if (usable(i)) {
                candidates.push_back(i);
            }
        }
        const auto least = [&](auto &&value) {
            return *std::min_element(candidates.begin(), candidates.end(), [&](std::uint32_t left, std::uint32_t right) {
                return value(left) < value(right);
            });
        };
        switch (m_baseline) {
        case Baseline::Random:
            return candidates[m_random() % candidates.size()];
        case Baseline::RoundRobin:
            return candidates[m_next++ % candidates.size()];
        case Baseline::LeastReported:
            std::shuffle(candidates.begin(), candidates.end(), m_random);
            return least([&](std::uint32_t server) {
                return m_reported[server];
            });
        case Baseline::Rendezvous:
            return least([&](std::uint32_t server) {
                return std::mt19937_64(m_calls[call].adapter * 1000003ULL + server)();
            });
        }
        return 0;
    }

    void place(std::uint32_t call)
    {
        const std::uint32_t server = choose(call);
        m_queues[server].push_back(call);
        serve(server);
    }

    void finish(std::uint32_t call, CallResult::Outcome outcome)
    {
        m_result.calls[call].outcome = outcome;
    }

    /** Starts what can start and asks for the loads of the rest. */
    void serve(std::uint32_t server)
    {
        Engine &engine = m_fleet.engines[server];
        auto &queue = m_queues[server];
        for (std::size_t i = 0; i < queue.size() && engine.alive && engine.running.size() < engine.slots;) {
            const std::uint32_t call = queue[i];
            const auto adapter = engine.adapters.find(m_calls[call].adapter);
            if (adapter == engine.adapters.end() || adapter->second.loading) {
                requestLoad(server, m_calls[call].adapter);
                ++i;
                continue;
            }
            const double loadedAt = adapter->second.since;
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
            if (!m_fleet.start(server, call)) {
                finish(call, CallResult::Outcome::Failed);
            } else if (loadedAt > m_calls[call].arrival) {
                m_result.calls[call].stall = loadedAt - m_calls[call].arrival;
            }
        }
    }

    void requestLoad(std::uint32_t server, std::uint32_t adapter)
    {
        const std::pair wanted(server, adapter);
        if (m_fleet.engines[server].adapters.contains(adapter) || std::find(m_store.begin(), m_store.end(), wanted) != m_store.end()) {
            return;
        }
        m_store.push_back(wanted);
        startStoreLoads();
    }

    void startStoreLoads()
    {
        while (!m_store.empty()) {
            const auto [server, adapter] = m_store.front();
            if (!makeRoom(server)) {
                m_store.push_back(m_store.front()); // every slot is in use; the next one may be luckier
                m_store.pop_front();
                break;
            }
            if (!m_fleet.takeStoreToken()) {
                break;
            }
            m_fleet.load(server, adapter, 0);
            m_store.pop_front();
        }
        if (!m_store.empty() && !m_storeTimerSet) {
            m_storeTimerSet = true;
            m_fleet.schedule(m_fleet.now() + 0.02, storeTimer, 0);
        }
    }

    bool makeRoom(std::uint32_t server)
    {
        auto &adapters = m_fleet.engines[server].adapters;
        if (adapters.size() < adapterSlots) {
            return true;
        }
        auto victim = adapters.end();
        for (auto i = adapters.begin(); i != adapters.end(); ++i) {
            if (i->second.users == 0 && !i->second.loading && (victim == adapters.end() || i->second.lastUsed < victim->second.lastUsed)) {
                victim = i;
            }
        }
        if (victim == adapters.end()) {
            return false;
        }
        adapters.erase(victim);
        return true;
    }

    void expire(std::uint32_t call)
    {
        if (m_result.calls[call].outcome != CallResult::Outcome::Pending) {
            return;
        }
        finish(call, CallResult::Outcome::Late);
        for (std::uint32_t i = 0; i < m_queues.size(); ++i) {
            std::erase(m_queues[i], call);
            const auto &running = m_fleet.engines[i].running;
            const bool runs = std::any_of(running.begin(), running.end(), [call](const RunningCall &candidate) {
                return candidate.call == call;
            });
            if (runs) {
                m_fleet.cancel(i, call);
                serve(i);
            }
        }
    }

    void changeDomain(bool leaves)
    {
        m_out = leaves;
        for (std::uint32_t i = 0; i < m_queues.size(); ++i) {
            if (m_fleet.engines[i].domain != changingDomain) {
                continue;
            }
            std::deque<std::uint32_t> moved;
            if (leaves) {
                moved.swap(m_queues[i]);
                std::erase_if(m_store, [i](const auto &wanted) {
                    return wanted.first == i;
                });
                if (m_change.crash) {
                    m_fleet.crash(i);
                }
            } else {
                if (!m_change.crash) {
                    m_fleet.crash(i); // restarted while it was out
                }
                m_fleet.boot(i);
            }
            for (const std::uint32_t call : moved) {
                place(call);
            }
        }
    }

    const std::vector<Call> &m_calls;
    EngineFleet m_fleet;
    Baseline m_baseline;
    DomainChange m_change;
    std::mt19937_64 m_random;
    std::vector<std::deque<std::uint32_t>> m_queues;
    std::vector<double> m_reported;
    std::deque<std::pair<std::uint32_t, std::uint32_t>> m_store; // loads that wait for the weight store
    bool m_storeTimerSet = false;
    bool m_out = false;
    std::size_t m_next = 0;
    RunResult m_result;
};

} // namespace benchmark
