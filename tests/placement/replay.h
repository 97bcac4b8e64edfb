#pragma once

#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/dispatch/loadresults.h"
#include "mimosahollow/dispatch/versions.h"
#include "mimosahollow/placement/placement.h"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>

namespace mimosahollow::placement {

/** A leader, an entry instance and engines, without a network: orders, loads, reports and calls take the times that they take on a deployment. */
class Replay
{
public:
    struct Counts
    {
        unsigned sent = 0;
        unsigned missing = 0; /**< Sent, and answered that the adapter is missing. */
        unsigned waited = 0; /**< Calls that waited for a copy. */
        unsigned refused = 0;
        unsigned onOlder = 0; /**< Began on a version that is older than required. */
    };

    Replay(unsigned engines, Duration loadTime) : m_loadTime(loadTime)
    {
        catalog::Catalog catalog;
        catalog::EngineSpec engine;
        engine.models = {{"base", 1000, 10, seconds(2)}};
        engine.memoryMb = 1100;
        engine.adapterSlots = adapterSlots;
        engine.storeLoadsPerSecond = 30;
        catalog.services = {{"chat", 100, 0, engine}};
        entry.catalog = std::make_shared<const catalog::CatalogIndex>(std::make_shared<const catalog::Catalog>(std::move(catalog)));
        beginTerm(leader, 1, now);
        setRequiredVersions(leader, {}, now);
        for (OrderSlot &slot : leader.slots.slots) {
            slot = {"core-1", 1, {}};
        }
        for (unsigned i = 0; i < engines; ++i) {
            registry::ServerRecord record;
            record.id = "s" + std::to_string(i);
            record.service = "chat";
            record.address = record.id + ":80";
            record.slots = 12;
            record.born = 1;
            record.sequence = 1;
            placement::updateServer(leader, record, true, now);
            dispatch::updateServer(entry, record, now);
            m_engines[record.id];
        }
    }

    void call(const std::string &adapter)
    {
        dispatch::Call call;
        call.service = "chat";
        call.model = "base";
        call.adapter = adapter;
        call.arrived = now;
        call.objectiveEnd = now + seconds(1);
        call.deadline = now + seconds(5);
        m_calls.push_back({std::move(call)});
    }

    void require(const std::string &adapter, std::uint64_t version)
    {
        m_versions["base/" + adapter] = version;
        setRequiredVersions(leader, m_versions, now);
        dispatch::setRequiredVersions(entry, m_versions, true, now);
        m_requiredSince[adapter] = now;
    }

    /** Unloads a copy in a way that neither the leader nor the entry instance knows of. */
    void evict(const std::string &adapter)
    {
        for (auto &[id, engine] : m_engines) {
            engine.copies.erase(adapter);
        }
    }

    void step()
    {
        now += milliseconds(1);
        recordCredit(leader.slots, "core-1", now);
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        serveCalls();
        if (now - m_lastReport >= milliseconds(150) || (m_isReportUrgent && now - m_lastReport >= milliseconds(8))) {
            report();
        }
        for (const std::string &id : takeDueReports(leader, now)) {
            applyReport(leader, id, 1, stateOf(id), now);
            publish(id);
        }
        if ((now - TimePoint{}) % milliseconds(8) == Duration{}) {
            for (const ModelOrder &order : planOrders(leader, *entry.catalog, now)) {
                m_events.emplace(now + orderTransit, [this, order] {
                    execute(order);
                });
            }
        }
    }

    [[nodiscard]] bool wasOverfilled() const noexcept
    {
        return m_overfilled;
    }

    PlacementState leader;
    dispatch::DispatchState entry;
    TimePoint now{seconds(100)};
    Counts counts;
    Duration longestOnOlder{}; /**< Between a new version and a call that began on an older one. */

private:
    static constexpr unsigned adapterSlots = 8;
    static constexpr Duration orderTransit = milliseconds(2);

    struct EngineCopy
    {
        std::uint64_t version = 0;
        TimePoint readyAt{};
    };
    struct Engine
    {
        std::uint64_t sequence = 0;
        std::map<std::string, EngineCopy> copies;
        std::set<std::pair<std::string, std::uint64_t>> hostMemory;
    };
    struct PendingCall
    {
        dispatch::Call call;
        bool hasWaited = false;
    };

    void execute(const ModelOrder &order)
    {
        Engine &engine = m_engines[order.server];
        OrderOutcome outcome = OrderOutcome::Conflict;
        if (order.expectedSequence == engine.sequence) {
            ++engine.sequence;
            outcome = order.kind == OrderKind::Load ? OrderOutcome::Accepted : OrderOutcome::AlreadyDone;
            if (order.kind == OrderKind::Load) {
                const std::uint64_t version = std::max<std::uint64_t>(1, order.version);
                const bool isCached = !engine.hostMemory.emplace(order.adapter, version).second;
                engine.copies[order.adapter] = {version, now + (isCached ? m_loadTime / 10 : m_loadTime)};
                m_overfilled = m_overfilled || engine.copies.size() > adapterSlots;
            } else {
                engine.copies.erase(order.adapter);
            }
        }
        m_events.emplace(now + orderTransit, [this, order, outcome] {
            applyOrderReply(leader, order, outcome, now);
            publish(order.server);
        });
    }

