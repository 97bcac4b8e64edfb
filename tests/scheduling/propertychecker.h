#pragma once

#include "mimosahollow/scheduling/pool.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosahollow::scheduling::testing {

/**
 * Independent model of servers and requests that checks every action against the properties of the pool:
 * P1: a request runs only on a server where its adapter is resident.
 * P2: no adapter is unloaded while requests use it or wait for it.
 * P7: a server never runs more requests than its slow-start limit.
 * P8, P12: servers and failure domains that are out of service get no new work.
 * Shares no state with the scheduling code.
 */
class PropertyChecker
{
public:
    struct Server
    {
        ServiceState declared = ServiceState::Out;
        bool leaving = false;
        std::uint32_t slots = 0;
        std::uint32_t coldLimit = 1;
        std::uint32_t limit = 1; /**< Slow-start limit. */
        std::uint32_t goodResponses = 0;
        std::uint32_t epoch = 0;
        bool hasBaseline = false; /**< The current owner has measured the latency of the server. */
        std::set<AdapterId> adapters; /**< Resident according to order results. */
    };

    struct Running
    {
        AcquireRequest request;
        Grant grant;
        std::uint32_t epoch = 0;
        bool unknown = false; /**< Granted by an earlier owner and not reported to the current one. */
    };

    std::string violation; /**< First violated property; empty: none. */
    ServiceState domain = ServiceState::InService;
    std::map<ServerId, Server> servers;
    std::map<RequestId, AcquireRequest> waiting;
    std::map<RequestId, Running> running;
    std::map<std::uint64_t, Order> orders; /**< In flight. */

    void submitted(const AcquireRequest &request)
    {
        waiting[request.id] = request;
    }

    void restarted(ServerId id)
    {
        Server &server = servers[id];
        server.adapters.clear();
        resetLimit(server);
    }

    /** @p good: complete response without excess latency; @p cold: outcome that shows a cold server. */
    void callEnded(const Running &call, bool good, bool cold)
    {
        Server &server = servers[call.grant.server];
        server.hasBaseline = server.hasBaseline || (call.epoch == server.epoch && good);
        if (call.epoch == server.epoch && cold) {
            resetLimit(server);
        } else if (call.epoch == server.epoch && good && server.limit < server.slots && ++server.goodResponses >= server.limit) {
            server.limit = std::min(server.limit * 2, server.slots);
            server.goodResponses = 0;
        }
        running.erase(call.request.id);
    }

    void orderEnded(std::uint64_t number, OrderOutcome outcome)
    {
        const auto found = orders.find(number);
        Server &server = servers[found->second.server];
        if (outcome == OrderOutcome::Done && found->second.kind == OrderKind::Load) {
            server.adapters.insert(found->second.adapter);
        }
        orders.erase(found);
    }

    void expire(TimePoint now)
    {
        std::erase_if(running, [now](const auto &entry) {
            return entry.second.request.deadline <= now;
        });
    }

    void ownerReplaced()
    {
        waiting.clear(); // entry instances submit them again to the new owner
        orders.clear();
        for (auto &[id, call] : running) {
            call.unknown = true;
        }
    }

    void check(const Actions &actions)
    {
        for (const Action &action : actions) {
            std::visit(
                [this](const auto &content) {
                    checkAction(content);
                },
                action);
        }
    }

    [[nodiscard]] bool isInService(ServerId id) const
    {
        const auto found = servers.find(id);
        return domain == ServiceState::InService && found != servers.end() && found->second.declared == ServiceState::InService && !found->second.leaving;
    }

private:
    void require(bool holds, const char *property)
    {
        if (!holds && violation.empty()) {
            violation = property;
        }
    }

    static void resetLimit(Server &server)
    {
        server.limit = std::min(server.coldLimit, server.slots);
        server.goodResponses = 0;
        ++server.epoch;
    }

    [[nodiscard]] std::size_t inUse(ServerId server, AdapterId adapter) const
    {
        return static_cast<std::size_t>(std::count_if(running.begin(), running.end(), [&](const auto &entry) {
            return entry.second.grant.server == server && (number(adapter) == 0 || entry.second.request.adapter == adapter);
        }));
    }

    void checkAction(const Grant &grant)
    {
        const auto request = waiting.find(grant.id);
        require(request != waiting.end(), "a request is answered once");
        if (request == waiting.end()) {
            return;
        }
        const Server &server = servers[grant.server];
        require(grant.adapter == request->second.adapter, "P1");
        require(number(grant.adapter) == 0 || server.adapters.contains(grant.adapter), "P1");
        require(isInService(grant.server), "P8 or P12");
        running[grant.id] = {request->second, grant, server.epoch, false};
        waiting.erase(request);
        require(inUse(grant.server, AdapterId{}) <= server.limit, "P7");
    }

    void checkAction(const Refusal &refusal)
    {
        require(waiting.erase(refusal.id) == 1, "a request is answered once");
    }

    void checkAction(const Order &order)
    {
        orders[order.order] = order;
        if (order.kind == OrderKind::Load) {
            require(isInService(order.server), "P8 or P12");
            return;
        }
        require(inUse(order.server, order.adapter) == 0, "P2");
        require(std::none_of(waiting.begin(),
                             waiting.end(),
                             [&](const auto &entry) {
                                 return entry.second.adapter == order.adapter;
                             }),
                "P2");
        servers[order.server].adapters.erase(order.adapter);
    }

    void checkAction(const DecisionRecord &)
    {
    }
};

} // namespace mimosahollow::scheduling::testing
