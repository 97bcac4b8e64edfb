#include "mimosahollow/serverpace/localpace.h"

#include "mimosahollow/serverpace/pacebounds.h"

#include <algorithm>

namespace mimosahollow::serverpace {

namespace {

constexpr Duration statementLifetime = milliseconds(300); // the figures change many times a second
/** A server whose pace alternates within the way of an answer is as fast as its mean; half of the statement is taken for what lasts. */
constexpr double statementWeight = 0.5;
constexpr double answerSmoothing = 0.05; // weight of the newest call: an instance with 8 calls/s covers 2 to 3 s
constexpr unsigned leastAnswers = 10;
constexpr double stallFactor = 4; // in usual times; prompts of a service differ by less than this from their mean
constexpr Duration leastStall = milliseconds(200); // a lost packet is repeated within this time

/** Weight of the newest statement, from 1 to 0 at the end of its lifetime. */
double freshness(const LocalPace &local, TimePoint now)
{
    if (local.statedAt == TimePoint{}) {
        return 0;
    }
    return std::clamp(1 - toSeconds(now - local.statedAt) / toSeconds(statementLifetime), 0.0, 1.0);
}

} // namespace

void recordAnswer(UsualAnswer &usual, Duration time)
{
    usual.samples += usual.samples < leastAnswers ? 1 : 0;
    // Calls at stalled servers must not pass for usual ones.
    const double value = usual.samples < leastAnswers ? toSeconds(time) : std::min(toSeconds(time), usual.seconds * stallFactor);
    usual.seconds += (value - usual.seconds) * std::max(answerSmoothing, 1.0 / usual.samples);
}

double statedFactor(const LocalPace &local, TimePoint now)
{
    return local.stated.pace ? 1 + statementWeight * freshness(local, now) * (boundedPace(*local.stated.pace) - 1) : 1;
}

double statedQueue(const LocalPace &local, TimePoint now)
{
    const double queue = static_cast<double>(local.stated.waiting) / std::max(1U, local.stated.slots);
    return std::min(1.0, queue) * freshness(local, now);
}

double stalledPace(const LocalPace &local, const UsualAnswer &usual, TimePoint now)
{
    if (local.awaited.empty() || usual.samples < leastAnswers) {
        return 0;
    }
    const Duration age = now - local.awaited.front();
    if (age < std::max(leastStall, fromSeconds(usual.seconds * stallFactor))) {
        return 0;
    }
    // Half, since one call may be the longest of its service.
    return std::min(slowestPace, toSeconds(age) / std::max(usual.seconds, 0.001) / 2);
}

} // namespace mimosahollow::serverpace
