#include "mimosahollow/scheduling/pool.h"

#include "availability.h"
#include "crashes.h"
#include "loads.h"
#include "lookup.h"
#include "placement.h"
#include "residency.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

/** Resets the state of the server for a new process. Grants of the earlier process count until they are released. */
void restartServer(PoolState &state, std::uint32_t position, const ServerAnnouncement &announcement, TimePoint now)
{
    ServerState &server = state.servers[position];
    for (std::size_t i = server.slots.size(); i-- > 0;) {
        eraseSlot(state, position, i, now);
    }
    server.erased.clear();
    serverProcessEnded(state, server, now);
    server.incarnation = announcement.incarnation;
    server.announced = true;
    server.slowStart.coldLimit = std::max(1U, announcement.coldLimit);
    server.slowStart.warmLimit = announcement.slots;
    resetSlowStart(server.slowStart);
    server.permits = {};
    server.ordersAllowedFrom = announcement.checksFencing ? TimePoint{} : state.ordersAllowedFrom;
    if (state.mayHaveUnknownGrants) {
        server.unknownGrants = announcement.slots - std::min(announcement.slots, server.grants);
    }
}

void markSeen(ServerState &server, TimePoint now) noexcept
{
    server.lastSeen = now;
    server.silent = false;
    server.grantsAllowedFrom = std::min(server.grantsAllowedFrom, now);
}

/** Number of grants on the server that are old enough to be included in a report that arrives now. */
std::uint32_t reportedGrants(const PoolState &state, std::uint32_t server, TimePoint now) noexcept
{
    return static_cast<std::uint32_t>(std::count_if(state.records.begin(), state.records.end(), [&](const RequestRecord &record) {
        return record.phase == RequestPhase::Granted && record.server == server && record.grantedAt + state.settings.reportLag <= now;
    }));
}

/** Lowers ServerState::unknownGrants to the number of reported requests beyond the known grants. */
void narrowUnknownGrants(PoolState &state, std::uint32_t position, const ServerReport &report, TimePoint now) noexcept
{
    ServerState &server = state.servers[position];
    // Earlier reports may predate the arrival of the last requests that the former owner granted.
    if (server.unknownGrants == 0 || now < state.ownedSince + state.settings.reportLag) {
        return;
    }
    const std::uint32_t reported = report.running + report.queued;
    const std::uint32_t known = reportedGrants(state, position, now);
    server.unknownGrants = std::min(server.unknownGrants, reported - std::min(reported, known));
}

} // namespace

void announceServer(PoolState &state, const ServerAnnouncement &announcement, TimePoint now, Actions &actions)
{
    if (number(announcement.server) > state.settings.largestId) {
        return;
    }
    const std::uint32_t position = addServer(state, announcement.server);
    ServerState &server = state.servers[position];
    markSeen(server, now);
    if (!server.announced || server.incarnation != announcement.incarnation) {
        restartServer(state, position, announcement, now);
    }
    server.leaving = announcement.leaving;
    server.checksFencing = announcement.checksFencing;
    server.adapterSlots = announcement.adapterSlots;
    server.slowStart.warmLimit = announcement.slots;
    server.slowStart.limit = std::min(server.slowStart.limit, announcement.slots);
    if (server.slowStart.limit == 0) {
        resetSlowStart(server.slowStart); // it had no slots before; the limit doubles and would stay 0
    }
    applyResidentList(state, position, announcement.adapters, now);
    applyAvailability(state, now, actions);
}

void applyReport(PoolState &state, const ServerReport &report, TimePoint now, Actions &actions)
{
    const std::uint32_t position = findServer(state, report.server);
    if (position == noIndex || !state.servers[position].announced || state.servers[position].incarnation != report.incarnation) {
        return;
    }
    const bool wasSilent = state.servers[position].silent;
    markSeen(state.servers[position], now);
    narrowUnknownGrants(state, position, report, now);
    applyResidentList(state, position, report.adapters, now);
    if (wasSilent) {
        applyAvailability(state, now, actions);
        return;
    }
    grantWaiting(state, position, now, actions);
    planLoads(state, now, actions);
}

void setDeclaration(PoolState &state, const PoolDeclaration &declaration, TimePoint now, Actions &actions)
{
    state.domainState = declaration.domainState;
    for (ServerState &server : state.servers) {
        server.isDeclared = false;
    }
    for (const DeclaredServer &declared : declaration.servers) {
        if (number(declared.server) > state.settings.largestId) {
            continue;
        }
        ServerState &server = state.servers[addServer(state, declared.server)];
        server.isDeclared = true;
        server.serviceState = declared.state;
    }
    applyAvailability(state, now, actions);
}

void applyAvailability(PoolState &state, TimePoint now, Actions &actions)
{
    for (ServerState &server : state.servers) {
        if (isUsable(state, server)) {
            continue;
        }
        for (AdapterSlot &slot : server.slots) {
            abandonLoad(state, slot);
        }
    }
    if (refuseWithoutServers(state, actions)) {
        grantAllWaiting(state, now, actions);
        planLoads(state, now, actions);
    }
}

bool markSilentServers(PoolState &state, TimePoint now) noexcept
{
    bool changed = false;
    for (ServerState &server : state.servers) {
        if (server.announced && !server.silent && server.lastSeen + state.settings.silenceTimeout <= now) {
            server.silent = true;
            changed = true;
        }
    }
    return changed;
}

} // namespace mimosahollow::scheduling
