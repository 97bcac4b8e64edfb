#pragma once

#include "workload.h"

#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

namespace benchmark {

/** What the engines and the clock report to the policy that drives them. */
class FleetListener
{
public:
    virtual ~FleetListener() = default;
    virtual void callArrived(std::uint32_t call) = 0;
    virtual void callFinished(std::uint32_t call, std::uint32_t server, double firstTokenLatency) = 0;
    virtual void callFailed(std::uint32_t call, std::uint32_t server) = 0; /**< The engine crashed. */
    virtual void loadFinished(std::uint32_t server, std::uint32_t adapter, std::uint64_t tag, bool done) = 0;
    virtual void unloadFinished(std::uint32_t server, std::uint64_t tag, bool done) = 0;
    virtual void timer(std::uint32_t kind, std::uint32_t argument) = 0;
};

struct ResidentAdapter
{
    double since = 0;
    double lastUsed = 0;
    std::uint32_t users = 0;
    bool loading = true;
};

struct RunningCall
{
    std::uint32_t call = 0;
    double finish = 0; /**< Progress of the server at which it ends. */
    double firstTokenLatency = 0;
};

struct Engine
{
    std::uint32_t domain = 0;
    std::uint32_t slots = 12;
    std::uint32_t incarnation = 1;
    bool alive = true;
    std::uint32_t bears = 12; /**< Calls at one time; grows from the cold limit with finished calls. */
    std::uint32_t finishedCalls = 0; /**< Since bears changed. */
    double progress = 0; /**< Tokens that a call which runs all the time has got. */
    double updated = 0;
    std::uint64_t version = 0; /**< Invalidates completion events. */
    std::vector<RunningCall> running;
    std::unordered_map<std::uint32_t, ResidentAdapter> adapters;
};

/**
 * Engines with continuous batching and a rate-limited weight store, driven by events in simulated time. Tokens slow down by
 * 4% for each further call of the batch, loads take 0.25 s while up to 8 are in flight and proportionally longer beyond.
 */
class EngineFleet
{
public:
    static constexpr std::uint32_t coldLimit = 1;
    static constexpr double tokenSeconds = 0.02;
    static constexpr double batchSlowdown = 0.04;
    static constexpr double loadSeconds = 0.25;
    static constexpr double unloadSeconds = 0.005;
    static constexpr double fastLoads = 8;

    EngineFleet(const Deployment &deployment, const std::vector<Call> &calls, FleetListener &listener)
        : m_calls(calls), m_listener(listener), m_storeRate(deployment.loadsPerSecond)
    {
        engines.resize(deployment.servers);
        for (std::uint32_t i = 0; i < deployment.servers; ++i) {
            engines[i].domain = i % deployment.domains;
            engines[i].slots = 8 + 4 * (i % 3); // 8, 12 and 16
            engines[i].bears = engines[i].slots;
        }
        for (std::uint32_t i = 0; i < calls.size(); ++i) {
            push({calls[i].arrival, 0, Kind::Arrival, i, 0, 0});
        }
    }

    [[nodiscard]] double now() const
    {
        return m_now;
    }

    void run(double until)
    {
        while (!m_events.empty() && m_events.top().time <= until) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            handle(event);
        }
    }

    void schedule(double time, std::uint32_t kind, std::uint32_t argument)
    {
        push({time, 0, Kind::Timer, kind, argument, 0});
    }

    /** False when the engine is down or cold and fails under the load. */
    bool start(std::uint32_t server, std::uint32_t call)
    {
        Engine &engine = engines[server];
        if (!engine.alive) {
            return false;
        }
        if (engine.running.size() >= engine.bears) {
            ++overloads;
            return false;
        }
        advance(engine);
        const double prompt = m_calls[call].promptTokens / 100.0; // a hundred prompt tokens take as long as one output token
        engine.running.push_back({call, engine.progress + prompt + m_calls[call].outputTokens, 0});
        engine.running.back().firstTokenLatency = (prompt + 1) * tokenTime(engine.running.size());
        ResidentAdapter &adapter = engine.adapters[m_calls[call].adapter];
        ++adapter.users;
        adapter.lastUsed = m_now;
        scheduleCompletion(server);
        return true;
    }

