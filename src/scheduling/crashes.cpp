#include "crashes.h"

#include "placement.h"

#include "mimosahollow/quarantine/times.h"

#include <algorithm>

namespace mimosahollow::scheduling {

namespace {

constexpr Duration resetMemory = seconds(30); // within which the next process of a server announces itself

std::string nameOf(std::uint64_t part)
{
    return std::to_string(part);
}

/** Tells the ledger of the newest sound answers to calls with @p parts. */
template<typename Parts>
void copySoundAnswers(PoolState &state, const Parts &parts)
{
    for (const std::string &part : parts) {
        if (const auto soundAt = quarantine::lastSoundAnswer(state.soundParts, part)) {
            quarantine::recordSoundAnswer(state.crashes, part, *soundAt);
        }
    }
}

} // namespace

bool isQuarantined(const PoolState &state, const AcquireRequest &request)
{
    return !state.quarantinedSince.empty() && std::any_of(request.promptParts.begin(), request.promptParts.end(), [&state](std::uint64_t part) {
        return state.quarantinedSince.contains(nameOf(part));
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
            quarantine::recordSoundAnswer(state.soundParts, nameOf(part), now);
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
        broken.parts.insert(nameOf(part));
    }
}

void serverProcessEnded(PoolState &state, const ServerState &server, TimePoint now)
{
    const auto broken = state.brokenAnswers.extract({number(server.id), server.incarnation});
    if (broken.empty() || now - broken.mapped().since > resetMemory) {
        return;
    }
    const auto &parts = broken.mapped().parts;
    quarantine::recordEnd(state.crashes, {std::to_string(number(server.id)), server.incarnation, {parts.begin(), parts.end()}}, broken.mapped().since);
    copySoundAnswers(state, parts);
}

void planQuarantine(PoolState &state, TimePoint now, Actions &actions)
{
    std::erase_if(state.brokenAnswers, [now](const auto &item) {
        return now - item.second.since > resetMemory;
    });
    for (auto since = state.quarantinedSince.begin(); since != state.quarantinedSince.end();) {
        if (now - since->second < quarantine::quarantineTime) {
            ++since;
            continue;
        }
        quarantine::release(state.crashes, since->first);
        since = state.quarantinedSince.erase(since);
    }
    if (state.crashes.ends.empty()) {
        return;
    }
    copySoundAnswers(state, quarantine::suspects(state.crashes));
    const auto culprits = quarantine::findCulprits(state.crashes, now);
    for (const std::string &part : culprits) {
        state.quarantinedSince[part] = now;
        state.crashes.quarantined.insert(part);
    }
    if (culprits.empty()) {
        return;
    }
    for (std::uint32_t i = 0; i < state.records.size(); ++i) {
        if (state.records[i].phase == RequestPhase::Waiting && isQuarantined(state, state.records[i].request)) {
            refuseWaiting(state, i, RefusalReason::PromptQuarantined, quarantine::retryAfter, actions);
        }
    }
}

} // namespace mimosahollow::scheduling
