#include "dispatcher.h"

#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/routing/modelname.h"

#include <algorithm>

namespace mimosahollow::app {

using gateway::ServingRequest;

namespace {

constexpr milliseconds tickInterval{50};
constexpr std::size_t maximumWaiting = 4096;

template<typename Range>
bool mayUse(const Range &organisations, OrganisationId organisation)
{
    return std::find(organisations.begin(), organisations.end(), organisation) != organisations.end();
}

std::string adapterName(const control::Adapter *adapter)
{
    return adapter == nullptr ? std::string() : adapter->name + "@" + adapter->version;
}

} // namespace

Dispatcher::Dispatcher(std::shared_ptr<const control::Configuration> configuration, DispatchPorts ports, BoundedRing<gateway::ServingEvent> &ring)
    : m_configuration(std::move(configuration)), m_ports(std::move(ports)), m_ring(ring)
{
}

Dispatcher::~Dispatcher()
{
    stop();
}

void Dispatcher::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void Dispatcher::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Dispatcher::run()
{
    std::vector<gateway::ServingEvent> events;
    while (!m_stopping) {
        events.clear();
        m_ring.waitAndTake(events, tickInterval);
        for (gateway::ServingEvent &event : events) {
            std::visit(
                [this](auto &content) {
                    handle(std::move(content));
                },
                event);
        }
        retryWaiting();
    }
}

std::variant<Dispatcher::Resolved, RefusalReason> Dispatcher::resolve(const ServingRequest &request) const
{
    Resolved resolved;
    if (request.keyHash) {
        const auto &keys = m_configuration->keys;
        const auto key = std::find_if(keys.begin(), keys.end(), [&](const control::ApiKey &candidate) {
            return candidate.hash == *request.keyHash;
        });
        if (key != keys.end()) {
            resolved.organisation = &m_configuration->organisations[number(key->organisation) - 1];
        }
    }
    if (request.kind == gateway::CallKind::PlainService) {
        const auto &routes = m_configuration->routes;
        const auto route = std::find_if(routes.begin(), routes.end(), [&](const control::Route &candidate) {
            return request.target.starts_with(candidate.prefix);
        });
        if (route == routes.end()) {
            return RefusalReason::UnknownRoute;
        }
        if (!route->open && resolved.organisation == nullptr) {
            return RefusalReason::InvalidKey;
        }
        if (!route->open && !route->organisations.empty() && !mayUse(route->organisations, resolved.organisation->id)) {
            return RefusalReason::NotPermitted;
        }
        resolved.kind = route->service;
        resolved.repeatable = route->repeatable || request.safeMethod;
        return resolved;
    }
    if (resolved.organisation == nullptr) {
        return RefusalReason::InvalidKey;
    }
    const auto name = routing::parseModelName(request.target);
    const auto &models = m_configuration->baseModels;
    if (!name || std::find(models.begin(), models.end(), name->base) == models.end()) {
        return RefusalReason::UnknownModel;
    }
    resolved.kind = std::string(name->base);
    resolved.repeatable = true;
    if (name->adapter.empty()) {
        return resolved;
    }
    const auto &adapters = m_configuration->adapters;
    const auto adapter = std::find_if(adapters.begin(), adapters.end(), [&](const control::Adapter &candidate) {
        const bool versionFits = name->version.empty() ? candidate.isDefault : candidate.version == name->version;
        return candidate.baseModel == name->base && candidate.name == name->adapter && versionFits;
    });
    if (adapter == adapters.end()) {
        return RefusalReason::UnknownModel;
    }
    if (!mayUse(adapter->organisations, resolved.organisation->id)) {
        return RefusalReason::NotPermitted;
    }
    resolved.adapter = &*adapter;
    return resolved;
}

void Dispatcher::handle(ServingRequest &&request)
{
    const auto resolved = resolve(request);
    if (const auto *reason = std::get_if<RefusalReason>(&resolved)) {
        refuse(request, *reason);
        return;
    }
    place(std::move(request), std::get<Resolved>(resolved));
}

void Dispatcher::place(ServingRequest &&request, const Resolved &resolved)
{
    const std::string adapter = adapterName(resolved.adapter);
    auto &servers = m_serversByKind[resolved.kind];
    Server *best = nullptr;
    std::size_t candidates = 0;
    for (auto &[name, server] : servers) {
        const auto resident = server.adapters.find(adapter);
        const bool ready = adapter.empty() || (resident != server.adapters.end() && resident->second);
        if (!ready || server.running >= server.slots) {
            continue;
        }
        ++candidates;
        if (best == nullptr || server.running * best->slots < best->running * server.slots) {
            best = &server;
        }
    }
    if (best != nullptr) {
        grant(std::move(request), resolved, *best, candidates);
        return;
    }
    if (servers.empty() || (!adapter.empty() && !planLoad(resolved, adapter)) || m_waiting.size() >= maximumWaiting) {
        refuse(request, RefusalReason::NoCapacity);
        return;
    }
    m_waiting.push_back(std::move(request));
}

bool Dispatcher::planLoad(const Resolved &resolved, const std::string &adapter)
{
    auto &servers = m_serversByKind[resolved.kind];
    Server *target = nullptr;
    for (auto &[name, server] : servers) {
        if (server.adapters.contains(adapter)) {
            return true; // resident but full, or being loaded
        }
        if (server.adapters.size() < server.adapterSlots && (target == nullptr || server.adapters.size() < target->adapters.size())) {
            target = &server;
        }
    }
    if (target == nullptr) {
        return false;
    }
    gateway::BackendOrder order;
    order.order = m_nextNumber++;
    order.kind = gateway::OrderKind::Load;
    order.address = target->address;
    order.adapter = adapter;
    order.fencing = 1;
    m_loads[order.order] = {resolved.kind, {target->name, adapter}};
    target->adapters[adapter] = false;
    m_ports.logDecision(observability::DecisionLine("load").add("adapter", adapter).add("server", target->name).add("candidates", servers.size()).text());
    return m_ports.sendOrder(std::move(order));
}

void Dispatcher::grant(ServingRequest &&request, const Resolved &resolved, Server &server, std::size_t candidates)
{
    ++server.running;
    gateway::ServingGrant content;
    content.grant = m_nextNumber++;
    content.address = server.address;
    content.adapter = adapterName(resolved.adapter);
    content.served = request.kind == gateway::CallKind::Model ? resolved.kind + (resolved.adapter == nullptr ? "" : ":" + content.adapter) : "";
    content.fencing = 1;
    content.deadline = request.deadline;
    content.repeatable = resolved.repeatable;
    observability::DecisionLine line("route");
    line.add("request", request.id.sequence).add("organisation", resolved.organisation == nullptr ? "-" : resolved.organisation->name);
    line.add("adapter", content.adapter).add("candidates", candidates).add("server", server.name).add("reason", "least-loaded");
    m_ports.logDecision(line.text());
    const std::uint32_t thread = request.gatewayThread;
    const RequestId id = request.id;
    m_running[id] = {std::move(request), server.name};
    gateway::ServingReply reply{id, std::move(content)};
    m_ports.reply(thread, reply);
}

void Dispatcher::refuse(const ServingRequest &request, RefusalReason reason)
{
    m_ports.logDecision(observability::DecisionLine("refuse").add("request", request.id.sequence).add("reason", toString(reason)).text());
    gateway::ServingReply reply{request.id, gateway::ServingRefusal{reason, CallOutcome::NotRun, {}}};
    m_ports.reply(request.gatewayThread, reply);
}

void Dispatcher::handle(gateway::ServingResult &&result)
{
    const auto found = m_running.find(result.id);
    if (found == m_running.end()) {
        return;
    }
    RunningCall call = std::move(found->second);
    m_running.erase(found);
    for (auto &[kind, servers] : m_serversByKind) {
        const auto server = servers.find(call.server);
        if (server != servers.end() && server->second.running > 0) {
            --server->second.running;
        }
    }
    if (result.awaitsReply) {
        if (std::chrono::steady_clock::now() >= call.request.deadline) {
            refuse(call.request, RefusalReason::DeadlineExceeded);
        } else {
            m_waiting.push_back(std::move(call.request));
        }
    }
}

void Dispatcher::handle(gateway::BackendAnnouncement &&announcement)
{
    const auto &declared = m_configuration->servers;
    const auto declaration = std::find_if(declared.begin(), declared.end(), [&](const control::BackendServer &server) {
        return server.name == announcement.name && server.address == announcement.address && server.kind == announcement.kind;
    });
    if (declaration == declared.end() || declaration->out) {
        return;
    }
    Server &server = m_serversByKind[announcement.kind][announcement.name];
    if (server.incarnation != announcement.incarnation) {
        server = Server{};
    }
    server.name = announcement.name;
    server.address = announcement.address;
    server.incarnation = announcement.incarnation;
    server.slots = announcement.slots;
    server.adapterSlots = announcement.adapterSlots;
    for (const std::string &adapter : announcement.adapters) {
        server.adapters[adapter] = true;
    }
}

void Dispatcher::handle(gateway::BackendReport &&)
{
}

void Dispatcher::handle(gateway::BackendOrderResult &&result)
{
    const auto found = m_loads.find(result.order);
    if (found == m_loads.end()) {
        return;
    }
    const auto [kind, target] = found->second;
    m_loads.erase(found);
    Server &server = m_serversByKind[kind][target.first];
    if (result.outcome == gateway::OrderOutcome::Done) {
        server.adapters[target.second] = true;
    } else {
        server.adapters.erase(target.second);
    }
}

void Dispatcher::retryWaiting()
{
    std::vector<ServingRequest> waiting;
    waiting.swap(m_waiting);
    const TimePoint now = std::chrono::steady_clock::now();
    for (ServingRequest &request : waiting) {
        if (now >= request.deadline) {
            refuse(request, RefusalReason::DeadlineExceeded);
        } else {
            handle(std::move(request));
        }
    }
}

} // namespace mimosahollow::app
