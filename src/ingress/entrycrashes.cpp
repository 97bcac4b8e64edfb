#include "ingress/entryinternal.h"

#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/quarantine/requestname.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mimosahollow::ingress {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

constexpr Duration checkDelay = milliseconds(15); // collects the calls that break together, and lets the process end
constexpr std::size_t maximumObservedEnds = 64; // kept for the next leader, which knows none of them

} // namespace

void Entry::answerBroke(const dispatch::Send &target, const dispatch::Call &call)
{
    const Incarnation incarnation{target.server, target.born};
    const auto [broken, isNew] = m_brokenAnswers.try_emplace(incarnation, BrokenAnswers{target.address, Clock::now(), {}});
    broken->second.parts.insert(call.fingerprints.begin(), call.fingerprints.end());
    if (isNew) {
        asio::co_spawn(m_context, checkServer(incarnation), asio::detached);
    }
}

/** Opens a connection: a backend server that has ended refuses it, while one that only reset a connection or lost an answer accepts it. */
asio::awaitable<void> Entry::checkServer(Incarnation incarnation)
{
    asio::steady_timer timer(m_context, checkDelay);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const std::string address = m_brokenAnswers.at(incarnation).address;
    gateway::UpstreamPointer connection = m_upstream.create();
    const bool isOpen = co_await m_upstream.connect(*connection, address, Clock::now() + m_settings.connectTimeout);
    const BrokenAnswers broken = std::move(m_brokenAnswers.extract(incarnation).mapped());
    if (isOpen) {
        m_upstream.release(address, std::move(connection));
        co_return;
    }
    observability::DecisionLine line("server-ended");
    line.add("server", incarnation.first).add("born", incarnation.second).add("parts", boost::algorithm::join(broken.parts, "+"));
    observability::logDecision(line.text());
    quarantine::ServerEnd end{incarnation.first, incarnation.second, {broken.parts.begin(), broken.parts.end()}};
    m_observedEnds.push_back({std::move(end), broken.since, 0, false});
    if (m_observedEnds.size() > maximumObservedEnds) {
        m_observedEnds.pop_front();
    }
    scheduleReport(Clock::now() + m_settings.urgentReportDelay);
}

/** Few requests come twice, so their names must not displace the prompt parts that many share. */
quarantine::SoundParts &Entry::soundAnswersOf(std::string_view fingerprint)
{
    return quarantine::isRequestName(fingerprint) ? m_soundRequests : m_soundParts;
}

void Entry::answeredSoundly(const dispatch::Call &call)
{
    const TimePoint now = Clock::now();
    for (const std::string &fingerprint : call.fingerprints) {
        quarantine::recordSoundAnswer(soundAnswersOf(fingerprint), fingerprint, now);
    }
}

bool Entry::isSuspected(const dispatch::Call &call) const
{
    return std::any_of(call.fingerprints.begin(), call.fingerprints.end(), [this](const std::string &fingerprint) {
        return m_suspectedParts.contains(fingerprint);
    });
}

void Entry::addCrashes(fleetlink::EntryReport &report, TimePoint now)
{
    const auto age = [now](TimePoint at) {
        return static_cast<unsigned>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - at).count()));
    };
    for (ObservedEnd &observed : m_observedEnds) {
        if (!observed.isKnownToLeader) {
            report.ends.push_back({observed.end, age(observed.at)});
            observed.reportStamp = report.stamp;
        }
    }
    for (const std::string &part : m_suspectedParts) {
        if (const auto soundAt = quarantine::lastSoundAnswer(soundAnswersOf(part), part)) {
            report.soundParts.push_back({part, age(*soundAt)});
        }
    }
}

/** The leader has handled the report sent at @p stamp. */
void Entry::crashesReported(std::uint64_t stamp)
{
    for (ObservedEnd &observed : m_observedEnds) {
        observed.isKnownToLeader = observed.isKnownToLeader || (observed.reportStamp != 0 && observed.reportStamp <= stamp);
    }
}

} // namespace mimosahollow::ingress
