#include "mimosahollow/serving/serving.h"

#include "internal.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/scheduling/pool.h"

#include <algorithm>

namespace mimosahollow::serving {

namespace {

// A grant of an earlier owner ends at the deadline of its request, which is at most this far away (docs/design.md, section 15).
constexpr Duration maximumRequestDeadline = seconds(600);
constexpr Duration summaryInterval = milliseconds(250);
// The interval of summaries to other failure domains grows with the number of instances: in a fleet of 340 instances, the
// summaries of 132 pools take about 4 KB/s per instance. A choice based on an old summary costs one refusal and a second choice.
constexpr Duration remoteIntervalPerInstance = milliseconds(10);
constexpr Duration maximumRemoteInterval = seconds(5);
// Round-trip times to instances of another failure domain and of the same one.
constexpr Duration remoteRoundTrip = milliseconds(2);
constexpr Duration localRoundTrip = milliseconds(0);

scheduling::PoolDeclaration declarationOf(const ServingState &state, const control::Pool &pool)
{
    const control::FailureDomain *domain = findDomain(state.index, pool.domain);
    scheduling::PoolDeclaration declaration;
    declaration.domainState = domain == nullptr || domain->outOfService ? scheduling::ServiceState::Out : scheduling::ServiceState::InService;
    for (const control::BackendServer &server : state.index.configuration->servers) {
        if (server.domain == pool.domain && server.kind == pool.kind) {
            declaration.servers.push_back({server.id, server.outOfService ? scheduling::ServiceState::Out : scheduling::ServiceState::InService});
        }
    }
    return declaration;
}

const control::Pool *findPool(const ServingState &state, PoolId id)
{
    const auto &pools = state.index.configuration->pools;
    const auto found = std::find_if(pools.begin(), pools.end(), [id](const control::Pool &pool) {
        return pool.id == id;
    });
    return found == pools.end() ? nullptr : &*found;
}

/** Creates the summaries for a new configuration. Keeps the content of those whose pool has the same owner as before. */
void rebuildSummaries(ServingState &state)
{
    std::vector<routing::PoolSummary> previous;
    previous.swap(state.summaries);
    for (const control::Pool &pool : state.index.configuration->pools) {
        const auto known = std::find_if(previous.begin(), previous.end(), [&](const routing::PoolSummary &summary) {
            return summary.pool == pool.id && summary.owner == pool.owner;
        });
        routing::PoolSummary summary;
        if (known != previous.end()) {
            summary = std::move(*known);
        } else {
            summary.reachable = false; // until the owner publishes a summary
        }
        const control::FailureDomain *domain = findDomain(state.index, pool.domain);
        summary.pool = pool.id;
        summary.domain = pool.domain;
        summary.owner = pool.owner;
        summary.kind = pool.kind;
        summary.roundTrip = pool.domain == state.home ? localRoundTrip : remoteRoundTrip;
        if (domain == nullptr || domain->outOfService) {
            summary.inService = false; // until a later summary of the owner reports it in service
        }
        state.summaries.push_back(std::move(summary));
    }
}

/** Returns the pool's share of the concurrent adapter loads: in proportion to its model servers, and at least one. */
std::uint32_t loadsInFlightOf(const ServingState &state, const control::Pool &pool)
{
    const control::Configuration &configuration = *state.index.configuration;
    std::size_t all = 0;
    std::size_t own = 0;
    for (const control::BackendServer &server : configuration.servers) {
        const bool isModel = std::find(configuration.baseModels.begin(), configuration.baseModels.end(), server.kind) != configuration.baseModels.end();
        all += isModel ? 1 : 0;
        own += isModel && server.domain == pool.domain && server.kind == pool.kind ? 1 : 0;
    }
    return all == 0 ? 1 : std::max(1U, static_cast<std::uint32_t>(configuration.loadsInFlight * own / all));
}

void applyToPools(ServingState &state, TimePoint now, Actions &actions)
{
    std::vector<PoolId> lostPools;
    for (auto &[id, owned] : state.pools) {
        const control::Pool *pool = findPool(state, id);
        if (pool == nullptr || pool->owner != state.self) {
            owned.ownedUntil = now; // assigned to another instance
            lostPools.push_back(id);
            continue;
        }
        owned.state.settings.maximumLoadsInFlight = loadsInFlightOf(state, *pool);
        owned.state.settings.loadsPerSecond = state.index.configuration->loadRate;
        scheduling::Actions decided;
        scheduling::setDeclaration(owned.state, declarationOf(state, *pool), now, decided);
        carryOut(state, id, decided, now, actions);
    }
    for (const PoolId id : lostPools) {
        // Setting the pool out of service refuses its waiting requests as not run, so that their entry instances ask the new owner.
        scheduling::Actions decided;
        scheduling::setDeclaration(state.pools.at(id).state, {scheduling::ServiceState::Out, {}}, now, decided);
        carryOut(state, id, decided, now, actions);
        state.pools.erase(id);
    }
}

/** Returns the interval of summaries to instances of other failure domains. */
Duration remoteSummaryInterval(std::size_t instances) noexcept
{
    return std::clamp<Duration>(remoteIntervalPerInstance * static_cast<std::int64_t>(instances), summaryInterval, maximumRemoteInterval);
}

/** Sends what an owned pool has seen of ended servers to the owners of the other pools of its kind. */
void shareCrashEvidence(ServingState &state, PoolId id, OwnedPool &owned, TimePoint now, Actions &actions)
{
    owned.sharedEvidence = owned.state.crashEvidence;
    if (owned.sharedEvidence == scheduling::CrashEvidence{}) {
        return;
    }
    const control::Pool *own = findPool(state, id);
    scheduling::PoolSummary summary = scheduling::summarise(owned.state, now);
    summary.crashEvidence = owned.sharedEvidence;
    for (const control::Pool &other : state.index.configuration->pools) {
        if (own != nullptr && other.kind == own->kind && other.id != id) {
            sendToOwner(state, other.id, other.owner, summary, now, actions);
        }
    }
}

/** Shares new evidence, and with @p includeKnown all of it, for owners that are new or missed a message. */
void shareCrashEvidence(ServingState &state, bool includeKnown, TimePoint now, Actions &actions)
{
    for (auto &[id, owned] : state.pools) {
        if (now < owned.ownedUntil && (includeKnown || owned.sharedEvidence != owned.state.crashEvidence)) {
            shareCrashEvidence(state, id, owned, now, actions);
        }
    }
}

void publishSummaries(ServingState &state, TimePoint now, Actions &actions)
{
    const auto &instances = state.index.configuration->instances;
    const bool includeRemote = now >= state.nextRemoteSummariesAt;
    if (includeRemote) {
        state.nextRemoteSummariesAt = now + remoteSummaryInterval(instances.size());
    }
    for (auto &[id, owned] : state.pools) {
        if (now >= owned.ownedUntil) {
            continue;
        }
        const scheduling::PoolSummary summary = scheduling::summarise(owned.state, now);
        for (const control::Instance &instance : instances) {
            if (instance.id != state.self && (includeRemote || instance.domain == state.home)) {
                actions.push_back(SendToPeer{instance.id, PoolMessage{id, summary}});
            }
        }
    }
    shareCrashEvidence(state, includeRemote, now, actions);
}

/** Handles an event of a server that another instance forwarded. Does not forward it again, so that it cannot circulate. */
template<typename Event>
void handleForwarded(ServingState &state, const Event &event, TimePoint now, Actions &actions)
{
    const std::size_t before = actions.size();
    handle(state, event, now, actions);
    const auto isForward = [](const Action &action) {
        const auto *send = std::get_if<SendToPeer>(&action);
        return send != nullptr && std::holds_alternative<Event>(send->message);
    };
    actions.erase(std::remove_if(actions.begin() + static_cast<std::ptrdiff_t>(before), actions.end(), isForward), actions.end());
}

void refreshOwnSummaries(ServingState &state, TimePoint now, Actions &actions)
{
    for (auto &[id, owned] : state.pools) {
        if (now < owned.ownedUntil) {
            handlePoolMessage(state, state.self, {id, scheduling::summarise(owned.state, now)}, now, actions);
        } else if (routing::PoolSummary *summary = findSummary(state, id)) {
            summary->reachable = false;
        }
    }
}

/** Returns all tokens once a shutdown has begun and the last call has ended. Tokens that are still held at the exit are lost. */
void returnTokens(ServingState &state, TimePoint now, Actions &actions)
{
    if (!state.draining || state.tokensReturned || !state.calls.empty()) {
        return;
    }
    state.tokensReturned = true;
    admission::LeaseActions decided;
    admission::close(state.quotas, now, decided);
    carryOut(state, decided, now, actions);
}

} // namespace

ServingState makeServingState(std::uint64_t process, std::uint64_t seed)
{
    ServingState state;
    state.process = process;
    state.quotas.process = process;
    state.random.seed(seed);
    return state;
}

void setConfiguration(
    ServingState &state, std::shared_ptr<const control::Configuration> configuration, InstanceId self, DomainId home, TimePoint now, Actions &actions)
{
    state.self = self;
    state.home = home;
    state.quotas.self = self;
    state.quotas.home = home;
    state.buckets.self = self;
    state.buckets.domain = home;
    // The routing index and the summaries point into the configuration, so the old one must live until both are replaced.
    const auto previous = state.index.configuration;
    state.index = buildConfigurationIndex(std::move(configuration));
    const control::Configuration &current = *state.index.configuration;
    state.keys = admission::buildKeyTable(current);
    state.routes = routing::buildRoutingIndex(current);
    admission::applyConfiguration(state.quotas, current, now);
    admission::applyConfiguration(state.buckets, current, now);
    for (const control::BucketOwner &owner : current.bucketOwners) {
        const control::FailureDomain *domain = findDomain(state.index, owner.domain);
        admission::setOwner(state.quotas, owner.domain, owner.owner, owner.fencing, domain != nullptr ? domain->share : 0);
        if (owner.domain != home) {
            admission::setPeer(state.buckets, owner.domain, owner.owner, owner.fencing, now);
        }
        if (owner.domain == home && owner.owner != self && state.buckets.epoch != 0) {
            static_cast<void>(admission::stopOwnership(state.buckets, now)); // after a lost lease the returned balance must not be handed over
        }
    }
    rebuildSummaries(state);
    applyToPools(state, now, actions);
}

void setFreshUntil(ServingState &state, TimePoint freshUntil) noexcept
{
    state.freshUntil = freshUntil;
}

void setPoolLease(ServingState &state, const PoolLease &lease, TimePoint now, Actions &actions)
{
    const control::Pool *pool = state.index.configuration ? findPool(state, lease.pool) : nullptr;
    if (pool == nullptr || pool->owner != state.self) {
        return;
    }
    const auto found = state.pools.find(lease.pool);
    if (found != state.pools.end() && found->second.state.fencing == lease.fencing) {
        found->second.ownedUntil = lease.ownedUntil;
        return;
    }
    if (found != state.pools.end()) {
        found->second.ownedUntil = now;
        refuseWaiting(state, lease.pool, now, actions); // the new pool state does not contain them
    }
    scheduling::SchedulingSettings settings;
    settings.seed = state.random();
    settings.expectedAdapters = state.index.configuration->adapters.size() + 1;
    settings.maximumLoadsInFlight = loadsInFlightOf(state, *pool);
    settings.loadsPerSecond = state.index.configuration->loadRate;
    OwnedPool owned;
    owned.state = scheduling::makePool(lease.pool, settings, now);
    owned.ownedUntil = lease.ownedUntil;
    scheduling::Takeover ownership;
    ownership.fencing = lease.fencing;
    for (const control::Instance &instance : state.index.configuration->instances) {
        ownership.instances.push_back(instance.id);
    }
    ownership.unknownGrantsExpireAt = now + maximumRequestDeadline;
    ownership.ordersAllowedFrom = lease.ordersFrom;
    scheduling::takeOver(owned.state, ownership, now);
    state.pools.insert_or_assign(lease.pool, std::move(owned));
    scheduling::Actions decided;
    scheduling::setDeclaration(state.pools.at(lease.pool).state, declarationOf(state, *pool), now, decided);
    carryOut(state, lease.pool, decided, now, actions);
    state.nextSummariesAt = now; // announces the new owner without delay
    state.nextRemoteSummariesAt = now;
}

void handlePeerMessage(ServingState &state, InstanceId from, PeerMessage message, TimePoint now, Actions &actions)
{
    if (!state.index.configuration) {
        return;
    }
    if (auto *pool = std::get_if<PoolMessage>(&message)) {
        handlePoolMessage(state, from, std::move(*pool), now, actions);
    } else if (const auto *announcement = std::get_if<gateway::BackendAnnouncement>(&message)) {
        handleForwarded(state, *announcement, now, actions);
    } else if (const auto *report = std::get_if<gateway::BackendReport>(&message)) {
        handleForwarded(state, *report, now, actions);
    } else {
        handleTokenMessage(state, std::move(message), now, actions);
    }
}

void tickPools(ServingState &state, TimePoint now, Actions &actions)
{
    for (auto &[id, owned] : state.pools) {
        scheduling::Actions decided;
        scheduling::tick(owned.state, now, decided);
        carryOut(state, id, decided, now, actions);
        if (now >= owned.ownedUntil && owned.state.waiting > 0) {
            refuseWaiting(state, id, now, actions);
        }
    }
    requestLoadTokens(state, now, actions);
    refreshOwnSummaries(state, now, actions);
    if (now >= state.nextSummariesAt) {
        state.nextSummariesAt = now + summaryInterval;
        publishSummaries(state, now, actions);
    }
}

void beginDrain(ServingState &state, TimePoint now, Actions &actions)
{
    state.draining = true;
    returnTokens(state, now, actions);
}

void tick(ServingState &state, TimePoint now, Actions &actions)
{
    if (!state.index.configuration) {
        return;
    }
    tickTokens(state, now, actions);
    tickPools(state, now, actions);
    tickCalls(state, now, actions);
    returnTokens(state, now, actions);
}

} // namespace mimosahollow::serving