    /** Ends a running call early. */
    void cancel(std::uint32_t server, std::uint32_t call)
    {
        Engine &engine = engines[server];
        advance(engine);
        std::erase_if(engine.running, [&](const RunningCall &running) {
            return running.call == call;
        });
        --engine.adapters[m_calls[call].adapter].users;
        scheduleCompletion(server);
    }

    /** Starts a load at once; the caller has a token of the store. */
    void load(std::uint32_t server, std::uint32_t adapter, std::uint64_t tag)
    {
        Engine &engine = engines[server];
        if (!engine.alive || engine.adapters.size() >= adapterSlots) {
            push({m_now + unloadSeconds, 0, Kind::LoadRefused, server, adapter, tag});
            return;
        }
        engine.adapters[adapter] = {m_now, m_now, 0, true};
        ++loads;
        ++m_inFlight;
        const double time = loadSeconds * std::max(1.0, m_inFlight / fastLoads);
        push({m_now + time, 0, Kind::Loaded, server, adapter, tag, engine.incarnation});
    }

    void unload(std::uint32_t server, std::uint32_t adapter, std::uint64_t tag)
    {
        Engine &engine = engines[server];
        const auto found = engine.adapters.find(adapter);
        const bool possible = engine.alive && found != engine.adapters.end() && found->second.users == 0 && !found->second.loading;
        if (found != engine.adapters.end() && found->second.users > 0) {
            ++evictionsInUse;
        }
        if (possible) {
            engine.adapters.erase(found);
        }
        push({m_now + unloadSeconds, 0, possible ? Kind::Unloaded : Kind::UnloadRefused, server, adapter, tag});
    }

    void crash(std::uint32_t server)
    {
        Engine &engine = engines[server];
        advance(engine);
        engine.alive = false;
        ++engine.incarnation;
        ++engine.version;
        engine.adapters.clear();
        std::vector<RunningCall> lost;
        lost.swap(engine.running);
        for (const RunningCall &call : lost) {
            m_listener.callFailed(call.call, server);
        }
    }

    void boot(std::uint32_t server)
    {
        Engine &engine = engines[server];
        engine.alive = true;
        engine.bears = coldLimit;
        engine.finishedCalls = 0;
        engine.updated = m_now;
    }

