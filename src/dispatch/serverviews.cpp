#include "internal.h"

#include "mimosahollow/controltraffic/intervals.h"
#include "mimosahollow/dispatch/loadresults.h"
#include "mimosahollow/dispatch/serverlimits.h"
#include "mimosahollow/serverpace/pacebounds.h"

#include <algorithm>
#include <unordered_map>

namespace mimosahollow::dispatch {

namespace {

/**
 * Delay until a call is sent again to a backend server that did not have the adapter at the expected time: a quarter of a load time. Loads
 * are late when more adapters are in transit than the leader counts.
 */
constexpr Duration lateLoadExtension = milliseconds(60);
constexpr Duration suspicionPeriod = milliseconds(600); // several reports to the leader

} // namespace

bool updateServer(DispatchState &state, const registry::ServerRecord &record, TimePoint now)
{
    if (record.state != registry::ServerState::Gone && !registry::takeAddress(state.servers, state.addresses, record)) {
        return false;
    }
    ServerView &view = state.servers[record.id];
    const bool isKnown = !view.record.id.empty();
    if (isKnown) {
        const bool isOlder = record.born < view.record.born
                             || (record.born == view.record.born
                                 && (record.sequence < view.record.sequence || (record.sequence == view.record.sequence && record.state <= view.record.state)));
        if (isOlder) {
            return false;
        }
    }
    if (!isKnown || view.record.born != record.born) {
        const unsigned running = isKnown ? view.running : 0;
        view = {};
        view.running = running; // calls sent to the previous incarnation have not ended yet
    }
    view.record = record;
    view.key = registry::serverKey(record.id);
    if (now >= view.coldUntil) {
        view.firstColdSend = {}; // drawn anew: those of the previous cold period have passed, so all instances would send at once
    }
    view.coldUntil = now + milliseconds(record.coldMilliseconds);
    if (!view.hasPlacement || record.held.empty()) {
        view.adapters.clear();
    }
    view.baseModels.clear();
    for (const registry::HeldModel &held : record.held) {
        if (held.adapter.empty()) {
            view.baseModels.insert(held.model);
        } else if (!view.hasPlacement) {
            view.adapters[{held.model, held.adapter}] = {held.version, now, now};
        }
    }
    return true;
}

void applyPlacement(DispatchState &state, const fleetlink::PlacementUpdate &update, TimePoint now)
{
    if (update.term < state.placementTerm) {
        return;
    }
    if (update.term > state.placementTerm) {
        for (auto &[id, server] : state.servers) {
            server.placementNumber = 0;
        }
    }
    state.placementTerm = update.term;
    for (const fleetlink::ServerPlacement &placement : update.servers) {
        const auto found = state.servers.find(placement.server);
        if (found == state.servers.end() || found->second.record.born != placement.born) {
            continue;
        }
        ServerView &view = found->second;
        if (update.number < view.placementNumber) {
            continue; // came another way than the newer one, through a relay or from the leader
        }
        view.placementNumber = update.number;
        view.hasPlacement = true;
        const auto before = std::exchange(view.adapters, {});
        for (const fleetlink::PlacedAdapter &adapter : placement.adapters) {
            const std::pair key(adapter.model, adapter.adapter);
            const auto known = before.find(key);
            const AdapterView *knownCopy = known == before.end() ? nullptr : &known->second;
            view.adapters[key] = placedCopy(knownCopy, adapter.version, milliseconds(adapter.readyMilliseconds), now);
        }
    }
}

void applyLoad(DispatchState &state, const fleetlink::LoadDigest &digest, TimePoint now)
{
    if (digest.term < state.placementTerm) {
        return;
    }
    std::unordered_map<std::uint32_t, unsigned> running;
    running.reserve(digest.servers.size());
    for (const fleetlink::ServerLoad &load : digest.servers) {
        running[load.serverKey] = load.running;
    }
    std::unordered_map<std::uint32_t, double> limits;
    for (const fleetlink::ServerLimit &limit : digest.limits) {
        limits[limit.serverKey] = limit.callsPerSecond;
    }
    std::unordered_map<std::uint32_t, double> paces;
    for (const fleetlink::ServerPace &pace : digest.paces) {
        paces[pace.serverKey] = serverpace::boundedPace(pace.hundredths / 100.0);
    }
    state.pacesUntil = now + controltraffic::digestTimeout(state.servers.size());
    state.countedAt = now - controltraffic::countDelay(state.servers.size(), state.entryInstances);
    for (auto &[name, service] : state.services) {
        service.othersRunning = 0;
        service.slots = 0;
    }
    for (auto &[id, server] : state.servers) {
        const auto pace = paces.find(server.key);
        server.pace = pace == paces.end() ? 1 : pace->second;
        if (digest.knowsLimits) {
            const auto limit = limits.find(server.key);
            applyLimit(server, limit == limits.end() ? 0 : limit->second, now);
        }
        const auto found = running.find(server.key);
        const unsigned total = found == running.end() ? 0 : found->second;
        server.othersRunning = total - std::min(total, server.reportedRunning);
        if (server.record.state == registry::ServerState::Ready) {
            ServiceLoad &service = state.services[server.record.service];
            service.othersRunning += server.othersRunning;
            service.slots += server.record.slots;
        }
    }
}

void handleMissingModel(DispatchState &state, const std::string &server, const Call &call, TimePoint now)
{
    const auto found = state.servers.find(server);
    if (found == state.servers.end()) {
        return;
    }
    if (call.model.empty()) {
        // A plain service has no models, so another backend server has taken its address. Only a newer announcement makes the previous one usable.
        found->second.record.state = registry::ServerState::Gone;
    } else if (call.adapter.empty()) {
        found->second.baseModels.erase(call.model);
    } else if (const auto copy = found->second.adapters.find({call.model, call.adapter}); copy != found->second.adapters.end()) {
        if (now - copy->second.expectedAt < lateLoadLimit) {
            copy->second.readyAt = now + lateLoadExtension;
        } else {
            found->second.adapters.erase(copy);
            found->second.suspectUntil = now + suspicionPeriod;
        }
    }
}

} // namespace mimosahollow::dispatch
