#include "placement.h"

#include "lookup.h"
#include "queue.h"
#include "residency.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

// Loads that differ by less are equal; distinct ratios of small integers differ by far more.
constexpr double equalLoad = 1e-9;
// Time in which a failure domain usually returns or work moves elsewhere; sent to callers as the retry delay.
constexpr Duration noCapacityRetry = seconds(1);

struct LeastLoaded
{
    std::uint32_t server = noIndex;
    double load = 0;
    std::uint32_t candidates = 0;
    std::uint32_t ties = 0;
};

void consider(PoolState &state, std::uint32_t position, TimePoint now, LeastLoaded &best) noexcept
{
    const ServerState &server = state.servers[position];
    if (!isUsable(state, server) || !hasFreeSlot(server, now)) {
        return;
    }
    ++best.candidates;
    const double load = loadOf(server);
    if (best.server == noIndex || load < best.load - equalLoad) {
        best.server = position;
        best.load = load;
        best.ties = 1;
    } else if (load < best.load + equalLoad) {
        ++best.ties;
        // Reservoir sampling: each of the tied servers is chosen with equal probability.
        if (nextRandom(state) % best.ties == 0) {
            best.server = position;
        }
    }
}

[[nodiscard]] PrefixEntry &prefixEntry(PoolState &state, std::uint64_t hash) noexcept
{
    return state.prefixes[hash % PoolState::prefixEntries];
}

bool holdsAdapter(PoolState &state, std::uint32_t server, AdapterId adapter) noexcept
{
    if (number(adapter) == 0) {
        return true;
    }
    const auto &holders = state.adapters[number(adapter)].holders;
    return std::find(holders.begin(), holders.end(), server) != holders.end();
}

/** Server that last ran the prefix, and so probably has it cached, unless it is much busier than the least loaded one. */
std::uint32_t prefixAffinityServer(PoolState &state, const AcquireRequest &request, double lowestLoad, TimePoint now) noexcept
{
    if (request.prefixHash == 0) {
        return noIndex;
    }
    const PrefixEntry &entry = prefixEntry(state, request.prefixHash);
    if (entry.hash != request.prefixHash || entry.server >= state.servers.size()) {
        return noIndex;
    }
    const ServerState &server = state.servers[entry.server];
    const bool possible = isUsable(state, server) && hasFreeSlot(server, now) && holdsAdapter(state, entry.server, request.adapter);
    return possible && loadOf(server) <= lowestLoad + state.settings.affinityLoadDifference ? entry.server : noIndex;
}

} // namespace

ServerChoice chooseServer(PoolState &state, const AcquireRequest &request, TimePoint now) noexcept
{
    LeastLoaded best;
    if (number(request.adapter) == 0) {
        for (std::uint32_t i = 0; i < state.servers.size(); ++i) {
            consider(state, i, now, best);
        }
    } else if (number(request.adapter) < state.adapters.size()) {
        for (const std::uint16_t holder : state.adapters[number(request.adapter)].holders) {
            consider(state, holder, now, best);
        }
    }
    if (best.server == noIndex) {
        return {};
    }
    const std::uint32_t affine = prefixAffinityServer(state, request, best.load, now);
    if (affine != noIndex) {
        return {affine, best.candidates, DecisionReason::PrefixAffinity};
    }
    return {best.server, best.candidates, DecisionReason::LeastLoaded};
}