    void publish(const std::string &id)
    {
        fleetlink::ServerPlacement placed{id, 1, {}};
        for (const auto &[key, copy] : leader.engines.at(id).adapters) {
            if (copy.isConfirmed && !copy.isUnloading) {
                const auto left = std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(copy.readyAt - now).count());
                placed.adapters.push_back({key.model, key.adapter, copy.version, static_cast<unsigned>(left)});
            }
        }
        m_events.emplace(now + milliseconds(2), [this, update = fleetlink::PlacementUpdate{1, {placed}, ++m_updates}] {
            dispatch::applyPlacement(entry, update, now);
        });
    }

    [[nodiscard]] ModelReport stateOf(const std::string &id) const
    {
        const Engine &engine = m_engines.at(id);
        ModelReport report;
        report.sequence = engine.sequence;
        report.copies.push_back({"base", {}, 1, false});
        for (const auto &[adapter, copy] : engine.copies) {
            report.copies.push_back({"base", adapter, copy.version, copy.readyAt > now});
        }
        return report;
    }

    void serveCalls()
    {
        for (auto pending = m_calls.begin(); pending != m_calls.end();) {
            const dispatch::Decision decision = dispatch::decide(entry, pending->call, now);
            if (const auto *send = std::get_if<dispatch::Send>(&decision); send != nullptr) {
                pending = answer(*send, pending->call) ? m_calls.erase(pending) : std::next(pending);
            } else if (std::holds_alternative<dispatch::Refuse>(decision)) {
                ++counts.refused;
                pending = m_calls.erase(pending);
            } else {
                counts.waited += pending->hasWaited ? 0 : 1;
                m_isReportUrgent = m_isReportUrgent || !pending->hasWaited;
                pending->hasWaited = true;
                ++pending;
            }
        }
    }

    bool answer(const dispatch::Send &send, const dispatch::Call &call)
    {
        ++counts.sent;
        const auto &copies = m_engines.at(send.server).copies;
        const auto copy = copies.find(call.adapter);
        const bool isFound = copy != copies.end() && copy->second.readyAt <= now && (send.adapterVersion == 0 || send.adapterVersion == copy->second.version);
        dispatch::recordLoadResult(entry, send.server, call, isFound, now);
        if (!isFound) {
            ++counts.missing;
            dispatch::handleMissingModel(entry, send.server, call, now);
            return false;
        }
        if (const auto required = m_versions.find("base/" + call.adapter); required != m_versions.end() && copy->second.version < required->second) {
            ++counts.onOlder;
            longestOnOlder = std::max(longestOnOlder, now - m_requiredSince.at(call.adapter));
        }
        ++m_started[call.adapter];
        return true;
    }

    [[nodiscard]] bool hasWaiting(const std::string &adapter) const
    {
        const auto known = leader.demand.find({"base", adapter});
        return known != leader.demand.end() && !known->second.waiting.empty();
    }

    void report()
    {
        m_lastReport = now;
        m_isReportUrgent = false;
        recordLoadResults(leader.loadTime, std::exchange(entry.loadResults, {}), now);
        std::map<std::string, EntryDemand> demand;
        for (const auto &[key, known] : leader.demand) {
            demand[key.adapter];
        }
        for (const auto &[adapter, started] : std::exchange(m_started, {})) {
            demand[adapter].started = started;
        }
        for (const PendingCall &pending : m_calls) {
            ++demand[pending.call.adapter].waiting;
            ++demand[pending.call.adapter].inTime;
        }
        for (const auto &[adapter, calls] : demand) {
            if (calls.started > 0 || calls.waiting > 0 || hasWaiting(adapter)) {
                recordDemand(leader, "entry-1", {"base", adapter}, "chat", calls, now);
            }
        }
        for (const auto &[id, server] : entry.servers) {
            if (now < server.suspectUntil) {
                suspect(leader, id, now);
            }
        }
    }

    Duration m_loadTime;
    std::map<std::string, Engine> m_engines;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::list<PendingCall> m_calls;
    std::map<std::string, unsigned> m_started;
    std::map<std::string, std::uint64_t> m_versions;
    std::map<std::string, TimePoint> m_requiredSince;
    TimePoint m_lastReport{};
    bool m_isReportUrgent = false;
    std::uint64_t m_updates = 0;
    bool m_overfilled = false;
};

} // namespace mimosahollow::placement
