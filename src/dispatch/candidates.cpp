#include "internal.h"

#include "mimosahollow/dispatch/serverlimits.h"
#include "mimosahollow/serverpace/pacebounds.h"

#include <algorithm>

namespace mimosahollow::dispatch {

namespace {

constexpr Duration coldWindow = seconds(1); // the call rate of a cold backend server is per second
constexpr double olderVersionCost = 100; // more than all else, so that calls use copies of the new version as soon as one can take them
constexpr Duration adapterRateTime = seconds(4); // an instance sends a popular adapter about one call a second
constexpr std::size_t mostAdapterRates = 256;
constexpr double leastAdapterRate = 0.05; // per second: one call, several time constants ago

} // namespace

std::string_view whyUnusable(const DispatchState &state, const ServerView &server, const Call &call, TimePoint now)
{
    if (server.record.service != call.service) {
        return "other-service";
    }
    if (server.record.state != registry::ServerState::Ready) {
        return "not-ready";
    }
    if (server.isLeaving) {
        return "leaving";
    }
    if (!call.pinnedServer.empty() && call.pinnedServer != server.record.id) {
        return "not-pinned";
    }
    if (state.evacuatedDomains.contains(server.record.domain)) {
        return "evacuated-domain";
    }
    if (now < server.avoidUntil) {
        return "unreachable";
    }
    return call.triedServers.contains(server.record.id) ? "already-tried" : std::string_view();
}

unsigned capacity(const DispatchState &state, const ServerView &server, bool isEngine)
{
    if (isEngine) {
        return std::max(1U, static_cast<unsigned>(server.record.slots * state.options.maximumBatchFill));
    }
    return server.record.slots + state.options.plainQueueLimit;
}

/**
 * The limit matters when a backend server returns cold while all instances have waiting calls. In a large fleet the share is below one call per
 * second; each instance then starts at a random time, since one call per second from each of 58 instances is three times the permitted rate.
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

std::optional<Candidate> findCopy(ServerView &server, const Call &call, const NeededVersion &needed)
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
    const std::uint64_t version = copy->second.version;
    if (version < needed.oldestAccepted) {
        return std::nullopt;
    }
    return Candidate{&server, needed.required == 0 ? 0 : version, copy->second.readyAt, version < needed.required};
}

double currentPace(const DispatchState &state, const ServerView &server, TimePoint now)
{
    const double published = now < state.pacesUntil ? server.pace : 1;
    const double pace = serverpace::boundedPace(published * serverpace::statedFactor(server.localPace, now));
    if (server.localPace.awaited.empty()) {
        return pace;
    }
    const auto service = state.services.find(server.record.service);
    return service == state.services.end() ? pace : std::max(pace, serverpace::stalledPace(server.localPace, service->second.usualAnswer, now));
}

staleload::CountAge countAge(const DispatchState &state, const std::string &service, TimePoint now)
{
    const auto load = state.services.find(service);
    if (load == state.services.end()) {
        return {};
    }
    return staleload::ageOf(load->second.othersRunning, load->second.slots, now - state.countedAt, load->second.callTime);
}

/** The time of a call grows with the calls beside it, and all of it with the pace. Without known paces, the servers rank by load alone. */
staleload::ServerOption cost(DispatchState &state, const ServerView &server, const staleload::CountAge &age, TimePoint now)
{
    const double slots = std::max(1U, server.record.slots);
    const double load = (server.running + age.remaining * server.othersRunning + 1) / slots + serverpace::statedQueue(server.localPace, now);
    const double pace = currentPace(state, server, now);
    // (1 + load) x pace, less 1 so that a pace of 1 gives exactly the load.
    const double time = load * pace + (pace - 1);
    const double distance = server.record.domain == state.options.domain ? 0 : state.options.otherDomainCost;
    // Random noise keeps instances with the same counts from all choosing the same server.
    const double noise = std::uniform_real_distribution<double>(0, 0.03)(state.random);
    return {time + distance + noise + server.failureRate * state.options.failureCost, pace / slots};
}

ReviewBasis reviewBasis(const DispatchState &state, const Call &call, const catalog::ServiceSpec &service, TimePoint now)
{
    return {&service, neededVersion(state, call, now), countAge(state, call.service, now)};
}

Review review(DispatchState &state, ServerView &server, const Call &call, const ReviewBasis &basis, TimePoint now)
{
    const auto copy = findCopy(server, call, basis.version);
    if (!copy) {
        return {RefusalCause::AdapterNotLoaded, {}, {}};
    }
    if (copy->readyAt > now) {
        return {RefusalCause::AdapterNotLoaded, *copy, {}};
    }
    const double expected = server.running + staleload::expectedCalls(basis.age, server.othersRunning, server.record.slots);
    if (expected >= capacity(state, server, basis.service->engine.has_value())) {
        return {RefusalCause::NoCapacity, *copy, {}};
    }
    if (!acceptsColdCall(state, server, *basis.service, now)) {
        return {RefusalCause::ColdServers, *copy, {}};
    }
    staleload::ServerOption option = cost(state, server, basis.age, now);
    option.cost += copy->isOlder ? olderVersionCost : 0;
    if (!hasPermit(state, server, now)) {
        return {RefusalCause::LimitedServers, *copy, option};
    }
    return {std::nullopt, *copy, option};
}

/** Load pattern: an adapter that many ask for while two engines hold it. These get all of its calls, however few a server gets on average. */
double expectedArrivals(const DispatchState &state, const Call &call, unsigned slots, const staleload::CountAge &age, TimePoint now)
{
    const double evenly = age.renewedPerSlot * slots;
    const auto load = state.services.find(call.service);
    if (call.adapter.empty() || load == state.services.end()) {
        return evenly;
    }
    const auto sends = load->second.adapterSends.find({call.model, call.adapter});
    if (sends == load->second.adapterSends.end()) {
        return evenly;
    }
    const double others = std::max(1U, state.entryInstances) - 1.0;
    const double begun = rateAt(sends->second, adapterRateTime, now) * others * load->second.callTime.seconds * (1 - age.remaining);
    return std::max(evenly, begun);
}

void recordAdapterSend(DispatchState &state, const Call &call, TimePoint now)
{
    if (call.adapter.empty()) {
        return;
    }
    auto &sends = state.services[call.service].adapterSends;
    const std::pair key(call.model, call.adapter);
    if (sends.size() >= mostAdapterRates && !sends.contains(key)) {
        std::erase_if(sends, [now](const auto &item) {
            return rateAt(item.second, adapterRateTime, now) < leastAdapterRate;
        });
    }
    recordEvents(sends[key], 1, adapterRateTime, now);
}

void recordCallTime(DispatchState &state, const std::string &server, Duration taken)
{
    if (const auto found = state.servers.find(server); found != state.servers.end()) {
        staleload::recordCall(state.services[found->second.record.service].callTime, taken);
    }
}

} // namespace mimosahollow::dispatch