void grant(PoolState &state, std::uint32_t record, const ServerChoice &choice, TimePoint now, Actions &actions)
{
    RequestRecord &granted = state.records[record];
    const AcquireRequest &request = granted.request;
    ServerState &server = state.servers[choice.server];
    ++server.grants;
    callpermits::takePermits(server.permits, 1, now);
    if (number(request.adapter) != 0) {
        recordDemand(state, request.adapter, now);
        state.adapters[number(request.adapter)].lastOrganisation = request.organisation;
    }
    if (AdapterSlot *slot = findSlot(server, request.adapter)) {
        ++slot->users;
    }
    granted.phase = RequestPhase::Granted;
    granted.server = static_cast<std::uint16_t>(choice.server);
    granted.epoch = server.slowStart.epoch;
    granted.incarnation = server.incarnation;
    granted.grantedAt = now;
    granted.grant = state.nextGrant++;
    granted.fencing = state.fencing;
    granted.chargedTokens = estimatedTokens(request);
    OrganisationState &organisation = organisationState(state, request.organisation);
    state.tokenVirtualTime = std::max(state.tokenVirtualTime, organisation.servedTokens);
    organisation.servedTokens += granted.chargedTokens / organisation.weight;
    ++organisation.running;
    if (request.prefixHash != 0) {
        prefixEntry(state, request.prefixHash) = {request.prefixHash, granted.server};
    }
    actions.emplace_back(Grant{request.id, request.entry, granted.grant, granted.fencing, server.id, request.adapter, server.permits.callsPerSecond > 0});
    actions.emplace_back(DecisionRecord{request.id, request.organisation, request.adapter, choice.candidates, server.id, choice.reason, {}});
}

void endGrant(PoolState &state, std::uint32_t record, double tokensUsed) noexcept
{
    RequestRecord &ended = state.records[record];
    ServerState &server = state.servers[ended.server];
    --server.grants;
    AdapterSlot *slot = findSlot(server, ended.request.adapter);
    if (slot != nullptr && slot->users > 0) {
        --slot->users;
    }
    OrganisationState &organisation = state.organisations[number(ended.request.organisation)];
    --organisation.running;
    organisation.servedTokens = std::max(0.0, organisation.servedTokens + (tokensUsed - ended.chargedTokens) / organisation.weight);
    freeRecord(state, record);
}

void refuse(const AcquireRequest &request, RefusalReason reason, Duration retryAfter, Actions &actions)
{
    actions.emplace_back(Refusal{request.id, request.entry, reason, retryAfter});
    actions.emplace_back(DecisionRecord{request.id, request.organisation, request.adapter, 0, {}, DecisionReason::Refused, reason});
}

void refuseWaiting(PoolState &state, std::uint32_t record, RefusalReason reason, Duration retryAfter, Actions &actions)
{
    dequeue(state, record);
    refuse(state.records[record].request, reason, retryAfter, actions);
    freeRecord(state, record);
}

bool refuseWithoutServers(PoolState &state, Actions &actions)
{
    bool anyServer = false;
    bool anyAdapterServer = false;
    for (const ServerState &server : state.servers) {
        const bool usable = isUsable(state, server);
        anyServer = anyServer || usable;
        anyAdapterServer = anyAdapterServer || (usable && server.adapterSlots > 0);
    }
    if (state.waiting == 0 || anyAdapterServer) {
        return anyServer;
    }
    for (std::uint32_t i = 0; i < state.records.size(); ++i) {
        if (state.records[i].phase == RequestPhase::Waiting && (!anyServer || number(state.records[i].request.adapter) != 0)) {
            refuseWaiting(state, i, RefusalReason::NoCapacity, noCapacityRetry, actions);
        }
    }
    return anyServer;
}

void grantWaiting(PoolState &state, std::uint32_t server, TimePoint now, Actions &actions)
{
    while (isUsable(state, state.servers[server]) && hasFreeSlot(state.servers[server], now)) {
        const std::uint32_t record = nextForServer(state, state.servers[server]);
        if (record == noIndex) {
            return;
        }
        dequeue(state, record);
        grant(state, record, {server, 1, DecisionReason::LeastLoaded}, now, actions);
    }
}

void grantAllWaiting(PoolState &state, TimePoint now, Actions &actions)
{
    for (std::uint32_t i = 0; i < state.servers.size() && state.waiting > 0; ++i) {
        grantWaiting(state, i, now, actions);
    }
}

} // namespace mimosahollow::scheduling
