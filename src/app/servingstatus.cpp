#include "servingstatus.h"

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/serving/servingstate.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace mimosahollow::app {

namespace json = boost::json;

namespace {

json::object describeServer(const serving::ServingState &state, const scheduling::ServerState &server)
{
    const control::BackendServer *declared = serving::findServer(state.index, server.id);
    json::object object;
    object["name"] = declared != nullptr ? declared->name : "";
    object["announced"] = server.announced;
    object["in_service"] = server.isDeclared && server.serviceState == scheduling::ServiceState::InService && !server.leaving;
    object["running"] = server.grants;
    object["limit"] = server.slowStart.limit;
    object["adapters"] = server.slots.size();
    object["adapter_slots"] = server.adapterSlots;
    return object;
}

json::object describePool(const serving::ServingState &state, const routing::PoolSummary &summary, TimePoint now)
{
    const control::FailureDomain *domain = serving::findDomain(state.index, summary.domain);
    json::object object;
    object["pool"] = number(summary.pool);
    object["failure_domain"] = domain != nullptr ? domain->name : "";
    object["kind"] = json::string_view(summary.kind.data(), summary.kind.size());
    object["owner"] = number(summary.owner);
    object["reachable"] = summary.reachable;
    object["in_service"] = summary.inService;
    object["free_slots"] = summary.freeCapacity;
    const auto owned = state.pools.find(summary.pool);
    if (owned != state.pools.end()) {
        json::array servers;
        for (const scheduling::ServerState &server : owned->second.state.servers) {
            servers.push_back(describeServer(state, server));
        }
        object["owned_here"] = now < owned->second.ownedUntil;
        object["fencing"] = owned->second.state.fencing;
        object["waiting"] = owned->second.state.waiting;
        object["servers"] = std::move(servers);
    }
    return object;
}

} // namespace

std::string describeServing(const serving::ServingState &state, TimePoint now)
{
    json::array pools;
    for (const routing::PoolSummary &summary : state.summaries) {
        pools.push_back(describePool(state, summary, now));
    }
    json::object object;
    object["calls"] = state.calls.size();
    object["draining"] = state.draining;
    object["fresh"] = now < state.freshUntil;
    object["pools"] = std::move(pools);
    return json::serialize(object);
}

} // namespace mimosahollow::app
