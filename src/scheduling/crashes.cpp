#include "crashes.h"

#include "placement.h"

#include "mimosahollow/quarantine/requestname.h"
#include "mimosahollow/quarantine/times.h"
#include "mimosahollow/scheduling/pool.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

constexpr Duration resetMemory = seconds(30); // within which the next process of a server announces itself
constexpr std::size_t maximumSharedEnds = 32; // bounds the messages to other owners; a verdict needs five ends at most

/** Tells the ledger and the other owners of the newest sound answers to calls with @p parts. */
template<typename Parts>
void copySoundAnswers(PoolState &state, const Parts &parts)
{
    for (const std::string &part : parts) {
        if (const auto soundAt = quarantine::lastSoundAnswer(state.soundParts, part)) {
            quarantine::recordSoundAnswer(state.crashes, part, *soundAt);
            state.crashEvidence.soundAnswers[part] = *soundAt;
        }
    }
}

/** Removes what the ledger has forgotten too, and all but the newest ends. */
void boundEvidence(PoolState &state, TimePoint now)
{
    CrashEvidence &evidence = state.crashEvidence;
    const std::size_t surplus = evidence.ends.size() - std::min(evidence.ends.size(), maximumSharedEnds);
    evidence.ends.erase(evidence.ends.begin(), evidence.ends.begin() + static_cast<std::ptrdiff_t>(surplus));
    std::erase_if(evidence.ends, [&](const CrashEvidence::End &end) {
        return now - end.at > state.crashes.options.memory;
    });
    std::erase_if(evidence.soundAnswers, [&state](const auto &item) {
        return !state.crashes.parts.contains(item.first);
    });
}

/** Applies the quarantines that this owner or another one has decided. Returns whether there are new ones. */
bool enforceQuarantine(PoolState &state)
{
    const std::size_t before = state.crashes.quarantined.size();
    for (const auto &[part, since] : state.crashEvidence.quarantinedSince) {
        state.crashes.quarantined.insert(part);
    }
    return state.crashes.quarantined.size() > before;
}

void refuseQuarantinedWaiting(PoolState &state, Actions &actions)
{
    for (std::uint32_t i = 0; i < state.records.size(); ++i) {
        if (state.records[i].phase == RequestPhase::Waiting && isQuarantined(state, state.records[i].request)) {
            refuseWaiting(state, i, RefusalReason::PromptQuarantined, quarantine::retryAfter, actions);
        }
    }
}

} // namespace

bool isQuarantined(const PoolState &state, const AcquireRequest &request)
{
    return !state.crashEvidence.quarantinedSince.empty() && std::any_of(request.promptParts.begin(), request.promptParts.end(), [&state](std::uint64_t part) {
        return state.crashEvidence.quarantinedSince.contains(quarantine::nameOfHash(part));
    });
}

void refuseQuarantined(const AcquireRequest &request, Actions &actions)
{
    refuse(request, RefusalReason::PromptQuarantined, quarantine::retryAfter, actions);
}

void judgePrompt(PoolState &state, const RequestRecord &record, const Release &release, TimePoint now)
{
    if (record.request.promptParts.empty() || record.grantedAt == TimePoint{}) {
        return;
    }
    if (release.outcome == ReleaseOutcome::Completed) {
        for (const std::uint64_t part : record.request.promptParts) {
            quarantine::recordSoundAnswer(state.soundParts, quarantine::nameOfHash(part), now);
        }
        return;
    }
    const bool isShort = release.firstTokenLatency == Duration{} || now - (record.grantedAt + release.firstTokenLatency) < quarantine::firstTokensTime;
    if (release.outcome != ReleaseOutcome::ConnectionReset || !isShort) {
        return;
    }
    PoolState::BrokenAnswers &broken = state.brokenAnswers[{number(state.servers[record.server].id), record.incarnation}];
    broken.since = broken.parts.empty() ? now : broken.since;
    for (const std::uint64_t part : record.request.promptParts) {
        broken.parts.insert(quarantine::nameOfHash(part));
    }
}

void serverProcessEnded(PoolState &state, const ServerState &server, TimePoint now)
{
    const auto broken = state.brokenAnswers.extract({number(server.id), server.incarnation});
    if (broken.empty() || now - broken.mapped().since > resetMemory) {
        return;
    }
    const auto &[since, parts] = broken.mapped();
    const quarantine::ServerEnd end{std::to_string(number(server.id)), server.incarnation, {parts.begin(), parts.end()}};
    quarantine::recordEnd(state.crashes, end, since);
    state.crashEvidence.ends.push_back({end, since});
    copySoundAnswers(state, parts);
}

void applyCrashEvidence(PoolState &state, const CrashEvidence &evidence)
{
    for (const CrashEvidence::End &shared : evidence.ends) {
        quarantine::recordEnd(state.crashes, shared.end, shared.at);
    }
    for (const auto &[part, soundAt] : evidence.soundAnswers) {
        quarantine::recordSoundAnswer(state.crashes, part, soundAt);
    }
    for (const auto &[part, since] : evidence.quarantinedSince) {
        // The other owner may be about to release what this one has released.
        const auto released = state.crashes.released.find(part);
        if (released == state.crashes.released.end() || released->second < since) {
            state.crashEvidence.quarantinedSince.try_emplace(part, since);
        }
    }
}

void planQuarantine(PoolState &state, TimePoint now, Actions &actions)
{
    std::erase_if(state.brokenAnswers, [now](const auto &item) {
        return now - item.second.since > resetMemory;
    });
    auto &quarantinedSince = state.crashEvidence.quarantinedSince;
    if (state.crashes.ends.empty() && quarantinedSince.empty()) {
        return;
    }
    copySoundAnswers(state, quarantine::suspects(state.crashes));
    for (const std::string &part : quarantine::findCulprits(state.crashes, now)) {
        quarantinedSince.try_emplace(part, now);
    }
    boundEvidence(state, now);
    if (enforceQuarantine(state)) {
        refuseQuarantinedWaiting(state, actions);
    }
    std::erase_if(quarantinedSince, [&state, now](const auto &item) {
        const bool isOver = now - item.second >= quarantine::quarantineTime;
        if (isOver) {
            quarantine::release(state.crashes, item.first, now);
        }
        return isOver;
    });
}

} // namespace mimosahollow::scheduling
