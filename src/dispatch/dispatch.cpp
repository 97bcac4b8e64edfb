#include "mimosahollow/dispatch/dispatch.h"

#include "mimosahollow/dispatch/serverlimits.h"
#include "mimosahollow/quarantine/times.h"
#include "mimosahollow/registry/addressholder.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace mimosahollow::dispatch {

namespace {

constexpr double failureSmoothing = 0.15; // weight of the newest call: the average covers about seven calls
constexpr Duration coldWindow = seconds(1); // the call rate of a cold backend server is per second
constexpr Duration recheckInterval = milliseconds(100); // maximum time until the next decision when no event triggers one
constexpr Duration shortRetry = milliseconds(250); // a few service times of a plain service
constexpr Duration adapterRetry = milliseconds(800); // three adapter loads from the weight store
/**
 * Delay until a call is sent again to a backend server that did not have the adapter at the expected time: a quarter of a load time. Loads
 * are late when more adapters are in transit than the leader counts.
 */
constexpr Duration lateLoadExtension = milliseconds(60);
constexpr Duration suspicionPeriod = milliseconds(600); // several reports to the leader
constexpr Duration lateLoadLimit = milliseconds(1000); // a copy reported missing this long after its expected time is removed
constexpr Duration longRetry = milliseconds(1000); // no usable backend server, or limits that last for seconds

/** Whether @p server may receive @p call, regardless of its load, its adapters and its silence. */
bool isUsable(const DispatchState &state, const ServerView &server, const Call &call, TimePoint now)
{
    return server.record.state == registry::ServerState::Ready && !server.isLeaving && server.record.service == call.service
           && (call.pinnedServer.empty() || call.pinnedServer == server.record.id) && !state.evacuatedDomains.contains(server.record.domain)
           && now >= server.avoidUntil && !call.triedServers.contains(server.record.id);
}

/** Maximum number of concurrent calls sent to @p server. */
unsigned capacity(const DispatchState &state, const ServerView &server, bool isEngine)
{
    if (isEngine) {
        return std::max(1U, static_cast<unsigned>(server.record.slots * state.options.maximumBatchFill));
    }
    return server.record.slots + state.options.plainQueueLimit;
}

/**
 * Whether this instance may send another call to a cold server within its share of the cold call rate. The limit matters when a backend
 * server returns cold while all instances have waiting calls. In a large fleet the share is below one call per second; each instance then
 * starts at a random time, since one call per second from each of 58 instances is three times the permitted rate.
 */
bool acceptsColdCall(DispatchState &state, ServerView &server, const catalog::ServiceSpec &service, TimePoint now)
{
    if (now >= server.coldUntil || service.coldCallsPerSecond <= 0) {
        return true;
    }
    const double share = service.coldCallsPerSecond * state.options.coldRateShare / std::max(1U, state.entryInstances);
    const Duration window = share < 1 ? fromSeconds(1 / share) : coldWindow;
    if (share < 1 && server.firstColdSend == TimePoint{}) {
        server.firstColdSend = now + fromSeconds(std::uniform_real_distribution<double>(0, toSeconds(window))(state.random));
    }
    while (!server.coldSends.empty() && now - server.coldSends.front() >= window) {
        server.coldSends.pop_front();
    }
    return now >= server.firstColdSend && static_cast<double>(server.coldSends.size()) + 1 <= std::max(1.0, share);
}

/** Copy that can serve a call, on a backend server. */
struct Candidate
{
    ServerView *server = nullptr;
    std::uint64_t version = 0;
    TimePoint readyAt{};
};

/** Finds the copy of the adapter or base model that @p call needs on @p server; nullopt if there is none of the required version. */
std::optional<Candidate> findCopy(ServerView &server, const Call &call, std::uint64_t requiredVersion)
{
    if (call.model.empty()) {
        return Candidate{&server, 0, {}};
    }
    if (call.adapter.empty()) {
        return server.baseModels.contains(call.model) ? std::optional(Candidate{&server, 0, {}}) : std::nullopt;
    }
    const auto copy = server.adapters.find({call.model, call.adapter});
    if (copy == server.adapters.end()) {
        return std::nullopt;
    }
    if (copy->second.version < requiredVersion) {
        return std::nullopt;
    }
    return Candidate{&server, requiredVersion == 0 ? 0 : copy->second.version, copy->second.readyAt};
}

/** Oldest version of its adapter that @p call may use; 0: any version. */
std::uint64_t requiredVersion(const DispatchState &state, const Call &call)
{
    const auto found = call.adapter.empty() ? state.requiredVersions.end() : state.requiredVersions.find(call.model + "/" + call.adapter);
    return found == state.requiredVersions.end() ? 0 : found->second;
}

/** Cost of sending a call to @p server, in batches; the server with the lowest cost is chosen. */
double cost(DispatchState &state, const ServerView &server)
{
    const double load = (server.running + server.othersRunning + 1.0) / std::max(1U, server.record.slots);
    const double distance = server.record.domain == state.options.domain ? 0 : state.options.otherDomainCost;
    // Random noise keeps instances with the same counts from all choosing the same server.
    const double noise = std::uniform_real_distribution<double>(0, 0.03)(state.random);
    return load + distance + noise + server.failureRate * state.options.failureCost;
}

/** Time at which @p share of the latency objective of @p call has passed, but no later than its deadline. */
TimePoint waitLimit(const Call &call, double share)
{
    const auto part = std::chrono::duration_cast<Duration>((call.objectiveEnd - call.arrived) * share);
    return std::min(call.arrived + part, call.deadline);
}

/**
 * Lets a call wait if its adapter is expected before the wait limit, and otherwise refuses it immediately with the time after which the
 * adapter can be loaded. Refusals occur when calls need more rare adapters than the weight store delivers.
 */
Decision waitForAdapter(const DispatchState &state, const Call &call, TimePoint readyAt, TimePoint now)
{
    const TimePoint limit = waitLimit(call, state.options.adapterWaitShare);
    if (readyAt > now) {
        if (readyAt <= limit) {
            return Wait{RefusalCause::AdapterNotLoaded, readyAt};
        }
        return Refuse{RefusalCause::AdapterNotLoaded, readyAt - now};
    }
    // The expected load time applies to a call that has just arrived; the load for a waiting call is due sooner.
    const bool isNew = now - call.arrived < recheckInterval;
    if (now >= limit || (isNew && now + state.expectedLoadTime > limit)) {
        return Refuse{RefusalCause::AdapterNotLoaded, std::max(adapterRetry, state.expectedLoadTime)};
    }
    return Wait{RefusalCause::AdapterNotLoaded, std::min(limit, now + recheckInterval)};
}

/**
 * Whether a call is refused since those before it use the permits for @p wait. A new call begins to wait only if it may be answered in time: once
 * the queue is longer, all calls are answered late, and no fewer are refused.
 */
bool isTooLateForPermits(const DispatchState &state, const Call &call, QueuePosition position, Duration wait, TimePoint now)
{
    return now + wait > waitLimit(call, position.isWaiting ? state.options.adapterWaitShare : state.options.waitShare);
}

/** Lets a call wait for the end of a silence after which it can still be served, and otherwise refuses it at once. */
Decision waitForSilence(const DispatchState &state, const Call &call, TimePoint end, TimePoint now)
{
    if (end > waitLimit(call, state.options.adapterWaitShare)) {
        return Refuse{RefusalCause::SilentServers, end - now};
    }
    return Wait{RefusalCause::SilentServers, end};
}

/** Lets a call without a usable backend server wait, or refuses it after its wait limit. */
Decision waitOrRefuse(const DispatchState &state, const Call &call, RefusalCause cause, TimePoint readyAt, TimePoint now)
{
    if (cause == RefusalCause::AdapterNotLoaded) {
        return waitForAdapter(state, call, readyAt, now);
    }
    // Calls that wait for permits get another copy of their adapter, so they wait as long as those without a copy.
    const bool isCopyExpected = cause == RefusalCause::LimitedServers && !call.adapter.empty();
    const TimePoint limit = waitLimit(call, isCopyExpected ? state.options.adapterWaitShare : state.options.waitShare);
    if (now >= limit) {
        return Refuse{cause, cause == RefusalCause::NoServer || cause == RefusalCause::LimitedServers ? longRetry : shortRetry};
    }
    return Wait{cause, std::min(limit, now + recheckInterval)};
}

} // namespace

