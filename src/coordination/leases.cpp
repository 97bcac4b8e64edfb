#include "internal.h"

#include <algorithm>

namespace mimosahollow::coordination {

namespace {

// An order of the previous owner can arrive until the load timeout has expired (docs/design.md, section 15).
constexpr Duration maximumOrderLifetime = seconds(5);

bool isBucketPool(PoolId pool, DomainId home)
{
    return pool == bucketPool(home);
}

void sendPromise(CoordinationState &state, const membership::Promise &promise, Actions &actions)
{
    for (const control::Instance &instance : state.configuration->instances) {
        const bool peer = std::find(state.holder.peers.begin(), state.holder.peers.end(), instance.id) != state.holder.peers.end();
        if (peer) {
            send(state, instance.name, promise, actions);
        }
    }
}

void reportLease(CoordinationState &state, PoolId pool, const membership::PoolLeaseState &held, TimePoint now, Actions &actions)
{
    const TimePoint until = membership::ownedUntil(state.holder, pool, now);
    if (until == membership::neverTime) {
        return;
    }
    TimePoint &reported = state.reportedLeaseEnds[pool];
    if (reported == until) {
        return;
    }
    reported = until;
    LeaseChanged lease;
    lease.pool = pool;
    lease.buckets = isBucketPool(pool, state.home);
    lease.fencing = held.fencing;
    lease.ownedUntil = until;
    lease.ordersFrom = membership::firstOrderAt(state.holder, pool, false, maximumOrderLifetime);
    actions.push_back(lease);
}

} // namespace

std::vector<membership::RegisteredInstance> registeredInstances(const control::Configuration &configuration)
{
    std::vector<membership::RegisteredInstance> registered;
    registered.reserve(configuration.instances.size());
    for (const control::Instance &instance : configuration.instances) {
        registered.push_back({instance.id, instance.name, instance.domain, instance.incarnation, instance.registrationIndex, true});
    }
    return registered;
}

std::vector<membership::PoolAssignment> poolAssignments(const control::Configuration &configuration)
{
    std::vector<membership::PoolAssignment> assignments;
    assignments.reserve(configuration.pools.size() + configuration.bucketOwners.size());
    // The fencing number of an assignment is its log index.
    for (const control::Pool &pool : configuration.pools) {
        assignments.push_back({pool.id, pool.domain, pool.owner, pool.fencing, pool.fencing, 0});
    }
    for (const control::BucketOwner &owner : configuration.bucketOwners) {
        assignments.push_back({bucketPool(owner.domain), owner.domain, owner.owner, owner.fencing, owner.fencing, 0});
    }
    return assignments;
}

void onPromise(CoordinationState &state, const membership::Promise &promise, TimePoint now, Actions &actions)
{
    if (promise.kind != membership::PromiseKind::Request) {
        membership::onPromise(state.holder, promise, now);
        return;
    }
    if (!state.configuration) {
        return;
    }
    for (const membership::Promise &answer : membership::onPromiseRequest(state.holder, promise, now)) {
        for (const control::Instance &instance : state.configuration->instances) {
            if (instance.id == promise.owner) {
                send(state, instance.name, answer, actions);
            }
        }
    }
}

void tickLeases(CoordinationState &state, TimePoint now, Actions &actions)
{
    if (state.self == InstanceId{} || !state.configuration) {
        return;
    }
    for (const membership::PoolFence &started : membership::activatePools(state.holder, now)) {
        actions.push_back(Notice{"owns pool " + std::to_string(number(started.pool)) + " with fencing number " + std::to_string(started.fencing)});
    }
    if (const auto request = membership::promiseRequest(state.holder, now)) {
        sendPromise(state, *request, actions);
    }
    for (const auto &[pool, held] : state.holder.pools) {
        reportLease(state, pool, held, now, actions);
    }
}

void leave(CoordinationState &state, TimePoint now, Actions &actions)
{
    state.leaving = true;
    if (state.self == InstanceId{}) {
        return;
    }
    std::vector<PoolId> owned;
    for (const auto &[pool, held] : state.holder.pools) {
        if (membership::ownsPool(state.holder, pool, now)) {
            owned.push_back(pool);
        }
    }
    for (const PoolId pool : owned) {
        if (const auto released = membership::releasePool(state.holder, pool)) {
            sendPromise(state, *released, actions);
        }
    }
    control::Command command;
    command.id = makeCommandId(state);
    command.sender = state.options.name;
    command.body = control::RemoveInstance{state.self};
    submit(state, 0, std::move(command), seconds(5), now, actions);
}

} // namespace mimosahollow::coordination
