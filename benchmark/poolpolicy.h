#pragma once

#include "enginefleet.h"

#include "mimosahollow/routing/poolchoice.h"
#include "mimosahollow/scheduling/pool.h"

#include <array>
#include <unordered_map>

namespace benchmark {

namespace routing = mimosahollow::routing;
namespace scheduling = mimosahollow::scheduling;
using mimosahollow::AdapterId;
using mimosahollow::fromSeconds;
using mimosahollow::InstanceId;
using mimosahollow::OrganisationId;
using mimosahollow::PoolId;
using mimosahollow::RequestId;
using mimosahollow::ServerId;
using mimosahollow::TimePoint;

/** The decision code: one pool for each failure domain, chosen by summaries that are up to 100 ms old. */
class PoolPolicy : public FleetListener
{
public:
    PoolPolicy(const Deployment &deployment, const std::vector<Call> &calls, DomainChange change, std::uint64_t seed)
        : m_calls(calls), m_fleet(deployment, calls, *this), m_change(change), m_states(calls.size())
    {
        m_result.calls.resize(calls.size());
        for (std::uint32_t domain = 0; domain < deployment.domains; ++domain) {
            scheduling::SchedulingSettings settings;
            settings.maximumLoadsInFlight = 8 / deployment.domains;
            settings.loadsPerSecond = deployment.loadsPerSecond / deployment.domains;
            settings.expectedAdapters = adapterCount;
            settings.seed = seed * 10 + domain;
            m_pools.push_back(scheduling::makePool(PoolId{domain + 1}, settings, time()));
            declare(domain, scheduling::ServiceState::InService);
        }
        m_summaries.resize(deployment.domains);
        for (std::uint32_t i = 0; i < deployment.servers; ++i) {
            announce(i);
        }
        for (scheduling::PoolState &pool : m_pools) {
            for (scheduling::ServerState &server : pool.servers) {
                server.slowStart.limit = server.slowStart.warmLimit; // the fleet starts warm
            }
        }
        m_fleet.schedule(0, reportTimer, 0);
        m_fleet.schedule(0, tickTimer, 0);
        m_fleet.schedule(0, summaryTimer, 0);
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
        m_fleet.schedule(m_calls[call].deadline, deadlineTimer, call);
        acquire(call);
    }

    void callFinished(std::uint32_t call, std::uint32_t server, double firstTokenLatency) override
    {
        const bool onTime = m_fleet.now() <= m_calls[call].deadline;
        m_result.calls[call].outcome = onTime ? CallResult::Outcome::OnTime : CallResult::Outcome::Late;
        giveBack(call, server, scheduling::ReleaseOutcome::Completed, firstTokenLatency);
    }

    void callFailed(std::uint32_t call, std::uint32_t server) override
    {
        giveBack(call, server, scheduling::ReleaseOutcome::ConnectionReset, 0);
        retry(call);
    }

    void loadFinished(std::uint32_t server, std::uint32_t, std::uint64_t tag, bool done) override
    {
        orderEnded(server, tag, done);
    }

    void unloadFinished(std::uint32_t server, std::uint64_t tag, bool done) override
    {
        orderEnded(server, tag, done);
    }

