#pragma once

#include "mimosahollow/scheduling/pool.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace mimosahollow::scheduling::testing {

/** A pool with a manual clock; actions holds the actions of the last event. */
struct PoolFixture
{
    explicit PoolFixture(std::uint32_t serverCount, std::uint32_t slots = 4, std::uint32_t adapterSlots = 2, std::uint32_t coldLimit = 4)
        : slots(slots), adapterSlots(adapterSlots), coldLimit(coldLimit), state(makePool(PoolId{1}, settings(), now))
    {
        state.fencing = 5;
        declare(serverCount, ServiceState::InService);
        for (std::uint32_t i = 1; i <= serverCount; ++i) {
            announce(i, 1);
        }
        state.loadTokens = 100;
    }

    static SchedulingSettings settings()
    {
        SchedulingSettings small;
        small.expectedAdapters = 100;
        small.expectedRequests = 64;
        return small;
    }

    void declare(std::uint32_t count, ServiceState service, ServiceState domain = ServiceState::InService)
    {
        PoolDeclaration declaration;
        declaration.domainState = domain;
        for (std::uint32_t i = 1; i <= count; ++i) {
            declaration.servers.push_back({ServerId{i}, service});
        }
        actions.clear();
        setDeclaration(state, declaration, now, actions);
    }

    void announce(std::uint32_t server, std::uint64_t incarnation, std::vector<AdapterId> resident = {}, bool leaving = false)
    {
        ServerAnnouncement announcement{ServerId{server}, incarnation, slots, adapterSlots, coldLimit, checksFencing, leaving, std::move(resident)};
        actions.clear();
        announceServer(state, announcement, now, actions);
    }

    void report(std::uint32_t server, std::uint32_t running, std::vector<AdapterId> resident, std::uint64_t incarnation = 1)
    {
        actions.clear();
        applyReport(state, {ServerId{server}, incarnation, running, 0, std::move(resident)}, now, actions);
    }

    RequestId submitRequest(std::uint32_t adapter, std::uint32_t organisation = 1, std::uint32_t outputTokens = 100, Duration timeout = seconds(30))
    {
        AcquireRequest request;
        request.id = {7, ++sequence};
        request.entry = InstanceId{1};
        request.organisation = OrganisationId{organisation};
        request.adapter = AdapterId{adapter};
        request.promptTokens = 100;
        request.maximumOutputTokens = outputTokens;
        request.prefixHash = prefix;
        request.promptParts = promptParts;
        request.deadline = now + timeout;
        actions.clear();
        submit(state, request, now, actions);
        return request.id;
    }

    void returnGrant(const Grant &grant, ReleaseOutcome outcome = ReleaseOutcome::Completed, Duration latency = milliseconds(50))
    {
        actions.clear();
        scheduling::release(state, {grant.id, grant.grant, grant.fencing, outcome, 150, latency}, now, actions);
    }

    void finish(const Order &order, OrderOutcome outcome = OrderOutcome::Done)
    {
        actions.clear();
        orderFinished(state, order.order, outcome, now, actions);
    }

    void advance(Duration duration)
    {
        now += duration;
        actions.clear();
        tick(state, now, actions);
    }

    /** Advances time while the servers report their resident adapters every second. Element 0 of @p resident is server 1. */
    void advanceWithReports(Duration duration, const std::vector<std::vector<AdapterId>> &resident)
    {
        const TimePoint end = now + duration;
        while (now < end) {
            now += std::min<Duration>(end - now, seconds(1));
            for (std::uint32_t i = 0; i < resident.size(); ++i) {
                report(i + 1, 0, resident[i]);
            }
        }
        advance(Duration{});
    }

    template<typename Kind>
    [[nodiscard]] std::vector<Kind> all() const
    {
        std::vector<Kind> found;
        for (const Action &action : actions) {
            if (const auto *kind = std::get_if<Kind>(&action)) {
                found.push_back(*kind);
            }
        }
        return found;
    }

    template<typename Kind>
    [[nodiscard]] std::optional<Kind> only() const
    {
        const std::vector<Kind> found = all<Kind>();
        return found.size() == 1 ? std::optional<Kind>(found.front()) : std::nullopt;
    }

    /** Loads the adapter for a request whose grant is returned at once. Returns the server. */
    ServerId loadAdapter(std::uint32_t adapter)
    {
        submitRequest(adapter);
        while (const auto order = only<Order>()) {
            finish(*order);
        }
        const auto granted = only<Grant>().value();
        returnGrant(granted);
        return granted.server;
    }

    std::uint32_t slots;
    std::uint32_t adapterSlots;
    std::uint32_t coldLimit;
    bool checksFencing = true;
    std::uint64_t prefix = 0;
    std::vector<std::uint64_t> promptParts; /**< Of the next requests. */
    std::uint64_t sequence = 0;
    TimePoint now{seconds(1000)};
    Actions actions;
    PoolState state;
};

} // namespace mimosahollow::scheduling::testing
