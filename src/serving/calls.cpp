#include "internal.h"

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/quarantine/requestname.h"

#include <algorithm>

namespace mimosahollow::serving {

namespace {

// Longer than a change of ownership takes, so that calls are delayed and not refused when the owner of a pool crashes.
constexpr Duration maximumPoolWait = seconds(5);
constexpr Duration retryAfterNoCapacity = seconds(1);
// After this many refusals a call waits for the next tick instead of asking another pool.
constexpr std::uint32_t maximumPoolRefusals = 3;
// A running call whose result has not arrived this long after its deadline is removed.
constexpr Duration resultGracePeriod = seconds(5);

/** The same whenever the request comes again, at any instance. */
std::uint64_t hashOf(const Call &call)
{
    const std::string organisation = std::to_string(number(call.organisation));
    const std::string body = std::to_string(call.request.bodyHash);
    const std::string_view method = call.request.safeMethod ? "safe" : "";
    return quarantine::requestHash({organisation, method, call.kind, call.request.target, body});
}

struct ResolvedRequest
{
    routing::Resolution resolution;
    std::optional<OrganisationId> organisation;
};

std::variant<ResolvedRequest, RefusalReason> resolve(const ServingState &state, const gateway::ServingRequest &request, TimePoint now)
{
    // Until freshness is first confirmed, the configuration may date from before a restart.
    if (!state.index.configuration || state.freshUntil == TimePoint{}) {
        return RefusalReason::ConfigurationStale;
    }
    const bool fresh = now < state.freshUntil;
    // Withdrawn keys must not be accepted, so no key is accepted while the configuration may be stale.
    std::optional<OrganisationId> organisation;
    if (fresh && request.keyHash) {
        organisation = admission::findKey(state.keys, *request.keyHash);
    }
    if (request.kind == gateway::CallKind::Model && !organisation) {
        return fresh ? RefusalReason::InvalidKey : RefusalReason::ConfigurationStale;
    }
    const auto result = request.kind == gateway::CallKind::Model ? routing::resolveModel(state.routes, request.target, *organisation)
                                                                 : routing::resolvePath(state.routes, request.target, organisation);
    if (const auto *reason = std::get_if<RefusalReason>(&result)) {
        return *reason == RefusalReason::InvalidKey && !fresh ? RefusalReason::ConfigurationStale : *reason;
    }
    return ResolvedRequest{std::get<routing::Resolution>(result), organisation};
}

Call makeCall(gateway::ServingRequest request, const ResolvedRequest &resolved)
{
    Call call;
    call.organisation = resolved.organisation.value_or(OrganisationId{});
    call.kind = std::string(resolved.resolution.kind);
    call.deadline = request.deadline;
    if (const control::Route *route = resolved.resolution.route) {
        call.repeatable = route->repeatable || request.safeMethod;
        call.deadline = std::min(call.deadline, request.arrival + route->deadline);
        if (!call.repeatable && !request.idempotencyKey.empty()) {
            call.callKey = {call.organisation, route->prefix, request.idempotencyKey};
        }
    } else {
        call.repeatable = true;
        call.servedModel = call.kind;
    }
    if (const control::Adapter *adapter = resolved.resolution.adapter) {
        call.adapter = adapter->id;
        call.adapterName = adapter->name + "@" + adapter->version;
        call.servedModel += ":" + call.adapterName;
    }
    call.request = std::move(request);
    return call;
}

bool kindHasPool(const ServingState &state, const Call &call)
{
    return std::any_of(state.summaries.begin(), state.summaries.end(), [&](const routing::PoolSummary &summary) {
        return summary.kind == call.kind;
    });
}

std::string organisationName(const ServingState &state, OrganisationId id)
{
    const control::Organisation *organisation = state.index.configuration ? findOrganisation(state.index, id) : nullptr;
    return organisation != nullptr ? organisation->name : "-";
}

std::string_view reasonText(routing::PoolReason reason)
{
    switch (reason) {
    case routing::PoolReason::Local:
        return "local";
    case routing::PoolReason::SpilledOver:
        return "shorter-wait";
    case routing::PoolReason::LocalAbsent:
        return "local-absent";
    }
    return "";
}

} // namespace

void handle(ServingState &state, gateway::ServingRequest request, TimePoint now, Actions &actions)
{
    if (state.draining) {
        refuseRequest(request, RefusalReason::ShuttingDown, actions);
        return;
    }
    const auto resolved = resolve(state, request, now);
    if (const auto *reason = std::get_if<RefusalReason>(&resolved)) {
        refuseRequest(request, *reason, actions);
        return;
    }
    const RequestId id = request.id;
    admission::countRequest(state.retryBudget);
    Call &call = state.calls[id] = makeCall(std::move(request), std::get<ResolvedRequest>(resolved));
    if (!kindHasPool(state, call)) {
        refuseCall(state, id, RefusalReason::NoCapacity, CallOutcome::NotRun, retryAfterNoCapacity, now, actions);
    } else if (!call.callKey.key.empty()) {
        recordCall(state, call, actions);
    } else {
        reserveTokens(state, call, now, actions);
    }
}

void refuseRequest(const gateway::ServingRequest &request, RefusalReason reason, Actions &actions)
{
    actions.push_back(LogDecision{"refuse", request.id, "-", "", 0, "", toString(reason)});
    actions.push_back(ReplyToCall{request.gatewayThread, {request.id, gateway::ServingRefusal{reason, CallOutcome::NotRun, {}}}});
}

void refuseCall(ServingState &state, const RequestId &id, RefusalReason reason, CallOutcome outcome, Duration retryAfter, TimePoint now, Actions &actions)
{
    Call &call = state.calls.at(id);
    if (call.mayHaveRun) {
        outcome = CallOutcome::Unknown;
    }
    actions.push_back(LogDecision{"refuse", id, organisationName(state, call.organisation), call.adapterName, 0, "", toString(reason)});
    actions.push_back(ReplyToCall{call.request.gatewayThread, {id, gateway::ServingRefusal{reason, outcome, retryAfter}}});
    if (call.stage == CallStage::Recording && !call.recorded) {
        call.abandoned = true; // the record may still be committed and must then be withdrawn
        return;
    }
    if (call.recorded && outcome == CallOutcome::NotRun) {
        abandonRecord(call, actions);
    }
    // It is unknown how many tokens an attempt that may have run has generated, so the whole reservation counts as used (P6).
    const auto used = outcome == CallOutcome::Unknown ? static_cast<std::uint64_t>(call.reservedTokens) : 0;
    finishCall(state, id, used, now, actions);
}

void finishCall(ServingState &state, const RequestId &id, std::uint64_t usedTokens, TimePoint now, Actions &actions)
{
    const auto found = state.calls.find(id);
    const double reserved = found->second.reservedTokens;
    const OrganisationId organisation = found->second.organisation;
    state.calls.erase(found);
    if (reserved > 0) {
        admission::refund(state.quotas, admission::accountOf(organisation), reserved, static_cast<double>(usedTokens));
        tickTokens(state, now, actions);
    }
}

void reserveTokens(ServingState &state, Call &call, TimePoint now, Actions &actions)
{
    if (call.request.kind == gateway::CallKind::PlainService) {
        requestGrant(state, call, now, actions);
        return;
    }
    const double cost = static_cast<double>(call.request.promptTokens) + call.request.maximumOutputTokens;
    const RequestId id = call.request.id;
    call.stage = CallStage::AwaitingTokens;
    call.reservedTokens = cost;
    admission::LeaseActions decided;
    const auto admission = admission::admit(state.quotas, admission::accountOf(call.organisation), {id, cost, now, call.deadline}, now, decided);
    if (admission != admission::Admission::Run) {
        call.reservedTokens = 0; // set again when the waiting call gets its tokens
    }
    if (admission == admission::Admission::Run) {
        requestGrant(state, call, now, actions);
    }
    carryOut(state, decided, now, actions);
}

void requestGrant(ServingState &state, Call &call, TimePoint now, Actions &actions)
{
    call.stage = CallStage::AwaitingGrant;
    call.pool = PoolId{};
    const routing::PoolQuery query{call.kind, call.adapter, state.home};
    const auto choice = call.poolRefusals < maximumPoolRefusals ? routing::choosePool(state.summaries, query, state.random) : std::nullopt;
    if (!choice) {
        return; // tickCalls() tries again
    }
    routing::PoolSummary &pool = state.summaries[choice->pool];
    // Until the next summary the adapter counts as resident in this pool, so that further calls do not cause loads in other pools.
    const auto position = std::lower_bound(pool.resident.begin(), pool.resident.end(), call.adapter);
    if (call.adapter != AdapterId{} && (position == pool.resident.end() || *position != call.adapter)) {
        pool.resident.insert(position, call.adapter);
    }
    call.pool = pool.pool;
    call.owner = pool.owner;
    if (choice->reason != routing::PoolReason::Local) {
        const control::FailureDomain *domain = findDomain(state.index, pool.domain);
        actions.push_back(LogDecision{"spill",
                                      call.request.id,
                                      organisationName(state, call.organisation),
                                      call.adapterName,
                                      choice->candidates,
                                      domain != nullptr ? domain->name : "-",
                                      reasonText(choice->reason)});
    }
    const control::Organisation *organisation = findOrganisation(state.index, call.organisation);
    scheduling::AcquireRequest request;
    request.id = call.request.id;
    request.entry = state.self;
    request.organisation = call.organisation;
    request.weight = organisation != nullptr ? organisation->weight : 1;
    request.adapter = call.adapter;
    request.promptTokens = call.request.promptTokens;
    request.maximumOutputTokens = call.request.maximumOutputTokens;
    request.prefixHash = call.request.prefixHash;
    request.promptParts = call.request.promptParts;
    request.promptParts.push_back(hashOf(call));
    request.deadline = call.deadline;
    request.repeatable = call.repeatable;
    sendToOwner(state, pool.pool, pool.owner, request, now, actions);
}

void onGrant(ServingState &state, PoolId pool, const scheduling::Grant &grant, TimePoint now, Actions &actions)
{
    const auto found = state.calls.find(grant.id);
    const control::BackendServer *server = findServer(state.index, grant.server);
    const bool isAwaited = found != state.calls.end() && found->second.stage == CallStage::AwaitingGrant && found->second.pool == pool;
    // The new owner knows the grants of the earlier owner only from this instance's report; a grant that arrives later must not be used.
    const auto reported = state.reportedFencing.find(pool);
    const bool outdated = reported != state.reportedFencing.end() && grant.fencing < reported->second;
    if (!isAwaited || server == nullptr || outdated) {
        returnGrant(state, pool, {grant.id, grant.grant, grant.fencing, scheduling::ReleaseOutcome::NotSent, 0, {}}, now, actions);
        if (isAwaited) {
            onRefusal(state, pool, {grant.id, state.self, RefusalReason::NoCapacity, {}}, now, actions);
        }
        return;
    }
    Call &call = found->second;
    call.stage = CallStage::Running;
    call.grant = grant.grant;
    call.fencing = grant.fencing;
    call.server = grant.server;
    call.grantedAt = now;
    ++call.attempts;
    gateway::ServingGrant reply;
    reply.grant = grant.grant;
    reply.address = server->address;
    reply.adapter = call.adapterName;
    reply.served = call.servedModel;
    reply.fencing = grant.fencing;
    reply.deadline = call.deadline;
    reply.repeatable = call.repeatable;
    reply.isLimited = grant.isLimited;
    actions.push_back(ReplyToCall{call.request.gatewayThread, {grant.id, std::move(reply)}});
}

void onRefusal(ServingState &state, PoolId pool, const scheduling::Refusal &refusal, TimePoint now, Actions &actions)
{
    const auto found = state.calls.find(refusal.id);
    if (found == state.calls.end() || found->second.stage != CallStage::AwaitingGrant || found->second.pool != pool) {
        return;
    }
    Call &call = found->second;
    const bool mayTryOtherPool =
        refusal.reason == RefusalReason::NoCapacity || refusal.reason == RefusalReason::Overloaded || refusal.reason == RefusalReason::LoadFailed;
    if (mayTryOtherPool && ++call.poolRefusals < maximumPoolRefusals) {
        requestGrant(state, call, now, actions);
    } else if (refusal.reason == RefusalReason::NoCapacity) {
        call.pool = PoolId{}; // tickCalls() tries again
    } else {
        refuseCall(state, refusal.id, refusal.reason, CallOutcome::NotRun, refusal.retryAfter, now, actions);
    }
}

void handlePeerDisconnected(ServingState &state, InstanceId peer, TimePoint now, Actions &actions)
{
    for (routing::PoolSummary &summary : state.summaries) {
        if (summary.owner == peer) {
            summary.reachable = false;
        }
    }
    for (auto &[pool, reported] : state.reportedFencing) {
        const routing::PoolSummary *summary = findSummary(state, pool);
        if (summary != nullptr && summary->owner == peer) {
            reported = 0; // the report may have been lost; it is sent again after the next summary
        }
    }
    std::vector<RequestId> waiting;
    for (const auto &[id, call] : state.calls) {
        if (call.stage == CallStage::AwaitingGrant && call.owner == peer && call.pool != PoolId{}) {
            waiting.push_back(id);
        }
    }
    for (const RequestId &id : waiting) {
        requestGrant(state, state.calls.at(id), now, actions);
    }
    for (auto &[pool, owned] : state.pools) {
        std::vector<RequestId> orphanedRequests;
        for (const scheduling::RequestRecord &record : owned.state.records) {
            if (record.phase == scheduling::RequestPhase::Waiting && record.request.entry == peer) {
                orphanedRequests.push_back(record.request.id);
            }
        }
        for (const RequestId &id : orphanedRequests) {
            onCancel(state, pool, id, now, actions);
        }
    }
}

void tickCalls(ServingState &state, TimePoint now, Actions &actions)
{
    std::vector<RequestId> expired;
    std::vector<RequestId> withoutPool;
    std::vector<RequestId> recordRetries;
    for (const auto &[id, call] : state.calls) {
        const Duration grace = call.stage == CallStage::Running || call.abandoned ? resultGracePeriod : Duration::zero();
        if (now >= call.deadline + grace) {
            expired.push_back(id);
        } else if (call.stage == CallStage::AwaitingGrant && call.pool == PoolId{}) {
            withoutPool.push_back(id);
        } else if (call.stage == CallStage::Recording && call.nextRecordAttempt != TimePoint{} && now >= call.nextRecordAttempt) {
            recordRetries.push_back(id);
        }
    }
    for (const RequestId &id : recordRetries) {
        recordCall(state, state.calls.at(id), actions);
    }
    for (const RequestId &id : expired) {
        const auto found = state.calls.find(id);
        if (found == state.calls.end()) {
            continue; // removed when another call ended
        }
        const Call &call = found->second;
        if (call.abandoned) {
            // The result of the BeginCall did not arrive in time.
            abandonRecord(call, actions);
            finishCall(state, id, 0, now, actions);
            continue;
        }
        const CallOutcome outcome = call.stage == CallStage::Running ? CallOutcome::Unknown : CallOutcome::NotRun;
        if (call.stage == CallStage::AwaitingGrant && call.pool != PoolId{}) {
            sendToOwner(state, call.pool, call.owner, CancelRequest{id}, now, actions);
        } else if (call.stage == CallStage::Running) {
            returnGrant(state, call.pool, {id, call.grant, call.fencing, scheduling::ReleaseOutcome::Cancelled, 0, {}}, now, actions);
        } else if (call.stage == CallStage::AwaitingTokens) {
            admission::cancel(state.quotas, admission::accountOf(call.organisation), id, now);
        }
        if (state.calls.contains(id)) {
            refuseCall(state, id, RefusalReason::DeadlineExceeded, outcome, {}, now, actions);
        }
    }
    for (const RequestId &id : withoutPool) {
        const auto found = state.calls.find(id);
        if (found == state.calls.end()) {
            continue;
        }
        if (now >= found->second.request.arrival + maximumPoolWait) {
            refuseCall(state, id, RefusalReason::NoCapacity, CallOutcome::NotRun, retryAfterNoCapacity, now, actions);
        } else {
            found->second.poolRefusals = 0;
            requestGrant(state, found->second, now, actions);
        }
    }
}

} // namespace mimosahollow::serving
