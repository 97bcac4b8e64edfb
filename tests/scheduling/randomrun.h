#pragma once

#include "propertychecker.h"

#include <array>
#include <functional>

namespace mimosahollow::scheduling::testing {

/** Event of a random run: kind and three operands. */
using RandomEvent = std::array<std::uint8_t, 4>;

/** Applies events to a pool and to the property checker. */
class RandomRun
{
public:
    static constexpr std::uint32_t serverCount = 3;
    static constexpr std::uint32_t adapterCount = 6;
    static constexpr std::uint32_t slots = 4;
    static constexpr std::uint32_t adapterSlots = 2;

    /** @p injectFault is called after each event and may corrupt the state to verify the checker. */
    explicit RandomRun(std::function<void(PoolState &)> injectFault = {})
        : m_injectFault(std::move(injectFault)), m_state(makePool(PoolId{1}, settings(), m_now))
    {
        m_state.fencing = 1;
        for (std::uint32_t i = 1; i <= serverCount; ++i) {
            checker.servers[ServerId{i}] = {ServiceState::InService, false, slots, 1, 1, 0, 0, false, {}};
        }
        declare();
        for (std::uint32_t i = 1; i <= serverCount; ++i) {
            announce(ServerId{i});
        }
    }

    /** Runs until the end or the first violation. */
    void run(const std::vector<RandomEvent> &events)
    {
        for (const RandomEvent &event : events) {
            m_actions.clear();
            apply(event);
            if (m_injectFault) {
                m_injectFault(m_state);
            }
            if (!checker.violation.empty()) {
                return;
            }
        }
    }

    PropertyChecker checker;
    std::size_t grants = 0;
    std::size_t unloads = 0;

private:
    static SchedulingSettings settings()
    {
        SchedulingSettings small;
        small.expectedAdapters = adapterCount;
        small.expectedRequests = 64;
        return small;
    }

    void apply(const RandomEvent &event)
    {
        const ServerId server{1U + event[1] % serverCount};
        const int kind = event[0] % 16;
        if (kind < 4) {
            submitRequest(event);
        } else if (kind < 7) {
            returnGrant(event);
        } else if (kind < 10) {
            finishOrder(event);
        } else if (kind == 10) {
            advance(milliseconds(10 * (1 + event[1])));
        } else if (kind == 11) {
            report(server);
        } else if (kind == 12) {
            restart(server, event[2] % 2 == 0);
        } else if (kind == 13) {
            changeDeclaration(server, event);
        } else if (kind == 14) {
            cancelOne(event);
        } else {
            applyRareEvent(event);
        }
    }

    void applyRareEvent(const RandomEvent &event)
    {
        switch (event[1] % 8) {
        case 0:
            changeOwner();
            break;
        case 1:
        case 2:
            reconcile(InstanceId{2});
            break;
        default:
            grantTokens(event);
            break;
        }
    }

    void check()
    {
        for (const Action &action : m_actions) {
            grants += std::holds_alternative<Grant>(action) ? 1 : 0;
            const auto *order = std::get_if<Order>(&action);
            unloads += order != nullptr && order->kind == OrderKind::Unload ? 1 : 0;
        }
        checker.check(m_actions);
        m_actions.clear();
    }

    void submitRequest(const RandomEvent &event)
    {
        AcquireRequest request;
        request.id = {1, ++m_sequence};
        request.entry = InstanceId{1U + event[3] % 2};
        request.organisation = OrganisationId{1U + event[1] % 3U};
        request.adapter = AdapterId{event[2] % (adapterCount + 1U)};
        request.maximumOutputTokens = event[3];
        request.deadline = m_now + milliseconds(200) * (1 + event[3]);
        checker.submitted(request);
        submit(m_state, request, m_now, m_actions);
        check();
    }

    void returnGrant(const RandomEvent &event)
    {
        if (checker.running.empty()) {
            return;
        }
        const PropertyChecker::Running call = std::next(checker.running.begin(), event[1] % static_cast<std::ptrdiff_t>(checker.running.size()))->second;
        constexpr ReleaseOutcome outcomes[] = {ReleaseOutcome::Completed,
                                               ReleaseOutcome::Completed,
                                               ReleaseOutcome::Completed,
                                               ReleaseOutcome::Completed,
                                               ReleaseOutcome::Cancelled,
                                               ReleaseOutcome::ConnectionReset};
        const ReleaseOutcome outcome = outcomes[event[2] % std::size(outcomes)];
        const bool completed = outcome == ReleaseOutcome::Completed;
        const bool slow = completed && event[3] % 32 == 0 && checker.servers[call.grant.server].hasBaseline; // far above 4 x the baseline
        // Releases of grants unknown to the owner do not change its slow-start state.
        checker.callEnded(call, completed && !slow && !call.unknown, (slow || outcome == ReleaseOutcome::ConnectionReset) && !call.unknown);
        const Duration latency = slow ? seconds(60) : milliseconds(50);
        scheduling::release(m_state, {call.request.id, call.grant.grant, call.grant.fencing, outcome, 10, completed ? latency : Duration{}}, m_now, m_actions);
        check();
    }

