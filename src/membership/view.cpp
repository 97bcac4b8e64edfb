#include "mimosahollow/membership/view.h"

#include "liveness.h"

#include <algorithm>

namespace mimosahollow::membership {

namespace {

std::int64_t millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

/** Discards the state of an older incarnation of the instance. */
void startNewIncarnation(KnownInstance &known, const InstanceRecord &record)
{
    known.record = record;
    known.lastHeartbeatAt = neverTime;
    known.lastAcknowledgedAt = neverTime;
    known.remoteSentAt = 0;
    known.relay = false;
}

/** Adds or updates an instance. Returns null for this instance itself, for an older incarnation, and if the table is full. */
KnownInstance *merge(View &view, const InstanceRecord &record, TimePoint lastSeenAt)
{
    if (record.name == view.self.name) {
        return nullptr;
    }
    auto found = view.known.find(record.name);
    if (found == view.known.end()) {
        if (view.known.size() >= view.options.maximumInstances) {
            return nullptr;
        }
        found = view.known.emplace(record.name, KnownInstance{}).first;
        found->second.record = record;
        found->second.lastSeenAt = lastSeenAt;
    } else if (record.incarnation > found->second.record.incarnation) {
        startNewIncarnation(found->second, record);
    } else if (record.incarnation < found->second.record.incarnation) {
        return nullptr;
    }
    found->second.lastSeenAt = std::max(found->second.lastSeenAt, lastSeenAt);
    return &found->second;
}

void mergeSample(View &view, const SampledInstance &sample, TimePoint now)
{
    const TimePoint lastSeenAt = now - milliseconds(sample.ageMilliseconds);
    if (now - lastSeenAt >= view.options.expirationTime) {
        return;
    }
    const auto before = view.known.find(sample.instance.name);
    const bool newer = before == view.known.end() || before->second.lastSeenAt < lastSeenAt;
    KnownInstance *known = merge(view, sample.instance, lastSeenAt);
    if (known != nullptr && newer) {
        known->relay = sample.relay;
    }
}

std::vector<SampledInstance> sampleKnown(const View &view, TimePoint now, std::mt19937_64 &random)
{
    std::vector<SampledInstance> sample;
    if (view.known.empty()) {
        return sample;
    }
    // Consecutive entries from a random start: each entry is equally likely, without a copy of the table.
    auto next = std::next(view.known.begin(), static_cast<std::ptrdiff_t>(random() % view.known.size()));
    for (std::size_t i = 0; i < std::min(view.options.sampleSize, view.known.size()); ++i) {
        const KnownInstance &known = next->second;
        if (now - known.lastSeenAt < view.options.expirationTime) {
            sample.push_back({known.record, static_cast<std::uint32_t>(millisecondsOf(now - known.lastSeenAt)), known.relay});
        }
        if (++next == view.known.end()) {
            next = view.known.begin();
        }
    }
    return sample;
}

Heartbeat heartbeatTo(const View &view, const KnownInstance &known, TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.incarnation = view.self.incarnation;
    heartbeat.sentAt = toNanoseconds(now);
    heartbeat.echoIncarnation = known.record.incarnation;
    heartbeat.echoSentAt = known.remoteSentAt;
    heartbeat.relay = view.relay == view.self.name;
    return heartbeat;
}

/**
 * Heartbeat targets in the other failure domains. For each domain this is an alive relay if there is one. Otherwise it is one of the
 * known relays and one of all members, or only one of all members if no relay is known, each in rotation.
 */
std::vector<const KnownInstance *> remoteRelays(const View &view)
{
    std::map<std::string_view, std::vector<const KnownInstance *>> relays;
    std::map<std::string_view, std::vector<const KnownInstance *>> members;
    for (const auto &[name, known] : view.known) {
        if (known.record.failureDomain != view.self.failureDomain) {
            members[known.record.failureDomain].push_back(&known);
            if (known.relay) {
                relays[known.record.failureDomain].push_back(&known);
            }
        }
    }
    std::vector<const KnownInstance *> targets;
    for (const auto &[domain, all] : members) {
        const auto &candidates = relays.contains(domain) ? relays[domain] : all;
        const auto alive = std::find_if(candidates.begin(), candidates.end(), [](const KnownInstance *known) {
            return known->alive;
        });
        const std::uint64_t turn = view.tick / view.options.remoteIntervalFactor;
        targets.push_back(alive != candidates.end() ? *alive : candidates[turn % candidates.size()]);
        if (alive == candidates.end() && &candidates != &all) {
            targets.push_back(all[turn % all.size()]);
        }
    }
    return targets;
}

std::vector<const KnownInstance *> targets(const View &view, bool wasRelay)
{
    std::vector<const KnownInstance *> chosen;
    for (const auto &[name, known] : view.known) {
        if (known.record.failureDomain == view.self.failureDomain) {
            chosen.push_back(&known);
        }
    }
    const bool isRelay = view.relay == view.self.name;
    // A final heartbeat announces that this instance is no longer the relay, so that remote relays do not count its silence as a failure.
    const bool stepsDown = wasRelay && !isRelay;
    if (stepsDown || (isRelay && view.tick % view.options.remoteIntervalFactor == 0)) {
        const auto remote = remoteRelays(view);
        chosen.insert(chosen.end(), remote.begin(), remote.end());
    }
    return chosen;
}

void updateAllLiveness(View &view, TimePoint now, ViewActions &actions)
{
    for (auto &[name, known] : view.known) {
        switch (updateLiveness(view, known, now)) {
        case LivenessChange::BecameAlive:
            actions.becameAlive.push_back(name);
            break;
        case LivenessChange::BecameSuspect:
            actions.becameSuspect.push_back(name);
            break;
        case LivenessChange::None:
            break;
        }
    }
}

} // namespace

void recordInstance(View &view, const InstanceRecord &record, TimePoint now)
{
    merge(view, record, now);
}

void onHeartbeat(View &view, std::string_view from, const Heartbeat &heartbeat, TimePoint now)
{
    const auto found = view.known.find(from);
    if (found == view.known.end() || found->second.record.incarnation != heartbeat.incarnation) {
        return; // a new process sends its Hello before its first heartbeat
    }
    KnownInstance &known = found->second;
    known.lastSeenAt = now;
    known.lastHeartbeatAt = now;
    known.remoteSentAt = std::max(known.remoteSentAt, heartbeat.sentAt);
    known.relay = heartbeat.relay;
    if (heartbeat.echoIncarnation == view.self.incarnation && heartbeat.echoSentAt != 0) {
        // An echo from the future or the distant past is invalid, and arithmetic with it could overflow.
        const TimePoint echo = fromNanoseconds(heartbeat.echoSentAt);
        if (echo <= now && echo > now - view.options.expirationTime) {
            known.lastAcknowledgedAt = std::max(known.lastAcknowledgedAt, echo);
        }
    }
    if (!heartbeat.leader.empty()) {
        view.leader = heartbeat.leader;
    }
    for (const SampledInstance &sample : heartbeat.known) {
        mergeSample(view, sample, now);
    }
}

ViewActions tickView(View &view, TimePoint now, std::mt19937_64 &random)
{
    ViewActions actions;
    std::erase_if(view.known, [&](const auto &item) {
        return !item.second.alive && now - item.second.lastSeenAt >= view.options.expirationTime;
    });
    updateAllLiveness(view, now, actions);
    std::string relay = chooseRelay(view, now);
    const bool wasRelay = view.relay == view.self.name;
    if (relay != view.relay) {
        view.relay = std::move(relay);
        actions.relayChanged = true;
    }
    const bool withSample = view.tick % view.options.remoteIntervalFactor == 0;
    for (const KnownInstance *known : targets(view, wasRelay)) {
        Heartbeat heartbeat = heartbeatTo(view, *known, now);
        if (withSample) {
            heartbeat.leader = view.leader;
            heartbeat.known = sampleKnown(view, now, random);
        }
        actions.heartbeats.push_back({known->record.name, std::move(heartbeat)});
    }
    ++view.tick;
    return actions;
}

bool isAlive(const View &view, std::string_view name) noexcept
{
    const auto found = view.known.find(name);
    return found != view.known.end() && found->second.alive;
}

} // namespace mimosahollow::membership
