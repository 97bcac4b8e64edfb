#include "fleetlink/bootclock.h"
#include "ingress/entryinternal.h"

#include <random>

namespace mimosahollow::ingress {

void Entry::countUsage(const std::string &organisation)
{
    duties::countCall(m_usage, organisation, fleetlink::bootMilliseconds());
}

void Entry::addUsage(fleetlink::EntryReport &report)
{
    if (!m_usage.offset) {
        return; // the fleet has no duty that needs counts, or the leader doesn't know its time yet
    }
    if (m_incarnation == 0) {
        std::random_device random;
        m_incarnation = (std::uint64_t{random()} << 32U | random()) | 1U;
    }
    if (m_sendsHistory) {
        duties::reportAll(m_usage); // the leader is new, or this instance was away for long
    }
    report.incarnation = m_incarnation;
    report.wallMilliseconds = fleetlink::wallMilliseconds();
    report.usage = duties::countsToReport(m_usage, report.stamp, fleetlink::bootMilliseconds());
}

void Entry::usageReported(const fleetlink::LeaderReply &reply)
{
    if (m_usage.windowLength == 0) {
        return;
    }
    duties::reportAnswered(m_usage, reply.stamp, reply.fixedWindow);
    if (reply.fleetMilliseconds != 0) {
        duties::synchronise(m_usage, reply.fleetMilliseconds, static_cast<std::int64_t>(reply.stamp), fleetlink::bootMilliseconds());
    }
}

} // namespace mimosahollow::ingress