    /** Takes a token of the weight store if there is one. */
    bool takeStoreToken()
    {
        m_tokens = std::min(m_storeRate, m_tokens + (m_now - m_tokensUpdated) * m_storeRate); // a second's worth is kept
        m_tokensUpdated = m_now;
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    [[nodiscard]] static double tokenTime(std::size_t batch)
    {
        return tokenSeconds * (1 + batchSlowdown * (static_cast<double>(batch) - 1));
    }

    std::vector<Engine> engines;
    std::uint64_t loads = 0;
    std::uint64_t overloads = 0; /**< Calls that a cold engine could not bear. */
    std::uint64_t evictionsInUse = 0;

    /** Tokens that the engines generated so far. */
    double totalTokens()
    {
        for (Engine &engine : engines) {
            advance(engine);
        }
        return m_generatedTokens;
    }

    /** Tokens that all engines generate in the time at full batches. */
    [[nodiscard]] double fullBatchTokens(double seconds) const
    {
        double tokens = 0;
        for (const Engine &engine : engines) {
            tokens += seconds * engine.slots / tokenTime(engine.slots);
        }
        return tokens;
    }

private:
    enum class Kind : std::uint8_t { Arrival, Timer, Completion, Loaded, LoadRefused, Unloaded, UnloadRefused };

    struct Event
    {
        double time = 0;
        std::uint64_t sequence = 0; /**< Keeps events of one time in order. */
        Kind kind{};
        std::uint32_t first = 0;
        std::uint32_t second = 0;
        std::uint64_t tag = 0;
        std::uint64_t guard = 0; /**< Version or incarnation that must still hold. */

        bool operator<(const Event &other) const
        {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    void push(Event event)
    {
        event.sequence = m_sequence++;
        m_events.push(event);
    }

    void advance(Engine &engine)
    {
        if (!engine.running.empty()) {
            const double tokens = (m_now - engine.updated) / tokenTime(engine.running.size());
            engine.progress += tokens;
            m_generatedTokens += tokens * static_cast<double>(engine.running.size());
        }
        engine.updated = m_now;
    }

    void scheduleCompletion(std::uint32_t server)
    {
        Engine &engine = engines[server];
        ++engine.version;
        if (engine.running.empty()) {
            return;
        }
        double first = engine.running.front().finish;
        for (const RunningCall &running : engine.running) {
            first = std::min(first, running.finish);
        }
        const double wait = std::max(0.0, first - engine.progress) * tokenTime(engine.running.size());
        push({m_now + wait, 0, Kind::Completion, server, 0, 0, engine.version});
    }

    void complete(std::uint32_t server)
    {
        constexpr double rounding = 1e-6; // tokens
        Engine &engine = engines[server];
        advance(engine);
        std::vector<RunningCall> ended;
        std::erase_if(engine.running, [&](const RunningCall &running) {
            const bool isEnded = running.finish <= engine.progress + rounding;
            if (isEnded) {
                ended.push_back(running);
            }
            return isEnded;
        });
        for (const RunningCall &running : ended) {
            ResidentAdapter &adapter = engine.adapters[m_calls[running.call].adapter];
            --adapter.users;
            adapter.lastUsed = m_now;
            if (++engine.finishedCalls >= engine.bears && engine.bears < engine.slots) {
                engine.bears = std::min(engine.slots, engine.bears * 2);
                engine.finishedCalls = 0;
            }
        }
        scheduleCompletion(server);
        for (const RunningCall &running : ended) {
            m_listener.callFinished(running.call, server, running.firstTokenLatency);
        }
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            m_listener.callArrived(event.first);
            break;
        case Kind::Timer:
            m_listener.timer(event.first, event.second);
            break;
        case Kind::Completion:
            if (engines[event.first].version == event.guard) {
                complete(event.first);
            }
            break;
        case Kind::Loaded: {
            --m_inFlight;
            const bool done = engines[event.first].alive && engines[event.first].incarnation == event.guard;
            if (done) {
                engines[event.first].adapters[event.second] = {m_now, m_now, 0, false};
            }
            m_listener.loadFinished(event.first, event.second, event.tag, done);
            break;
        }
        case Kind::LoadRefused:
            m_listener.loadFinished(event.first, event.second, event.tag, false);
            break;
        case Kind::Unloaded:
        case Kind::UnloadRefused:
            m_listener.unloadFinished(event.first, event.tag, event.kind == Kind::Unloaded);
            break;
        }
    }

    const std::vector<Call> &m_calls;
    FleetListener &m_listener;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    double m_now = 0;
    double m_inFlight = 0;
    double m_storeRate;
    double m_generatedTokens = 0;
    double m_tokens = 1;
    double m_tokensUpdated = 0;
};

/** How one call ended. */
struct CallResult
{
    enum class Outcome : std::uint8_t { Pending, OnTime, Late, Refused, Failed };

    Outcome outcome = Outcome::Pending;
    double stall = 0; /**< Seconds from arrival until the load that it waited for was done; 0: it waited for none. */
};

struct RunResult
{
    std::vector<CallResult> calls;
    std::uint64_t loads = 0;
    std::uint64_t overloads = 0;
    std::uint64_t evictionsInUse = 0;
    double generatedTokens = 0;
    double fullBatchTokens = 0; /**< What the servers would have generated at full batches all the time. */
};

/** A failure domain leaves at one time and returns, restarted, at another. */
struct DomainChange
{
    double leaveAt = 1e9;
    double returnAt = 1e9;
    bool crash = false; /**< Running calls break; otherwise an operator takes the domain out first. */
};

inline constexpr std::uint32_t changingDomain = 0;

} // namespace benchmark
