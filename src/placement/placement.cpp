#include "mimosahollow/placement/placement.h"

#include "internal.h"

#include <algorithm>

namespace mimosahollow::placement {

namespace {

// Limits of what a pace changes: a single wrong measurement must neither draw all adapters to an engine nor keep all away.
constexpr double fastestPace = 0.5;
constexpr double slowestPace = 4;

/** Discards what is known of an engine whose incarnation or address has changed. */
void resetEngine(EngineState &engine, TimePoint now)
{
    engine.hasReport = false;
    engine.sequence.reset();
    engine.baseModels.clear();
    engine.loadingModels.clear();
    engine.adapters.clear();
    engine.hostCache.clear();
    engine.orderInFlight = false;
    engine.reportInFlight = false;
    engine.unresolvedOrder.reset();
    engine.isReplaced = false;
    engine.reportDue = now;
    engine.pausedUntil = now;
}

/**
 * Marks an engine at whose address another incarnation answers although the end of the known one was not announced. It gets no orders
 * until the new incarnation is announced.
 */
void markReplaced(EngineState &engine)
{
    engine.isReplaced = true;
    engine.baseModels.clear();
    engine.adapters.clear();
    engine.unresolvedOrder.reset();
}

/** Replaces the known models and adapters of @p engine by those in @p report. */
void replaceState(PlacementState &state, EngineState &engine, const ModelReport &report, TimePoint now)
{
    std::map<AdapterKey, AdapterCopy> adapters;
    engine.baseModels.clear();
    if (!report.isBusy) {
        // A report names weights only once they are loaded. Without the entry, a second load would be ordered meanwhile.
        engine.loadingModels.clear();
    }
    for (const ModelReport::Copy &copy : report.copies) {
        if (copy.adapter.empty()) {
            engine.baseModels.insert(copy.model);
            engine.loadingModels.erase(copy.model);
            continue;
        }
        const AdapterKey key{copy.model, copy.adapter};
        AdapterCopy known;
        if (const auto found = engine.adapters.find(key); found != engine.adapters.end()) {
            known = found->second;
        }
        known.version = copy.version;
        known.isConfirmed = true;
        known.readyAt = copy.isLoading ? std::max(known.readyAt, now + state.loadTime.value / 2) : std::min(known.readyAt, now);
        adapters[key] = known;
        touchHostCache(engine, key, copy.version);
    }
    engine.adapters = std::move(adapters);
    engine.sequence = report.sequence;
    engine.hasReport = true;
}

} // namespace

void touchHostCache(EngineState &engine, const AdapterKey &key, std::uint64_t version)
{
    engine.hostCache[key] = {++engine.hostCacheClock, version};
    if (engine.hostCacheSize > 0 && engine.hostCache.size() > engine.hostCacheSize) {
        engine.hostCache.erase(std::min_element(engine.hostCache.begin(), engine.hostCache.end(), [](const auto &left, const auto &right) {
            return left.second.lastUse < right.second.lastUse;
        }));
    }
}

void beginTerm(PlacementState &state, std::uint64_t term, TimePoint now)
{
    PlacementState fresh;
    fresh.options = state.options;
    fresh.slots.options = state.slots.options;
    fresh.slots.termStart = now;
    fresh.term = term;
    state = std::move(fresh);
}

void updateServer(PlacementState &state, const registry::ServerRecord &record, bool isUsable, TimePoint now)
{
    if (record.state == registry::ServerState::Gone) {
        if (const auto found = state.engines.find(record.id); found != state.engines.end() && found->second.born <= record.born) {
            state.engines.erase(found);
        }
        return;
    }
    EngineState &engine = state.engines[record.id];
    if (engine.born > record.born) {
        return;
    }
    if (engine.born != record.born || engine.address != record.address) {
        resetEngine(engine, now);
        state.changedEngines.insert(record.id);
    }
    engine.born = record.born;
    engine.service = record.service;
    engine.domain = record.domain;
    engine.slots = std::max(1U, record.slots);
    engine.address = record.address;
    engine.isReady = isUsable && record.state == registry::ServerState::Ready;
}

void setLimitedEngines(PlacementState &state, const std::set<std::string> &engines)
{
    for (auto &[id, engine] : state.engines) {
        engine.isLimited = engines.contains(id);
    }
}

void setEnginePaces(PlacementState &state, const std::map<std::string, double> &paces)
{
    for (auto &[id, engine] : state.engines) {
        const auto pace = paces.find(id);
        engine.pace = pace == paces.end() ? 1 : std::clamp(pace->second, fastestPace, slowestPace);
    }
}

void markUnreachable(PlacementState &state, const std::string &server, TimePoint now)
{
    if (const auto found = state.engines.find(server); found != state.engines.end()) {
        found->second.unreachableUntil = now + state.options.unreachablePeriod;
    }
}

void suspect(PlacementState &state, const std::string &server, TimePoint now)
{
    const auto found = state.engines.find(server);
    if (found != state.engines.end() && now - found->second.lastReport > state.options.reportLag) {
        found->second.reportDue = std::min(found->second.reportDue, now);
    }
}

Duration expectedLoadTime(const PlacementState &state, TimePoint now)
{
    std::size_t queued = 0;
    for (const auto &[key, demand] : state.demand) {
        const bool hasWaitingCalls = std::any_of(demand.waiting.begin(), demand.waiting.end(), [&state, now](const auto &item) {
            return item.second.inTime > 0 && now - item.second.reported <= state.loadTime.value;
        });
        const bool isQueued = hasWaitingCalls && std::none_of(state.engines.begin(), state.engines.end(), [&key = key](const auto &item) {
                                  return item.second.adapters.contains(key);
                              });
        queued += isQueued ? 1 : 0;
    }
    const auto rounds = static_cast<Duration::rep>(queued / std::max(1U, state.storeTransferLimit) + 1);
    return rounds * state.loadTime.value;
}

void recordDemand(PlacementState &state, std::string_view entry, const AdapterKey &key, const std::string &service, const EntryDemand &counts, TimePoint now)
{
    DemandState &demand = state.demand[key];
    demand.service = service;
    recordEvents(demand.calls, counts.started, state.options.demandTimeConstant, now);
    if (counts.waiting == 0) {
        demand.waiting.erase(std::string(entry));
    } else {
        if (demand.waiting.empty()) {
            demand.waitingSince = now;
        }
        demand.waiting[std::string(entry)] = {counts.waiting, counts.inTime, now};
    }
    if (counts.running == 0) {
        demand.running.erase(std::string(entry));
    } else {
        demand.running[std::string(entry)] = counts.running;
    }
    if (counts.started > 0) {
        state.startedCalls[key] = now;
    }
}

void setEntryDomain(PlacementState &state, const std::string &entry, const std::string &domain)
{
    state.entryDomains[entry] = domain;
}

void removeEntry(PlacementState &state, std::string_view entry)
{
    state.entryDomains.erase(std::string(entry));
    for (auto &[key, demand] : state.demand) {
        demand.waiting.erase(std::string(entry));
        demand.running.erase(std::string(entry));
    }
}

std::vector<std::string> takeDueReports(PlacementState &state, TimePoint now)
{
    std::vector<std::string> due;
    for (auto &[id, engine] : state.engines) {
        if (!engine.reportInFlight && !engine.orderInFlight && !engine.isReplaced && now >= engine.reportDue) {
            engine.reportInFlight = true;
            due.push_back(id);
        }
    }
    return due;
}

void applyReport(PlacementState &state, const std::string &server, std::uint64_t born, const ModelReport &report, TimePoint now)
{
    const auto found = state.engines.find(server);
    if (found == state.engines.end() || found->second.born != born) {
        return;
    }
    EngineState &engine = found->second;
    engine.reportInFlight = false;
    engine.lastReport = now;
    if (report.born != 0 && report.born != born) {
        markReplaced(engine);
        state.changedEngines.insert(server);
        return;
    }
    engine.reportDue = now + state.options.reportInterval;
    if (engine.unresolvedOrder && report.sequence < engine.unresolvedOrder->expectedSequence && now - engine.lastOrder < state.options.lateOrderTime) {
        // Its number is too high, since an unload that it followed had no effect. It would still be executed once the engine has accepted another
        // order, into a slot that may have been given away by then, so that the engine gets none before.
        engine.reportDue = now + state.options.failedReportInterval;
        return;
    }
    if (engine.unresolvedOrder) {
        if (report.sequence <= engine.unresolvedOrder->expectedSequence && now - engine.lastOrder < state.options.reportLag) {
            engine.reportDue = engine.lastOrder + state.options.reportLag;
            return;
        }
        // Not executed yet. The order is planned again with the same sequence, so that the engine executes only one of the two.
        if (report.sequence == engine.unresolvedOrder->expectedSequence) {
            engine.sequence = report.sequence;
            engine.unresolvedOrder.reset();
            return;
        }
        engine.unresolvedOrder.reset();
    } else if (engine.sequence) {
        if (report.sequence < *engine.sequence) {
            return;
        }
        if (report.sequence == *engine.sequence && now - engine.lastOrder < state.options.reportLag) {
            return;
        }
    }
    replaceState(state, engine, report, now);
    const bool anyUnloading = std::any_of(engine.adapters.begin(), engine.adapters.end(), [](const auto &item) {
        return item.second.isUnloading;
    });
    engine.reportDue = now + (anyUnloading ? state.options.unloadingReportInterval : state.options.reportInterval);
    state.changedEngines.insert(server);
}

void handleReportFailure(PlacementState &state, const std::string &server, TimePoint now)
{
    if (const auto found = state.engines.find(server); found != state.engines.end()) {
        EngineState &engine = found->second;
        engine.reportInFlight = false;
        engine.lastReport = now;
        engine.reportDue = now + state.options.failedReportInterval;
        // Load pattern: engines crash under load, and their announcements are missed seconds later only. Until then, calls would wait for
        // copies there while no other engine loads them.
        engine.unreachableUntil = std::max(engine.unreachableUntil, now + state.options.unreachablePeriod);
    }
}

void applyOrderReply(PlacementState &state, const ModelOrder &order, OrderOutcome outcome, TimePoint now)
{
    const auto found = state.engines.find(order.server);
    if (found == state.engines.end() || found->second.born != order.born) {
        return;
    }
    EngineState &engine = found->second;
    engine.orderInFlight = false;
    const AdapterKey key{order.model, order.adapter};
    switch (outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::AlreadyDone: {
        const auto known = engine.adapters.find(key);
        const bool unloadsCopy =
            order.kind == OrderKind::Unload && known != engine.adapters.end() && known->second.isConfirmed && !known->second.mayBeUnloading;
        if (engine.sequence && (outcome == OrderOutcome::Accepted || unloadsCopy)) {
            engine.sequence = *engine.sequence + 1;
        } else {
            // An order without effect may not count. An order with a number that the engine has not reached yet, left unanswered, would be
            // carried out once it is reached, seconds later and into a slot that has been given to another adapter.
            engine.sequence.reset();
            engine.reportDue = now + state.options.reportLag;
        }
        if (order.kind == OrderKind::Unload && outcome == OrderOutcome::Accepted) {
            // The unload waits for running calls; until then the adapter occupies its slot and refuses new calls.
            engine.adapters[key].isUnloading = true;
            engine.reportDue = now + state.options.unloadingReportInterval;
        } else if (order.kind == OrderKind::Unload) {
            engine.adapters.erase(key);
        } else if (!order.adapter.empty()) {
            AdapterCopy &copy = engine.adapters[key];
            copy.isConfirmed = true;
            copy.readyAt = outcome == OrderOutcome::AlreadyDone ? now : copy.readyAt;
        }
        break;
    }
    case OrderOutcome::OtherInstance:
        markReplaced(engine);
        break;
    case OrderOutcome::Conflict:
    case OrderOutcome::Rejected:
        if (order.kind == OrderKind::Load) {
            engine.adapters.erase(key);
            if (order.adapter.empty()) {
                engine.loadingModels.erase(order.model);
            }
        }
        engine.sequence.reset();
        engine.reportDue = now + milliseconds(150);
        engine.pausedUntil = now + milliseconds(150);
        break;
    case OrderOutcome::Unknown:
        engine.unresolvedOrder = order;
        if (const auto copy = engine.adapters.find(key); copy != engine.adapters.end() && order.kind == OrderKind::Unload) {
            copy->second.mayBeUnloading = true; // reports don't tell, and a second unload of a copy that is gone does not count as an order
        }
        engine.penalizedUntil = now + state.options.unansweredPenaltyTime;
        engine.sequence.reset();
        engine.reportDue = now + milliseconds(100);
        break;
    }
    state.changedEngines.insert(order.server);
}

} // namespace mimosahollow::placement