    void timer(std::uint32_t kind, std::uint32_t argument) override
    {
        switch (kind) {
        case reportTimer:
            reportAll();
            m_fleet.schedule(m_fleet.now() + 1, reportTimer, 0);
            break;
        case tickTimer:
            tickAll();
            m_fleet.schedule(m_fleet.now() + 0.02, tickTimer, 0);
            break;
        case summaryTimer:
            for (std::size_t i = 0; i < m_pools.size(); ++i) {
                m_summaries[i] = scheduling::summarise(m_pools[i], time());
            }
            m_fleet.schedule(m_fleet.now() + 0.1, summaryTimer, 0);
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
    static constexpr std::uint32_t tickTimer = 2;
    static constexpr std::uint32_t summaryTimer = 3;
    static constexpr std::uint32_t deadlineTimer = 4;
    static constexpr std::uint32_t leaveTimer = 5;
    static constexpr std::uint32_t returnTimer = 6;
    static constexpr std::uint32_t mostAttempts = 4;
    static constexpr std::uint32_t noPool = 0xffffffffU;

    struct CallState
    {
        std::uint32_t pool = noPool; /**< Where it waits or runs. */
        std::uint32_t server = noPool; /**< Where it runs. */
        std::uint64_t grant = 0;
        std::uint32_t attempts = 0;
    };

    [[nodiscard]] TimePoint time() const
    {
        return TimePoint{mimosahollow::seconds(1000)} + fromSeconds(m_fleet.now());
    }

    [[nodiscard]] TimePoint at(double seconds) const
    {
        return TimePoint{mimosahollow::seconds(1000)} + fromSeconds(seconds);
    }

    void declare(std::uint32_t domain, scheduling::ServiceState service)
    {
        scheduling::PoolDeclaration declaration;
        declaration.domainState = service;
        for (std::uint32_t i = 0; i < m_fleet.engines.size(); ++i) {
            if (m_fleet.engines[i].domain == domain) {
                declaration.servers.push_back({ServerId{i + 1}, scheduling::ServiceState::InService});
            }
        }
        scheduling::Actions actions;
        scheduling::setDeclaration(m_pools[domain], declaration, time(), actions);
        carryOut(domain, actions);
    }

    [[nodiscard]] std::vector<AdapterId> listed(std::uint32_t server) const
    {
        std::vector<AdapterId> adapters;
        for (const auto &[adapter, resident] : m_fleet.engines[server].adapters) {
            if (!resident.loading) {
                adapters.push_back(AdapterId{adapter});
            }
        }
        return adapters;
    }

    void announce(std::uint32_t server)
    {
        const Engine &engine = m_fleet.engines[server];
        scheduling::Actions actions;
        scheduling::announceServer(m_pools[engine.domain],
                                   {ServerId{server + 1}, engine.incarnation, engine.slots, adapterSlots, EngineFleet::coldLimit, true, false, listed(server)},
                                   time(),
                                   actions);
        carryOut(engine.domain, actions);
    }

    void reportAll()
    {
        for (std::uint32_t i = 0; i < m_fleet.engines.size(); ++i) {
            const Engine &engine = m_fleet.engines[i];
            if (engine.alive) {
                scheduling::Actions actions;
                const auto running = static_cast<std::uint32_t>(engine.running.size());
                scheduling::applyReport(m_pools[engine.domain], {ServerId{i + 1}, engine.incarnation, running, 0, listed(i)}, time(), actions);
                carryOut(engine.domain, actions);
            }
        }
    }

    /** Gives the tokens of the weight store to the pools that want them, in turn. */
    void tickAll()
    {
        for (std::uint32_t i = 0; i < m_pools.size(); ++i) {
            scheduling::Actions actions;
            scheduling::tick(m_pools[i], time(), actions);
            carryOut(i, actions);
        }
        giveTokens(&scheduling::PoolState::urgentLoadTokenDemand);
        giveTokens(&scheduling::PoolState::loadTokenDemand);
    }

    void giveTokens(std::uint32_t scheduling::PoolState::*wanted)
    {
        bool anyWanted = true;
        while (anyWanted) {
            anyWanted = false;
            for (std::size_t i = 0; i < m_pools.size(); ++i) {
                const auto pool = static_cast<std::uint32_t>(m_turn++ % m_pools.size());
                if (m_pools[pool].*wanted > 0) {
                    if (!m_fleet.takeStoreToken()) {
                        --m_turn;
                        return;
                    }
                    anyWanted = true;
                    scheduling::Actions actions;
                    scheduling::grantLoadTokens(m_pools[pool], 1, time(), actions);
                    carryOut(pool, actions);
                }
            }
        }
    }

    /** The choice of the entry instances, which are spread evenly over the failure domains. */
    std::uint32_t choosePool(std::uint32_t call)
    {
        std::vector<routing::PoolSummary> views(m_summaries.size());
        for (std::uint32_t i = 0; i < m_summaries.size(); ++i) {
            const scheduling::PoolSummary &summary = m_summaries[i];
            views[i].pool = PoolId{i + 1};
            views[i].domain = mimosahollow::DomainId{i + 1};
            views[i].roundTrip = mimosahollow::milliseconds(i == call % m_summaries.size() ? 0 : 2);
            views[i].inService = summary.inService;
            views[i].expectedWait = summary.expectedWait;
            views[i].expectedLoadTime = summary.expectedLoadWait;
            views[i].freeCapacity = summary.freeSlots;
            views[i].totalCapacity = summary.totalSlots;
            views[i].resident = summary.adapters;
            for (const scheduling::AdapterWait &wait : summary.waits) {
                views[i].busy.emplace_back(wait.adapter, wait.wait);
            }
        }
        const auto local = mimosahollow::DomainId{static_cast<std::uint32_t>(call % m_summaries.size()) + 1};
        const auto choice = routing::choosePool(views, {"", AdapterId{m_calls[call].adapter}, local}, m_random);
        return choice ? static_cast<std::uint32_t>(choice->pool) : noPool;
    }

    void acquire(std::uint32_t call)
    {
        const Call &content = m_calls[call];
        CallState &state = m_states[call];
        const std::uint32_t pool = choosePool(call);
        ++state.attempts;
        if (pool == noPool) {
            m_result.calls[call].outcome = CallResult::Outcome::Refused;
            return;
        }
        // The entry instance knows what it sent since the last summary.
        auto &adapters = m_summaries[pool].adapters;
        const auto position = std::lower_bound(adapters.begin(), adapters.end(), AdapterId{content.adapter});
        if (position == adapters.end() || *position != AdapterId{content.adapter}) {
            adapters.insert(position, AdapterId{content.adapter});
        }
        state.pool = pool;
        scheduling::AcquireRequest request;
        request.id = {1, call + 1ULL};
        request.entry = InstanceId{1};
        request.organisation = OrganisationId{content.organisation};
        request.adapter = AdapterId{content.adapter};
        request.promptTokens = content.promptTokens;
        request.maximumOutputTokens = content.outputTokens;
        request.deadline = at(content.deadline);
        scheduling::Actions actions;
        scheduling::submit(m_pools[pool], request, time(), actions);
        carryOut(pool, actions);
    }

    void retry(std::uint32_t call)
    {
        if (m_states[call].attempts < mostAttempts && m_fleet.now() < m_calls[call].deadline) {
            acquire(call);
        } else {
            m_result.calls[call].outcome = CallResult::Outcome::Failed;
        }
    }

    void giveBack(std::uint32_t call, std::uint32_t server, scheduling::ReleaseOutcome outcome, double firstTokenLatency)
    {
        CallState &state = m_states[call];
        const std::uint32_t pool = m_fleet.engines[server].domain;
        const std::uint32_t tokens = m_calls[call].promptTokens + m_calls[call].outputTokens;
        const std::uint64_t grant = state.grant;
        state.server = noPool;
        state.pool = noPool;
        scheduling::Actions actions;
        scheduling::release(m_pools[pool], {{1, call + 1ULL}, grant, 0, outcome, tokens, fromSeconds(firstTokenLatency)}, time(), actions);
        carryOut(pool, actions);
    }

    void run(const scheduling::Grant &grant)
    {
        const auto call = static_cast<std::uint32_t>(grant.id.sequence - 1);
        const std::uint32_t server = number(grant.server) - 1;
        CallState &state = m_states[call];
        state.grant = grant.grant;
        const auto &adapters = m_fleet.engines[server].adapters;
        const auto adapter = adapters.find(m_calls[call].adapter);
        const bool resident = adapter != adapters.end() && !adapter->second.loading;
        const double loadedAt = resident ? adapter->second.since : 0;
        if (!resident || !m_fleet.start(server, call)) {
            giveBack(call, server, resident ? scheduling::ReleaseOutcome::ConnectionRefused : scheduling::ReleaseOutcome::Failed, 0);
            retry(call);
            return;
        }
        state.server = server;
        if (loadedAt > m_calls[call].arrival) {
            m_result.calls[call].stall = loadedAt - m_calls[call].arrival;
        }
    }

    void refuse(const scheduling::Refusal &refusal)
    {
        const auto call = static_cast<std::uint32_t>(refusal.id.sequence - 1);
        m_states[call].pool = noPool;
        if (refusal.reason == mimosahollow::RefusalReason::NoCapacity && m_states[call].attempts < mostAttempts) {
            m_summaries[m_lastPool].inService = false;
            acquire(call);
            return;
        }
        m_result.calls[call].outcome =
            refusal.reason == mimosahollow::RefusalReason::DeadlineExceeded ? CallResult::Outcome::Late : CallResult::Outcome::Refused;
    }

    void carryOut(std::uint32_t pool, const scheduling::Actions &actions)
    {
        for (const scheduling::Action &action : actions) {
            if (const auto *grant = std::get_if<scheduling::Grant>(&action)) {
                run(*grant);
            } else if (const auto *refusal = std::get_if<scheduling::Refusal>(&action)) {
                m_lastPool = pool;
                refuse(*refusal);
            } else if (const auto *order = std::get_if<scheduling::Order>(&action)) {
                const std::uint32_t server = number(order->server) - 1;
                const bool isLoad = order->kind == scheduling::OrderKind::Load;
                isLoad ? m_fleet.load(server, number(order->adapter), order->order) : m_fleet.unload(server, number(order->adapter), order->order);
            }
        }
    }

    void orderEnded(std::uint32_t server, std::uint64_t order, bool done)
    {
        const std::uint32_t pool = m_fleet.engines[server].domain;
        const auto failure = m_fleet.engines[server].alive ? scheduling::OrderOutcome::Refused : scheduling::OrderOutcome::NotSent;
        const auto outcome = done ? scheduling::OrderOutcome::Done : failure;
        scheduling::Actions actions;
        scheduling::orderFinished(m_pools[pool], order, outcome, time(), actions);
        carryOut(pool, actions);
    }

    void expire(std::uint32_t call)
    {
        if (m_result.calls[call].outcome != CallResult::Outcome::Pending) {
            return;
        }
        m_result.calls[call].outcome = CallResult::Outcome::Late;
        const CallState state = m_states[call];
        if (state.server != noPool) {
            m_fleet.cancel(state.server, call);
            giveBack(call, state.server, scheduling::ReleaseOutcome::Cancelled, 0);
        } else if (state.pool != noPool) {
            scheduling::Actions actions;
            scheduling::cancel(m_pools[state.pool], {1, call + 1ULL}, time(), actions);
            carryOut(state.pool, actions);
        }
    }

    void changeDomain(bool leaves)
    {
        for (std::uint32_t i = 0; i < m_fleet.engines.size(); ++i) {
            if (m_fleet.engines[i].domain == changingDomain && (leaves == m_change.crash)) {
                m_fleet.crash(i); // on return: restarted while it was out
            }
        }
        if (!m_change.crash) {
            declare(changingDomain, leaves ? scheduling::ServiceState::Out : scheduling::ServiceState::InService);
        }
        for (std::uint32_t i = 0; !leaves && i < m_fleet.engines.size(); ++i) {
            if (m_fleet.engines[i].domain == changingDomain) {
                m_fleet.boot(i);
                announce(i);
            }
        }
    }

    const std::vector<Call> &m_calls;
    EngineFleet m_fleet;
    DomainChange m_change;
    std::vector<CallState> m_states;
    std::vector<scheduling::PoolState> m_pools;
    std::vector<scheduling::PoolSummary> m_summaries;
    std::mt19937_64 m_random{20261204};
    std::size_t m_turn = 0;
    std::uint32_t m_lastPool = 0;
    RunResult m_result;
};

} // namespace benchmark