std::string_view toString(RefusalCause cause) noexcept
{
    switch (cause) {
    case RefusalCause::NoServer:
        return "no-server";
    case RefusalCause::NoCapacity:
        return "no-capacity";
    case RefusalCause::AdapterNotLoaded:
        return "adapter-not-loaded";
    case RefusalCause::ColdServers:
        return "cold-servers";
    case RefusalCause::LimitedServers:
        return "limited-servers";
    case RefusalCause::SilentServers:
        return "silent-servers";
    case RefusalCause::QuarantinedPrompt:
        return "quarantined-prompt";
    }
    return "unknown";
}

bool isQuarantined(const DispatchState &state, const Call &call)
{
    return std::any_of(call.fingerprints.begin(), call.fingerprints.end(), [&state](const std::string &fingerprint) {
        return state.quarantinedParts.contains(fingerprint);
    });
}

Refuse quarantineRefusal()
{
    return {RefusalCause::QuarantinedPrompt, quarantine::retryAfter};
}

Decision decide(DispatchState &state, const Call &call, TimePoint now, QueuePosition position)
{
    if (isQuarantined(state, call)) {
        return quarantineRefusal();
    }
    const catalog::ServiceSpec *service = state.catalog ? state.catalog->findService(call.service) : nullptr;
    if (service == nullptr) {
        return Refuse{RefusalCause::NoServer, longRetry};
    }
    const bool isEngine = service->engine.has_value();
    const std::uint64_t version = requiredVersion(state, call);
    std::optional<Candidate> best;
    double bestCost = 0;
    double commonLimit = 0; // of all usable servers that have named one
    ServerView *bestLimited = nullptr; // would be chosen with a permit
    double bestLimitedCost = 0;
    TimePoint nextReady{};
    TimePoint silenceEnd = TimePoint::max();
    RefusalCause cause = RefusalCause::NoServer;
    for (auto &[id, server] : state.servers) {
        if (!isUsable(state, server, call, now)) {
            continue;
        }
        if (now < server.silentUntil) {
            silenceEnd = std::min(silenceEnd, server.silentUntil);
            continue;
        }
        commonLimit += server.callsPerSecond;
        const auto copy = findCopy(server, call, version);
        if (!copy) {
            cause = std::max(cause, RefusalCause::AdapterNotLoaded);
            continue;
        }
        if (copy->readyAt > now) {
            cause = std::max(cause, RefusalCause::AdapterNotLoaded);
            nextReady = nextReady == TimePoint{} ? copy->readyAt : std::min(nextReady, copy->readyAt);
            continue;
        }
        if (server.running + server.othersRunning >= capacity(state, server, isEngine)) {
            cause = std::max(cause, RefusalCause::NoCapacity);
            continue;
        }
        if (!acceptsColdCall(state, server, *service, now)) {
            cause = std::max(cause, RefusalCause::ColdServers);
            continue;
        }
        const double value = cost(state, server);
        if (!hasPermit(state, server, now)) {
            cause = std::max(cause, RefusalCause::LimitedServers);
            if (bestLimited == nullptr || value < bestLimitedCost) {
                bestLimited = &server;
                bestLimitedCost = value;
            }
            continue;
        }
        if (!best || value < bestCost) {
            best = copy;
            bestCost = value;
        }
    }
    if (bestLimited != nullptr && (!best || bestLimitedCost < bestCost)) {
        bestLimited->permitWishes.insert(call.id);
    }
    if (best) {
        return Send{best->server->record.id, best->server->record.address, best->version, best->server->record.born};
    }
    if (cause == RefusalCause::NoServer && silenceEnd != TimePoint::max()) {
        return waitForSilence(state, call, silenceEnd, now);
    }
    if (!call.pinnedServer.empty() && nextReady == TimePoint{}) {
        return Refuse{cause, std::max(adapterRetry, state.expectedLoadTime)};
    }
    if (cause == RefusalCause::LimitedServers && position.ahead > 0) {
        const double sendRate = expectedSendRate(state, call.service, commonLimit, now);
        const Duration wait = fromSeconds(position.ahead / sendRate);
        if (isTooLateForPermits(state, call, position, wait, now)) {
            return Refuse{cause, permitRetryDelay(state.services[call.service], sendRate, wait, now)};
        }
    }
    return waitOrRefuse(state, call, cause, nextReady, now);
}

