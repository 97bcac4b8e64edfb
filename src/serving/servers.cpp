#include "internal.h"

#include "mimosahollow/control/configuration.h"

#include <algorithm>

namespace mimosahollow::serving
{

namespace
{

/** Ids of the adapters that an engine lists; names that the configuration does not know are left out. */
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

/** Passes an event of a server on to the owner of its pool. */
void sendToPool(ServingState &state, const control::BackendServer &server, PoolMessageBody body, TimePoint now, Actions &actions)
{
    for (const routing::PoolSummary &summary : state.summaries) {
        if (summary.domain == server.domain && summary.kind == server.kind) {
            sendToOwner(state, summary.pool, summary.owner, std::move(body), now, actions);
            return;
        }
    }
}

} // namespace

void handle(ServingState &state, const gateway::BackendAnnouncement &announcement, TimePoint now, Actions &actions)
{
    if (!state.index.configuration) {
        return;
    }
    const control::BackendServer *server = findDeclaredServer(state.index, announcement.name, announcement.address, announcement.kind);
    if (server == nullptr) {
        return; // no work for undeclared servers
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
    sendToPool(state, *server, std::move(message), now, actions);
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
    scheduling::ServerReport message;
    message.server = server->id;
    message.incarnation = report.incarnation;
    message.running = report.running;
    message.queued = report.queued;
    message.adapters = adapterIds(state, server->kind, report.adapters);
    sendToPool(state, *server, std::move(message), now, actions);
}

} // namespace mimosahollow::serving
