#include "internal.h"

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/scheduling/pool.h"

#include <algorithm>

namespace mimosahollow::serving {

namespace {

/** Returns the sorted ids of the adapters that a server reported. Names that are not configured are skipped. */
std::vector<AdapterId> adapterIds(const ServingState &state, std::string_view kind, const std::vector<std::string> &names)
{
    std::vector<AdapterId> ids;
    ids.reserve(names.size());
    for (const std::string &name : names) {
        const AdapterId id = findAdapterByName(state.index, kind, name);
        if (id != AdapterId{}) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

/** Returns the pool of a server if this instance owns it. Otherwise forwards the event to the owner and returns a null pointer. */
template<typename Event>
scheduling::PoolState *ownPoolOrForward(ServingState &state, const control::BackendServer &server, const Event &event, TimePoint now, Actions &actions)
{
    const PoolId pool = poolOfServer(state, server.id);
    const routing::PoolSummary *summary = findSummary(state, pool);
    if (summary == nullptr) {
        return nullptr;
    }
    if (summary->owner == state.self) {
        return ownsPool(state, pool, now) ? &state.pools.at(pool).state : nullptr;
    }
    if (summary->owner != InstanceId{}) {
        actions.push_back(SendToPeer{summary->owner, event});
    }
    return nullptr;
}

} // namespace

void handle(ServingState &state, const gateway::BackendAnnouncement &announcement, TimePoint now, Actions &actions)
{
    if (!state.index.configuration) {
        return;
    }
    const control::BackendServer *server = findDeclaredServer(state.index, announcement.name, announcement.address, announcement.kind);
    if (server == nullptr) {
        return; // undeclared servers get no work
    }
    scheduling::PoolState *pool = ownPoolOrForward(state, *server, announcement, now, actions);
    if (pool == nullptr) {
        return;
    }
    scheduling::ServerAnnouncement message;
    message.server = server->id;
    message.incarnation = announcement.incarnation;
    message.slots = announcement.slots;
    message.adapterSlots = announcement.adapterSlots;
    message.coldLimit = announcement.coldLimit;
    message.checksFencing = announcement.checksFencing;
    message.leaving = announcement.leaving;
    message.adapters = adapterIds(state, announcement.kind, announcement.adapters);
    scheduling::Actions decided;
    scheduling::announceServer(*pool, message, now, decided);
    carryOut(state, pool->pool, decided, now, actions);
}

void handle(ServingState &state, const gateway::BackendReport &report, TimePoint now, Actions &actions)
{
    if (!state.index.configuration) {
        return;
    }
    const auto &servers = state.index.configuration->servers;
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const control::BackendServer &candidate) {
        return candidate.name == report.name;
    });
    if (server == servers.end()) {
        return;
    }
    scheduling::PoolState *pool = ownPoolOrForward(state, *server, report, now, actions);
    if (pool == nullptr) {
        return;
    }
    scheduling::ServerReport message;
    message.server = server->id;
    message.incarnation = report.incarnation;
    message.running = report.running;
    message.queued = report.queued;
    message.adapters = adapterIds(state, server->kind, report.adapters);
    scheduling::Actions decided;
    scheduling::applyReport(*pool, message, now, decided);
    carryOut(state, pool->pool, decided, now, actions);
}

} // namespace mimosahollow::serving
