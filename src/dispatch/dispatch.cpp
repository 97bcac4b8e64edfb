#include "internal.h"

#include "mimosahollow/dispatch/serverlimits.h"
#include "mimosahollow/quarantine/times.h"

#include <algorithm>
#include <vector>

namespace mimosahollow::dispatch {

namespace {

constexpr double failureSmoothing = 0.15; // weight of the newest call: the average covers about seven calls

/** What the backend servers of a service can do for a call now. */
struct Scan
{
    std::vector<Candidate> candidates;
    std::vector<staleload::ServerOption> options; // of the candidates
    unsigned slots = 0; // of the candidates
    double lowestCost = 0;
    ReviewBasis basis;
    double commonLimit = 0; // of all usable servers that have named one
    ServerView *bestLimited = nullptr; // would be a candidate with a permit
    double bestLimitedCost = 0;
    TimePoint nextReady{};
    TimePoint silenceEnd = TimePoint::max();
    RefusalCause cause = RefusalCause::NoServer; // without candidates
};

Scan scanServers(DispatchState &state, const Call &call, const catalog::ServiceSpec &service, TimePoint now)
{
    Scan scan;
    scan.basis = reviewBasis(state, call, service, now);
    for (auto &[id, server] : state.servers) {
        if (!whyUnusable(state, server, call, now).empty()) {
            continue;
        }
        if (now < server.silentUntil) {
            scan.silenceEnd = std::min(scan.silenceEnd, server.silentUntil);
            continue;
        }
        scan.commonLimit += server.callsPerSecond;
        const Review result = review(state, server, call, scan.basis, now);
        if (!result.obstacle) {
            scan.lowestCost = scan.candidates.empty() ? result.option.cost : std::min(scan.lowestCost, result.option.cost);
            scan.candidates.push_back(result.copy);
            scan.options.push_back(result.option);
            scan.slots += server.record.slots;
            continue;
        }
        scan.cause = std::max(scan.cause, *result.obstacle);
        if (result.obstacle == RefusalCause::AdapterNotLoaded && result.copy.readyAt > now) {
            scan.nextReady = scan.nextReady == TimePoint{} ? result.copy.readyAt : std::min(scan.nextReady, result.copy.readyAt);
        }
        if (result.obstacle == RefusalCause::LimitedServers && (scan.bestLimited == nullptr || result.option.cost < scan.bestLimitedCost)) {
            scan.bestLimited = &server;
            scan.bestLimitedCost = result.option.cost;
        }
    }
    return scan;
}

Send chooseCandidate(DispatchState &state, const Call &call, const Scan &scan, TimePoint now)
{
    const double arrivals = expectedArrivals(state, call, scan.slots, scan.basis.age, now);
    const double draw = arrivals > 0 ? std::uniform_real_distribution<double>(0, 1)(state.random) : 0;
    const Candidate &chosen = scan.candidates[staleload::chooseServer(scan.options, arrivals, draw)];
    const registry::ServerRecord &record = chosen.server->record;
    return {record.id, record.address, chosen.version, record.born};
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
    Scan scan = scanServers(state, call, *service, now);
    if (scan.bestLimited != nullptr && (scan.candidates.empty() || scan.bestLimitedCost < scan.lowestCost)) {
        scan.bestLimited->permitWishes.insert(call.id);
    }
    if (!scan.candidates.empty()) {
        return chooseCandidate(state, call, scan, now);
    }
    if (scan.cause == RefusalCause::NoServer && scan.silenceEnd != TimePoint::max()) {
        return waitForSilence(state, call, scan.silenceEnd, now);
    }
    if (!call.pinnedServer.empty() && scan.nextReady == TimePoint{}) {
        return Refuse{scan.cause, std::max(adapterRetry, state.expectedLoadTime)};
    }
    if (scan.cause == RefusalCause::LimitedServers && position.ahead > 0) {
        const double sendRate = expectedSendRate(state, call.service, scan.commonLimit, now);
        const Duration wait = fromSeconds(position.ahead / sendRate);
        if (isTooLateForPermits(state, call, position, wait, now)) {
            return Refuse{scan.cause, permitRetryDelay(state.services[call.service], sendRate, wait, now)};
        }
    }
    return waitOrRefuse(state, call, scan.cause, scan.nextReady, now);
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

} // namespace mimosahollow::dispatch