    void finishOrder(const RandomEvent &event)
    {
        if (checker.orders.empty()) {
            return;
        }
        const std::uint64_t order = std::next(checker.orders.begin(), event[1] % static_cast<std::ptrdiff_t>(checker.orders.size()))->first;
        constexpr OrderOutcome outcomes[] = {OrderOutcome::Done,
                                             OrderOutcome::Done,
                                             OrderOutcome::Done,
                                             OrderOutcome::Done,
                                             OrderOutcome::Refused,
                                             OrderOutcome::NotSent,
                                             OrderOutcome::Unknown,
                                             OrderOutcome::StaleFencing};
        const OrderOutcome outcome = outcomes[event[2] % std::size(outcomes)];
        const Order finished = checker.orders.at(order);
        checker.orderEnded(order, outcome);
        if (finished.kind == OrderKind::Unload && outcome != OrderOutcome::Done) {
            checker.servers[finished.server].adapters.insert(finished.adapter); // not unloaded
        }
        orderFinished(m_state, order, outcome, m_now, m_actions);
        check();
    }

    void advance(Duration duration)
    {
        m_now += duration;
        checker.expire(m_now);
        tick(m_state, m_now, m_actions);
        check();
    }

    [[nodiscard]] std::vector<AdapterId> resident(ServerId server) const
    {
        const auto &adapters = checker.servers.at(server).adapters;
        return {adapters.begin(), adapters.end()};
    }

    void report(ServerId server)
    {
        std::uint32_t running = 0;
        for (const auto &[id, call] : checker.running) {
            running += call.grant.server == server ? 1 : 0;
        }
        applyReport(m_state, {server, m_incarnations[number(server)], running, 0, resident(server)}, m_now, m_actions);
        check();
    }

    void restart(ServerId server, bool leaves)
    {
        ++m_incarnations[number(server)];
        checker.servers[server].leaving = leaves && m_incarnations[number(server)] % 4 == 0;
        // Orders to the earlier process have no effect.
        std::erase_if(checker.orders, [server](const auto &entry) {
            return entry.second.server == server;
        });
        checker.restarted(server);
        announce(server);
    }

    void announce(ServerId server)
    {
        const PropertyChecker::Server &known = checker.servers[server];
        announceServer(
            m_state, {server, m_incarnations[number(server)], slots, adapterSlots, known.coldLimit, true, known.leaving, resident(server)}, m_now, m_actions);
        check();
    }

    void declare()
    {
        PoolDeclaration declaration{checker.domain, {}};
        for (const auto &[id, server] : checker.servers) {
            declaration.servers.push_back({id, server.declared});
        }
        setDeclaration(m_state, declaration, m_now, m_actions);
        check();
    }

    void changeDeclaration(ServerId server, const RandomEvent &event)
    {
        constexpr ServiceState states[] = {ServiceState::InService, ServiceState::InService, ServiceState::Out, ServiceState::Leaving};
        checker.servers[server].declared = states[event[2] % std::size(states)];
        checker.domain = event[3] % 8 == 0 ? ServiceState::Out : ServiceState::InService;
        declare();
    }

    void cancelOne(const RandomEvent &event)
    {
        if (!checker.waiting.empty()) {
            const RequestId id = std::next(checker.waiting.begin(), event[1] % static_cast<std::ptrdiff_t>(checker.waiting.size()))->first;
            checker.waiting.erase(id);
            cancel(m_state, id, m_now, m_actions);
            check();
        }
    }

    void grantTokens(const RandomEvent &event)
    {
        grantLoadTokens(m_state, 1 + event[2] % 3, m_now, m_actions);
        check();
    }

    /** Replaces the owner without a handover: the new one knows only what servers and entry instances report. */
    void changeOwner()
    {
        checker.ownerReplaced();
        const std::uint64_t orders = m_state.nextOrder;
        const FencingNumber fencing = m_state.fencing + 1;
        m_state = makePool(PoolId{1}, settings(), m_now);
        m_state.nextOrder = orders; // results of earlier orders do not arrive at the new owner
        // After 52 s every request of the earlier owner has expired: submitRequest() sets deadlines of at most 51.2 s.
        takeOver(m_state, {fencing, {InstanceId{1}, InstanceId{2}}, m_now + seconds(52), m_now}, m_now);
        for (auto &[id, server] : checker.servers) {
            // The new owner starts with cold limits and without baselines. Orders in flight may have taken effect; the servers list their
            // adapters.
            server.limit = std::min(server.coldLimit, server.slots);
            server.goodResponses = 0;
            ++server.epoch;
            server.hasBaseline = false;
        }
        declare();
        for (const auto &[id, server] : checker.servers) {
            announce(id);
        }
        reconcile(InstanceId{1});
    }

    void reconcile(InstanceId instance)
    {
        GrantReport report{instance, {}};
        for (auto &[id, call] : checker.running) {
            if (call.unknown && call.request.entry == instance) {
                report.grants.push_back(
                    {id, call.grant.grant, call.grant.fencing, call.grant.server, call.request.organisation, call.request.adapter, 10, call.request.deadline});
                call.unknown = false;
                call.epoch = checker.servers[call.grant.server].epoch;
            }
        }
        reconcileGrants(m_state, report, m_now, m_actions);
        check();
    }

    std::function<void(PoolState &)> m_injectFault;
    TimePoint m_now{seconds(1000)};
    PoolState m_state;
    Actions m_actions;
    std::uint64_t m_sequence = 0;
    std::array<std::uint64_t, serverCount + 1> m_incarnations{};
};

} // namespace mimosahollow::scheduling::testing
