#include "coordinator/coordinatorinternal.h"

#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/quarantine/times.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosahollow::coordinator {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

constexpr Duration planInterval = milliseconds(100); // short beside the time that several servers take to end

} // namespace

void Coordinator::recordCrashes(const fleetlink::Peer &peer, const fleetlink::EntryReport &report, TimePoint now)
{
    for (const fleetlink::ReportedEnd &reported : report.ends) {
        ++m_counters.serverEnds;
        quarantine::recordEnd(m_crashLedger, reported.end, now - milliseconds(reported.ageMilliseconds));
        observability::DecisionLine line("server-ended");
        line.add("server", reported.end.server).add("born", reported.end.born).add("entry", peer.hello.name);
        line.add("parts", boost::algorithm::join(reported.end.parts, "+"));
        observability::logDecision(line.text());
    }
    for (const fleetlink::SoundPart &sound : report.soundParts) {
        quarantine::recordSoundAnswer(m_crashLedger, sound.part, now - milliseconds(sound.ageMilliseconds));
    }
}

/** Takes over the quarantined prompt parts of the replicated state. */
void Coordinator::applyQuarantine(TimePoint now)
{
    m_crashLedger.quarantined.clear();
    for (const auto &[part, index] : m_state.quarantinedParts) {
        m_crashLedger.quarantined.insert(part);
        m_quarantinedSince.try_emplace(part, now);
    }
    std::erase_if(m_quarantinedSince, [this](const auto &item) {
        return !m_state.quarantinedParts.contains(item.first);
    });
}

void Coordinator::planQuarantine(TimePoint now)
{
    m_nextQuarantinePlan = now + planInterval;
    for (const std::string &part : quarantine::findCulprits(m_crashLedger, now)) {
        if (m_pendingQuarantines.insert(part).second) {
            asio::co_spawn(m_context, changeQuarantine(fleetstate::CommandKind::QuarantinePart, part), asio::detached);
        }
    }
    for (const auto &[part, since] : m_quarantinedSince) {
        if (now - since >= quarantine::quarantineTime && m_pendingQuarantines.insert(part).second) {
            asio::co_spawn(m_context, changeQuarantine(fleetstate::CommandKind::ReleasePart, part), asio::detached);
        }
    }
}

asio::awaitable<void> Coordinator::changeQuarantine(fleetstate::CommandKind kind, std::string part)
{
    const bool isRelease = kind == fleetstate::CommandKind::ReleasePart;
    observability::DecisionLine line(isRelease ? "prompt-released" : "prompt-quarantined");
    line.add("part", part).add("ends", m_crashLedger.ends.size());
    observability::logDecision(line.text());
    const auto alive = m_alive;
    fleetstate::FleetCommand command;
    command.kind = kind;
    command.subject = part;
    const ChangeResult result = co_await change(std::move(command));
    if (!*alive) {
        co_return;
    }
    m_pendingQuarantines.erase(part);
    if (!std::holds_alternative<Committed>(result)) {
        observability::logWarning("the quarantine of prompt part " + part + " was not changed; it is tried again");
    } else if (isRelease) {
        quarantine::release(m_crashLedger, part, Clock::now());
    }
}

} // namespace mimosahollow::coordinator
