#include "internal.h"

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/scheduling/pool.h"

namespace mimosahollow::serving {

namespace {

std::string_view decisionName(scheduling::DecisionReason reason)
{
    switch (reason) {
    case scheduling::DecisionReason::LeastLoaded:
    case scheduling::DecisionReason::PrefixAffinity:
        return "route";
    case scheduling::DecisionReason::LoadOnDemand:
    case scheduling::DecisionReason::LoadReplica:
        return "load";
    case scheduling::DecisionReason::EvictLeastUseful:
        return "evict";
    case scheduling::DecisionReason::LimitNamed:
    case scheduling::DecisionReason::LimitEnded:
        return "server-limit";
    case scheduling::DecisionReason::Refused:
        return "refuse";
    }
    return "";
}

std::string_view reasonName(const scheduling::DecisionRecord &record)
{
    switch (record.reason) {
    case scheduling::DecisionReason::LeastLoaded:
        return "least-loaded";
    case scheduling::DecisionReason::PrefixAffinity:
        return "prefix-affinity";
    case scheduling::DecisionReason::LoadOnDemand:
        return "on-demand";
    case scheduling::DecisionReason::LoadReplica:
        return "replica";
    case scheduling::DecisionReason::EvictLeastUseful:
        return "least-useful";
    case scheduling::DecisionReason::LimitNamed:
        return "named";
    case scheduling::DecisionReason::LimitEnded:
        return "ended";
    case scheduling::DecisionReason::Refused:
        return toString(record.refusal);
    }
    return "";
}

LogDecision toLogDecision(const ServingState &state, const scheduling::DecisionRecord &record)
{
    const control::Organisation *organisation = findOrganisation(state.index, record.organisation);
    const control::Adapter *adapter = findAdapter(state.index, record.adapter);
    const control::BackendServer *server = findServer(state.index, record.choice);
    LogDecision line;
    line.decision = decisionName(record.reason);
    line.request = record.request;
    line.organisation = organisation != nullptr ? organisation->name : "-";
    line.adapter = adapter != nullptr ? adapter->name + "@" + adapter->version : "-";
    line.candidates = record.candidates;
    line.choice = server != nullptr ? server->name : "-";
    line.reason = reasonName(record);
    return line;
}

/** Sends an order of the pool to the address of its server. Returns false if the server or the adapter is no longer configured. */
bool sendOrderToServer(ServingState &state, PoolId pool, const scheduling::Order &order, Actions &actions)
{
    const control::BackendServer *server = findServer(state.index, order.server);
    const control::Adapter *adapter = findAdapter(state.index, order.adapter);
    if (server == nullptr || adapter == nullptr) {
        return false;
    }
    gateway::BackendOrder message;
    message.order = state.nextOrder++;
    message.kind = order.kind == scheduling::OrderKind::Load ? gateway::OrderKind::Load : gateway::OrderKind::Unload;
    message.address = server->address;
    message.adapter = adapter->name + "@" + adapter->version;
    message.fencing = order.fencing;
    message.timeout = order.timeout;
    state.pendingOrders[message.order] = {pool, order.order, order.fencing};
    actions.push_back(std::move(message));
    return true;
}

scheduling::OrderOutcome toOrderOutcome(gateway::OrderOutcome outcome)
{
    switch (outcome) {
    case gateway::OrderOutcome::Done:
        return scheduling::OrderOutcome::Done;
    case gateway::OrderOutcome::Refused:
        return scheduling::OrderOutcome::Refused;
    case gateway::OrderOutcome::StaleFencing:
        return scheduling::OrderOutcome::StaleFencing;
    case gateway::OrderOutcome::NotSent:
        return scheduling::OrderOutcome::NotSent;
    case gateway::OrderOutcome::Unknown:
        return scheduling::OrderOutcome::Unknown;
    }
    return scheduling::OrderOutcome::Unknown;
}

/** Delivers a grant, or releases it and refuses the request if the lease has expired since the request was queued. */
void deliverGrant(ServingState &state, PoolId pool, const scheduling::Grant &grant, scheduling::Actions &followUp, TimePoint now, Actions &actions)
{
    if (!ownsPool(state, pool, now)) {
        scheduling::release(state.pools.at(pool).state, {grant.id, grant.grant, grant.fencing, scheduling::ReleaseOutcome::NotSent, 0, {}}, now, followUp);
        followUp.push_back(scheduling::Refusal{grant.id, grant.entry, RefusalReason::NoCapacity, {}});
    } else if (grant.entry == state.self) {
        onGrant(state, pool, grant, now, actions);
    } else {
        actions.push_back(SendToPeer{grant.entry, PoolMessage{pool, grant}});
    }
}

void deliver(ServingState &state, PoolId pool, const scheduling::Action &action, scheduling::Actions &followUp, TimePoint now, Actions &actions)
{
    if (const auto *grant = std::get_if<scheduling::Grant>(&action)) {
        deliverGrant(state, pool, *grant, followUp, now, actions);
    } else if (const auto *refusal = std::get_if<scheduling::Refusal>(&action)) {
        if (refusal->entry == state.self) {
            onRefusal(state, pool, *refusal, now, actions);
        } else {
            actions.push_back(SendToPeer{refusal->entry, PoolMessage{pool, *refusal}});
        }
    } else if (const auto *order = std::get_if<scheduling::Order>(&action)) {
        if (!ownsPool(state, pool, now) || !sendOrderToServer(state, pool, *order, actions)) {
            scheduling::orderFinished(state.pools.at(pool).state, order->order, scheduling::OrderOutcome::NotSent, now, followUp);
        }
    } else {
        actions.push_back(toLogDecision(state, std::get<scheduling::DecisionRecord>(action)));
    }
}

} // namespace

bool ownsPool(const ServingState &state, PoolId pool, TimePoint now) noexcept
{
    const auto found = state.pools.find(pool);
    return found != state.pools.end() && now < found->second.ownedUntil;
}

PoolId poolOfServer(const ServingState &state, ServerId id) noexcept
{
    const control::BackendServer *server = findServer(state.index, id);
    if (server != nullptr) {
        for (const routing::PoolSummary &summary : state.summaries) {
            if (summary.domain == server->domain && summary.kind == server->kind) {
                return summary.pool;
            }
        }
    }
    return PoolId{};
}

routing::PoolSummary *findSummary(ServingState &state, PoolId pool) noexcept
{
    for (routing::PoolSummary &summary : state.summaries) {
        if (summary.pool == pool) {
            return &summary;
        }
    }
    return nullptr;
}

void carryOut(ServingState &state, PoolId pool, scheduling::Actions &decided, TimePoint now, Actions &actions)
{
    // Delivery may change the pool and cause further actions, for example when a grant is returned at once.
    while (!decided.empty()) {
        scheduling::Actions followUp;
        for (const scheduling::Action &action : decided) {
            if (state.pools.contains(pool)) {
                deliver(state, pool, action, followUp, now, actions);
            }
        }
        decided.swap(followUp);
    }
}

void refuseWaiting(ServingState &state, PoolId pool, TimePoint now, Actions &actions)
{
    scheduling::Actions decided;
    std::vector<scheduling::Refusal> refusals;
    for (const scheduling::RequestRecord &record : state.pools.at(pool).state.records) {
        if (record.phase == scheduling::RequestPhase::Waiting) {
            refusals.push_back({record.request.id, record.request.entry, RefusalReason::NoCapacity, {}});
        }
    }
    for (const scheduling::Refusal &refusal : refusals) {
        scheduling::cancel(state.pools.at(pool).state, refusal.id, now, decided);
        decided.push_back(refusal);
    }
    carryOut(state, pool, decided, now, actions);
}

void onCancel(ServingState &state, PoolId pool, const RequestId &id, TimePoint now, Actions &actions)
{
    scheduling::Actions decided;
    scheduling::cancel(state.pools.at(pool).state, id, now, decided);
    carryOut(state, pool, decided, now, actions);
}

void returnGrant(ServingState &state, PoolId pool, const scheduling::Release &release, TimePoint now, Actions &actions)
{
    const routing::PoolSummary *summary = findSummary(state, pool);
    if (summary != nullptr) {
        sendToOwner(state, pool, summary->owner, release, now, actions);
    }
}

void sendToOwner(ServingState &state, PoolId pool, InstanceId owner, PoolMessageBody body, TimePoint now, Actions &actions)
{
    PoolMessage message{pool, std::move(body)};
    if (owner == state.self) {
        handlePoolMessage(state, state.self, std::move(message), now, actions);
    } else if (owner != InstanceId{}) {
        actions.push_back(SendToPeer{owner, std::move(message)});
    }
}

void reportGrants(ServingState &state, PoolId pool, InstanceId owner, TimePoint now, Actions &actions)
{
    scheduling::GrantReport report;
    report.entry = state.self;
    for (const auto &[id, call] : state.calls) {
        if (call.stage == CallStage::Running && call.pool == pool) {
            const std::uint32_t tokens = call.request.promptTokens + call.request.maximumOutputTokens;
            report.grants.push_back(
                {id, call.grant, call.fencing, call.server, call.organisation, call.adapter, tokens, call.deadline, call.request.promptTokens});
        }
    }
    sendToOwner(state, pool, owner, std::move(report), now, actions);
}

namespace {

void refuseAsNonOwner(ServingState &state, InstanceId from, PoolId pool, const RequestId &id, TimePoint now, Actions &actions)
{
    const scheduling::Refusal refusal{id, from, RefusalReason::NoCapacity, {}};
    if (from == state.self) {
        onRefusal(state, pool, refusal, now, actions);
    } else {
        actions.push_back(SendToPeer{from, PoolMessage{pool, refusal}});
    }
}

/** Tells the owned pools of the same kind what the owner of another pool has seen of ended servers. */
void applyCrashEvidence(ServingState &state, const routing::PoolSummary &sender, const scheduling::CrashEvidence &evidence)
{
    for (auto &[id, owned] : state.pools) {
        const routing::PoolSummary *summary = findSummary(state, id);
        if (id != sender.pool && summary != nullptr && summary->kind == sender.kind) {
            scheduling::applyCrashEvidence(owned.state, evidence);
        }
    }
}

void applySummary(ServingState &state, InstanceId from, const scheduling::PoolSummary &content, TimePoint now, Actions &actions)
{
    routing::PoolSummary *summary = findSummary(state, content.pool);
    if (summary == nullptr || summary->owner != from) {
        return;
    }
    applyCrashEvidence(state, *summary, content.crashEvidence);
    summary->reachable = true;
    summary->inService = content.inService;
    summary->expectedWait = content.expectedWait;
    summary->expectedLoadTime = content.expectedLoadWait;
    summary->freeCapacity = content.freeSlots;
    summary->totalCapacity = content.totalSlots;
    summary->resident = content.adapters;
    summary->busy.clear();
    for (const scheduling::AdapterWait &wait : content.waits) {
        summary->busy.emplace_back(wait.adapter, wait.wait);
    }
    FencingNumber &reported = state.reportedFencing[content.pool];
    if (reported != content.fencing) {
        reported = content.fencing;
        reportGrants(state, content.pool, from, now, actions);
    }
}

/** Handles messages that only the owner of the pool receives. */
void handleAsOwner(ServingState &state, InstanceId from, const PoolMessage &message, TimePoint now, Actions &actions)
{
    scheduling::PoolState &pool = state.pools.at(message.pool).state;
    scheduling::Actions decided;
    if (const auto *acquire = std::get_if<scheduling::AcquireRequest>(&message.body)) {
        scheduling::AcquireRequest request = *acquire;
        request.entry = from;
        scheduling::submit(pool, request, now, decided);
    } else if (const auto *cancel = std::get_if<CancelRequest>(&message.body)) {
        scheduling::cancel(pool, cancel->id, now, decided);
    } else if (const auto *release = std::get_if<scheduling::Release>(&message.body)) {
        scheduling::release(pool, *release, now, decided);
    } else if (const auto *limit = std::get_if<scheduling::LimitStatement>(&message.body)) {
        scheduling::applyLimit(pool, *limit, now, decided);
    } else if (const auto *report = std::get_if<scheduling::GrantReport>(&message.body)) {
        scheduling::GrantReport checked = *report;
        checked.entry = from;
        scheduling::reconcileGrants(pool, checked, now, decided);
    }
    carryOut(state, message.pool, decided, now, actions);
    requestLoadTokens(state, now, actions);
}

} // namespace

void handlePoolMessage(ServingState &state, InstanceId from, PoolMessage message, TimePoint now, Actions &actions)
{
    if (const auto *grant = std::get_if<scheduling::Grant>(&message.body)) {
        const auto call = state.calls.find(grant->id);
        const bool isFromOwner = call != state.calls.end() && call->second.owner == from;
        onGrant(state, isFromOwner ? call->second.pool : poolOfServer(state, grant->server), *grant, now, actions);
    } else if (const auto *refusal = std::get_if<scheduling::Refusal>(&message.body)) {
        const auto call = state.calls.find(refusal->id);
        if (call != state.calls.end() && call->second.owner == from) {
            onRefusal(state, call->second.pool, *refusal, now, actions);
        }
    } else if (const auto *summary = std::get_if<scheduling::PoolSummary>(&message.body)) {
        applySummary(state, from, *summary, now, actions);
    } else if (const auto *acquire = std::get_if<scheduling::AcquireRequest>(&message.body); acquire != nullptr && !ownsPool(state, message.pool, now)) {
        refuseAsNonOwner(state, from, message.pool, acquire->id, now, actions);
    } else if (state.pools.contains(message.pool)) {
        // Releases are processed after the lease has expired too, because it may be renewed.
        handleAsOwner(state, from, message, now, actions);
    }
}

void handleSendFailure(ServingState &state, InstanceId peer, const PeerMessage &message, TimePoint now, Actions &actions)
{
    const auto *pool = std::get_if<PoolMessage>(&message);
    if (pool == nullptr) {
        return; // token messages and announcements are sent again
    }
    if (const auto *acquire = std::get_if<scheduling::AcquireRequest>(&pool->body)) {
        if (routing::PoolSummary *summary = findSummary(state, pool->pool)) {
            summary->reachable = false; // until its next summary arrives
        }
        onRefusal(state, pool->pool, {acquire->id, state.self, RefusalReason::NoCapacity, {}}, now, actions);
    } else if (const auto *grant = std::get_if<scheduling::Grant>(&pool->body)) {
        if (state.pools.contains(pool->pool)) {
            scheduling::Actions decided;
            scheduling::release(
                state.pools.at(pool->pool).state, {grant->id, grant->grant, grant->fencing, scheduling::ReleaseOutcome::NotSent, 0, {}}, now, decided);
            carryOut(state, pool->pool, decided, now, actions);
        }
    } else if (std::holds_alternative<scheduling::GrantReport>(pool->body)) {
        state.reportedFencing[pool->pool] = 0; // the report is sent again after the next summary
    }
    static_cast<void>(peer);
}

void handle(ServingState &state, const gateway::BackendOrderResult &result, TimePoint now, Actions &actions)
{
    const auto found = state.pendingOrders.find(result.order);
    if (found == state.pendingOrders.end()) {
        return;
    }
    const PendingOrder pending = found->second;
    state.pendingOrders.erase(found);
    const auto pool = state.pools.find(pending.pool);
    if (pool == state.pools.end() || pool->second.state.fencing != pending.fencing) {
        return;
    }
    scheduling::Actions decided;
    scheduling::orderFinished(pool->second.state, pending.poolOrder, toOrderOutcome(result.outcome), now, decided);
    carryOut(state, pending.pool, decided, now, actions);
    requestLoadTokens(state, now, actions);
}

} // namespace mimosahollow::serving