void callStarted(DispatchState &state, const std::string &server, TimePoint now)
{
    if (const auto found = state.servers.find(server); found != state.servers.end()) {
        ++found->second.running;
        recordSend(state, found->second.record.service, now);
        takePermit(found->second, now);
        if (now < found->second.coldUntil) {
            found->second.coldSends.push_back(now);
        }
    }
}

void callEnded(DispatchState &state, const std::string &server, CallResult result, TimePoint now)
{
    const auto found = state.servers.find(server);
    if (found == state.servers.end()) {
        return;
    }
    ServerView &view = found->second;
    view.running -= view.running > 0 ? 1 : 0;
    if (result == CallResult::Answered || result == CallResult::NotRun) {
        view.connectFailures = 0;
    }
    switch (result) {
    case CallResult::Answered:
        view.failureRate *= 1 - failureSmoothing;
        break;
    case CallResult::Failed:
        view.failureRate += (1 - view.failureRate) * failureSmoothing;
        break;
    case CallResult::Unreachable:
        view.failureRate += (1 - view.failureRate) * failureSmoothing;
        if (now >= view.avoidUntil) { // calls sent at the same time fail together and count once
            view.avoidUntil = now + state.options.connectFailurePause * (1U << std::min(view.connectFailures, state.options.maximumPauseDoublings));
            ++view.connectFailures;
        }
        break;
    case CallResult::NotRun:
    case CallResult::Abandoned:
        break;
    }
}

