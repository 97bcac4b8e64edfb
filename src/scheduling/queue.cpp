#include "queue.h"

#include "lookup.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>

namespace mimosahollow::scheduling {

namespace {

// Added to the arrival time for each output token of a request, so that shorter requests may overtake it; about the time that an
// engine needs for a token.
constexpr std::chrono::microseconds handicapPerToken(5000);
// An organisation that used idle capacity earlier keeps at most this debt when it becomes active again: about the tokens that
// one server generates in 30 s.
constexpr double largestDebtTokens = 20000;
constexpr double largestDebtLoads = 20;

/** Clamps the virtual time of an organisation that becomes active to [lowest active, lowest active + debt]. */
double activated(double counter, double lowest, double debt) noexcept
{
    return std::clamp(counter, lowest, lowest + debt);
}

TimePoint priorityOf(const PoolState &state, const RequestRecord &record)
{
    const Duration handicap = handicapPerToken * static_cast<std::int64_t>(record.request.maximumOutputTokens);
    return record.arrival + std::min(handicap, state.settings.maximumHandicap);
}

/** Replaces @p best by a waiting request of the adapter if one is to be served before it. */
void considerList(const PoolState &state, std::uint32_t adapter, std::uint32_t &best) noexcept
{
    for (std::uint32_t i = state.adapters[adapter].firstWaiting; i != noIndex; i = state.records[i].next) {
        if (best == noIndex) {
            best = i;
            continue;
        }
        const RequestRecord &candidate = state.records[i];
        const RequestRecord &present = state.records[best];
        const double candidateServed = state.organisations[number(candidate.request.organisation)].servedTokens;
        const double presentServed = state.organisations[number(present.request.organisation)].servedTokens;
        if (candidateServed < presentServed || (candidateServed == presentServed && candidate.priority < present.priority)) {
            best = i;
        }
    }
}

/** Waiting requests of one organisation, and its virtual time while they start one after the other. */
struct OrganisationQueue
{
    double servedTokens = 0;
    double weight = 1;
    std::vector<std::uint32_t> records; /**< The next one is the last. */
};

std::map<std::uint32_t, OrganisationQueue> organisationQueues(const PoolState &state)
{
    std::map<std::uint32_t, OrganisationQueue> queues;
    for (std::uint32_t i = 0; i < state.records.size(); ++i) {
        if (state.records[i].phase == RequestPhase::Waiting) {
            queues[number(state.records[i].request.organisation)].records.push_back(i);
        }
    }
    for (auto &[organisation, queue] : queues) {
        queue.servedTokens = state.organisations[organisation].servedTokens;
        queue.weight = state.organisations[organisation].weight;
        std::sort(queue.records.begin(), queue.records.end(), [&state](std::uint32_t left, std::uint32_t right) {
            return state.records[left].priority > state.records[right].priority;
        });
    }
    return queues;
}

} // namespace

void activate(PoolState &state, OrganisationState &organisation) noexcept
{
    // An organisation with running requests is active: it keeps its virtual time while its queue is briefly empty.
    if (organisation.waiting + organisation.running > 0) {
        return;
    }
    double tokens = state.tokenVirtualTime;
    double loads = state.loadVirtualTime;
    bool others = false;
    for (const OrganisationState &other : state.organisations) {
        if (other.waiting + other.running > 0) {
            tokens = others ? std::min(tokens, other.servedTokens) : other.servedTokens;
            loads = others ? std::min(loads, other.servedLoads) : other.servedLoads;
            others = true;
        }
    }
    organisation.servedTokens = activated(organisation.servedTokens, tokens, largestDebtTokens / organisation.weight);
    organisation.servedLoads = activated(organisation.servedLoads, loads, largestDebtLoads / organisation.weight);
}

Duration minimumRunTime(const PoolState &state, const AcquireRequest &request) noexcept
{
    return fromSeconds(request.maximumOutputTokens * state.minimumSecondsPerToken);
}

double estimatedTokens(const AcquireRequest &request) noexcept
{
    return static_cast<double>(request.promptTokens) + static_cast<double>(request.maximumOutputTokens);
}

std::uint32_t newRecord(PoolState &state, const AcquireRequest &request, TimePoint now)
{
    std::uint32_t position = state.freeRecord;
    if (position == noIndex) {
        position = static_cast<std::uint32_t>(state.records.size());
        state.records.emplace_back();
    } else {
        state.freeRecord = state.records[position].next;
    }
    RequestRecord &record = state.records[position];
    record = RequestRecord{};
    record.request = request;
    record.arrival = now;
    record.priority = priorityOf(state, record);
    state.index.insert(request.id, position);
    return position;
}

void freeRecord(PoolState &state, std::uint32_t record) noexcept
{
    RequestRecord &freed = state.records[record];
    if (state.index.find(freed.request.id) == record) {
        state.index.erase(freed.request.id);
    }
    freed.phase = RequestPhase::Free;
    freed.next = state.freeRecord;
    state.freeRecord = record;
}

void enqueue(PoolState &state, std::uint32_t record)
{
    RequestRecord &added = state.records[record];
    AdapterState &adapter = adapterState(state, added.request.adapter);
    OrganisationState &organisation = organisationState(state, added.request.organisation);
    ++organisation.waiting;
    ++state.waiting;
    added.phase = RequestPhase::Waiting;
    added.previous = noIndex;
    added.next = adapter.firstWaiting;
    if (adapter.firstWaiting != noIndex) {
        state.records[adapter.firstWaiting].previous = record;
    }
    adapter.firstWaiting = record;
    if (adapter.waiting++ == 0) {
        adapter.waitingPosition = static_cast<std::uint32_t>(state.waitingAdapters.size());
        state.waitingAdapters.push_back(number(added.request.adapter));
    }
}

void dequeue(PoolState &state, std::uint32_t record) noexcept
{
    RequestRecord &removed = state.records[record];
    AdapterState &adapter = state.adapters[number(removed.request.adapter)];
    (removed.previous == noIndex ? adapter.firstWaiting : state.records[removed.previous].next) = removed.next;
    if (removed.next != noIndex) {
        state.records[removed.next].previous = removed.previous;
    }
    removed.next = noIndex;
    removed.previous = noIndex;
    --state.organisations[number(removed.request.organisation)].waiting;
    --state.waiting;
    if (--adapter.waiting == 0) {
        const std::uint32_t last = state.waitingAdapters.back();
        state.waitingAdapters[adapter.waitingPosition] = last;
        state.adapters[last].waitingPosition = adapter.waitingPosition;
        state.waitingAdapters.pop_back();
        adapter.waitingPosition = noIndex;
    }
}

std::uint32_t nextForServer(const PoolState &state, const ServerState &server) noexcept
{
    std::uint32_t best = noIndex;
    if (state.waiting == 0) {
        return best;
    }
    considerList(state, 0, best);
    for (const AdapterSlot &slot : server.slots) {
        if (slot.phase == SlotPhase::Resident) {
            considerList(state, number(slot.adapter), best);
        }
    }
    return best;
}

std::vector<std::uint32_t> simulateStarts(const PoolState &state, const std::function<bool(const AcquireRequest &)> &starts)
{
    std::map<std::uint32_t, OrganisationQueue> queues = organisationQueues(state);
    const auto isLater = [&state](const OrganisationQueue *left, const OrganisationQueue *right) {
        return left->servedTokens != right->servedTokens ? left->servedTokens > right->servedTokens
                                                         : state.records[left->records.back()].priority > state.records[right->records.back()].priority;
    };
    std::priority_queue<OrganisationQueue *, std::vector<OrganisationQueue *>, decltype(isLater)> next(isLater);
    for (auto &[organisation, queue] : queues) {
        next.push(&queue);
    }
    std::vector<std::uint32_t> passedOver;
    while (!next.empty()) {
        OrganisationQueue &queue = *next.top();
        next.pop();
        const std::uint32_t record = queue.records.back();
        queue.records.pop_back();
        if (const AcquireRequest &request = state.records[record].request; starts(request)) {
            queue.servedTokens += estimatedTokens(request) / queue.weight;
        } else {
            passedOver.push_back(record);
        }
        if (!queue.records.empty()) {
            next.push(&queue);
        }
    }
    return passedOver;
}

} // namespace mimosahollow::scheduling