bool updateServer(DispatchState &state, const registry::ServerRecord &record, TimePoint now)
{
    if (record.state != registry::ServerState::Gone && !registry::takeAddress(state.servers, record)) {
        return false;
    }
    ServerView &view = state.servers[record.id];
    const bool isKnown = !view.record.id.empty();
    if (isKnown) {
        const bool isOlder = record.born < view.record.born
                             || (record.born == view.record.born
                                 && (record.sequence < view.record.sequence || (record.sequence == view.record.sequence && record.state <= view.record.state)));
        if (isOlder) {
            return false;
        }
    }
    if (!isKnown || view.record.born != record.born) {
        const unsigned running = isKnown ? view.running : 0;
        view = {};
        view.running = running; // calls sent to the previous incarnation have not ended yet
    }
    view.record = record;
    view.key = registry::serverKey(record.id);
    if (now >= view.coldUntil) {
        view.firstColdSend = {}; // drawn anew: those of the previous cold period have passed, so all instances would send at once
    }
    view.coldUntil = now + milliseconds(record.coldMilliseconds);
    if (!view.hasPlacement || record.held.empty()) {
        view.adapters.clear();
    }
    view.baseModels.clear();
    for (const registry::HeldModel &held : record.held) {
        if (held.adapter.empty()) {
            view.baseModels.insert(held.model);
        } else if (!view.hasPlacement) {
            view.adapters[{held.model, held.adapter}] = {held.version, now, now};
        }
    }
    return true;
}

void applyPlacement(DispatchState &state, const fleetlink::PlacementUpdate &update, TimePoint now)
{
    if (update.term < state.placementTerm) {
        return;
    }
    if (update.term > state.placementTerm) {
        for (auto &[id, server] : state.servers) {
            server.placementNumber = 0;
        }
    }
    state.placementTerm = update.term;
    for (const fleetlink::ServerPlacement &placement : update.servers) {
        const auto found = state.servers.find(placement.server);
        if (found == state.servers.end() || found->second.record.born != placement.born) {
            continue;
        }
        ServerView &view = found->second;
        if (update.number < view.placementNumber) {
            continue; // came another way than the newer one, through a relay or from the leader
        }
        view.placementNumber = update.number;
        view.hasPlacement = true;
        view.adapters.clear();
        for (const fleetlink::PlacedAdapter &adapter : placement.adapters) {
            const TimePoint readyAt = now + milliseconds(adapter.readyMilliseconds);
            view.adapters[{adapter.model, adapter.adapter}] = {adapter.version, readyAt, readyAt};
        }
    }
}

void applyLoad(DispatchState &state, const fleetlink::LoadDigest &digest, TimePoint now)
{
    if (digest.term < state.placementTerm) {
        return;
    }
    std::unordered_map<std::uint32_t, unsigned> running;
    running.reserve(digest.servers.size());
    for (const fleetlink::ServerLoad &load : digest.servers) {
        running[load.serverKey] = load.running;
    }
    std::unordered_map<std::uint32_t, double> limits;
    for (const fleetlink::ServerLimit &limit : digest.limits) {
        limits[limit.serverKey] = limit.callsPerSecond;
    }
    for (auto &[id, server] : state.servers) {
        if (digest.knowsLimits) {
            const auto limit = limits.find(server.key);
            applyLimit(server, limit == limits.end() ? 0 : limit->second, now);
        }
        const auto found = running.find(server.key);
        const unsigned total = found == running.end() ? 0 : found->second;
        server.othersRunning = total - std::min(total, server.reportedRunning);
    }
}

void handleMissingModel(DispatchState &state, const std::string &server, const Call &call, TimePoint now)
{
    const auto found = state.servers.find(server);
    if (found == state.servers.end()) {
        return;
    }
    if (call.model.empty()) {
        // A plain service has no models, so another backend server has taken its address. Only a newer announcement makes the previous one usable.
        found->second.record.state = registry::ServerState::Gone;
    } else if (call.adapter.empty()) {
        found->second.baseModels.erase(call.model);
    } else if (const auto copy = found->second.adapters.find({call.model, call.adapter}); copy != found->second.adapters.end()) {
        if (now - copy->second.expectedAt < lateLoadLimit) {
            copy->second.readyAt = now + lateLoadExtension;
        } else {
            found->second.adapters.erase(copy);
            found->second.suspectUntil = now + suspicionPeriod;
        }
    }
}

} // namespace mimosahollow::dispatch
