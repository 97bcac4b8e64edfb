#include "checks.h"

#include "bounds.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace mimosahollow::soak {

namespace {

constexpr double deadlineTolerance = 500; // ms
constexpr double silenceDelay = 0.5; // s until an instance must obey
constexpr double lossSlack = 0.2; // s
constexpr std::size_t maximumExamples = 4;

void add(Finding &finding, const std::string &example)
{
    ++finding.cases;
    if (finding.examples.size() < maximumExamples) {
        finding.examples.push_back(example);
    }
}

std::string describe(const CallRecord &call)
{
    std::array<char, 200> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%s at entry-%u sent %.3f end %u status %u at %.3f, %zu arrivals",
                  call.id.c_str(),
                  call.entry,
                  call.sentAt,
                  static_cast<unsigned>(call.end),
                  call.status,
                  call.endedAt,
                  call.arrivals.size());
    return text.data();
}

bool isUnplanned(const DisturbanceRecord &disturbance)
{
    return disturbance.kind == Disturbance::Kill || disturbance.kind == Disturbance::Freeze;
}

/** Whether the instance was killed, frozen, stopped or started between @p from and @p to. */
bool isDisturbed(const Record &record, bool isCoordinator, unsigned number, double from, double to)
{
    return std::any_of(record.disturbances.begin(), record.disturbances.end(), [&](const DisturbanceRecord &disturbance) {
        return disturbance.kind != Disturbance::Reload && disturbance.isCoordinator == isCoordinator && (isCoordinator || disturbance.number == number)
               && disturbance.begin <= to && disturbance.end >= from;
    });
}

bool isInTouch(const Record &record, unsigned entry, double at)
{
    return !isDisturbed(record, false, entry, at - contactSeconds, at) && !isDisturbed(record, true, 0, at - contactSeconds, at);
}

Finding checkRepeats(const Record &record)
{
    Finding finding{"BUDGET repeats in a window", 0, 0, 0, {}};
    for (const char *service : {"llm", "ledger"}) {
        std::vector<double> requests;
        std::vector<double> repeats;
        for (const CallRecord &call : record.calls) {
            if (call.service != service || call.end == CallEnd::NotSent) {
                continue;
            }
            requests.push_back(call.sentAt);
            for (std::size_t i = 1; i < call.arrivals.size(); ++i) {
                repeats.push_back(call.arrivals[i].at);
            }
        }
        std::sort(requests.begin(), requests.end());
        std::sort(repeats.begin(), repeats.end());
        const auto count = [](const std::vector<double> &times, double from, double to) {
            return static_cast<double>(std::upper_bound(times.begin(), times.end(), to) - std::upper_bound(times.begin(), times.end(), from));
        };
        for (const double end : repeats) {
            const double most = std::max({count(requests, end - budgetSeconds, end),
                                          count(requests, end - 2 * budgetSeconds, end - budgetSeconds),
                                          count(requests, end - 1.5 * budgetSeconds, end - 0.5 * budgetSeconds)});
            const double used = count(repeats, end - budgetSeconds, end) / (budgetRatio * most + budgetSlack);
            finding.worst = std::max(finding.worst, used);
            if (used > 1) {
                add(finding, std::string(service) + " in the 10 s before " + std::to_string(end));
            }
        }
    }
    return finding;
}

Finding checkAttempts(const Record &record)
{
    Finding finding{"BUDGET attempts beyond the route's maximum", 0, 3, 0, {}};
    for (const CallRecord &call : record.calls) {
        std::set<std::string> ran;
        for (const Arrival &arrival : call.arrivals) {
            if (arrival.hasRun && !arrival.isBrokenOff) {
                ran.insert(arrival.server);
            }
        }
        finding.worst = std::max(finding.worst, static_cast<double>(ran.size()));
        if (ran.size() > call.maximumAttempts) {
            add(finding, describe(call));
        }
    }
    return finding;
}

Finding checkDeadlines(const Record &record)
{
    Finding finding{"BUDGET Deadline-Ms", 0, 20, 0, {}};
    unsigned counted = 0;
    for (const CallRecord &call : record.calls) {
        for (std::size_t i = 0; i < call.arrivals.size(); ++i) {
            const Arrival &arrival = call.arrivals[i];
            if (!isInTouch(record, call.entry, arrival.at)) {
                continue;
            }
            ++counted;
            const double own = call.sentAt * 1000 + call.timeLimit;
            const double end = arrival.at * 1000 + arrival.deadline.value_or(0);
            const bool isLate = i > 0 && arrival.at - call.arrivals[0].at > deadlineTolerance / 1000 && end > own + deadlineTolerance
                                && end > call.arrivals[0].at * 1000 + call.arrivals[0].deadline.value_or(0) + deadlineTolerance;
            finding.worst = std::max(finding.worst, end - own);
            if (!arrival.deadline || *arrival.deadline > call.timeLimit + deadlineTolerance || isLate) {
                add(finding, describe(call));
            }
        }
    }
    finding.allowed = std::max(finding.allowed, counted / 5);
    return finding;
}

Finding checkSilences(const Record &record)
{
    Finding finding{"BUDGET calls after 503 with Retry-After", 0, 0, 0, {}};
    for (const Silence &silence : record.silences) {
        if (isDisturbed(record, false, silence.entry, silence.at, silence.until)) {
            continue;
        }
        unsigned count = 0;
        for (const CallRecord &call : record.calls) {
            if (call.entry != silence.entry || call.sentAt > silence.until || (call.endedAt > 0 && call.endedAt < silence.at)) {
                continue;
            }
            count += static_cast<unsigned>(std::count_if(call.arrivals.begin(), call.arrivals.end(), [&silence](const Arrival &arrival) {
                return arrival.server == silence.server && arrival.at > silence.at + silenceDelay && arrival.at < silence.until;
            }));
        }
        finding.worst = std::max(finding.worst, static_cast<double>(count));
        if (count > 2) {
            add(finding, silence.server + " at " + std::to_string(silence.at) + ", entry-" + std::to_string(silence.entry));
        }
    }
    return finding;
}

/** Number of backend servers that began to run @p call. */
std::ptrdiff_t runCount(const CallRecord &call)
{
    return std::count_if(call.arrivals.begin(), call.arrivals.end(), [](const Arrival &arrival) {
        return arrival.hasRun;
    });
}

/** When backend servers began to run @p calls, in ascending order; for fatal calls these are their ends. */
std::vector<double> runTimes(const std::vector<const CallRecord *> &calls)
{
    std::vector<double> times;
    for (const CallRecord *call : calls) {
        for (const Arrival &arrival : call->arrivals) {
            if (arrival.hasRun) {
                times.push_back(arrival.at);
            }
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::vector<const CallRecord *> callsWithFatalPart(const Record &record)
{
    std::vector<const CallRecord *> calls;
    for (const CallRecord &call : record.calls) {
        if (!call.fatalPart.empty()) {
            calls.push_back(&call);
        }
    }
    return calls;
}

/** Adds the calls that still reach a backend server, by instances in touch, well after the end number @p ends under @p calls. */
void countAfterEnds(Finding &finding, const Record &record, const std::vector<const CallRecord *> &calls, std::size_t ends)
{
    const std::vector<double> endTimes = runTimes(calls);
    finding.worst = std::max(finding.worst, static_cast<double>(endTimes.size()));
    if (endTimes.size() < ends) {
        return;
    }
    const double from = endTimes[ends - 1] + contactSeconds;
    for (const CallRecord *call : calls) {
        if (call->sentAt > from && !call->arrivals.empty() && isInTouch(record, call->entry, call->sentAt)) {
            add(finding, describe(*call));
        }
    }
}

Finding checkFatalParts(const Record &record)
{
    Finding finding{"BUDGET crashing prompt parts", 0, 3, 0, {}};
    countAfterEnds(finding, record, callsWithFatalPart(record), 5);
    return finding;
}

/** Sound calls to the engines that begin less often while others with a fatal part still come, well after the fifth end under it. */
Finding checkBesideFatalPart(const Record &record)
{
    Finding finding{"LOST sound calls beside a crashing prompt part", 0, 0, 0, {}};
    const std::vector<const CallRecord *> fatalCalls = callsWithFatalPart(record);
    const std::vector<double> endTimes = runTimes(fatalCalls);
    if (endTimes.empty()) {
        return finding;
    }
    const double firstSent = fatalCalls.front()->sentAt;
    const double lastSent = fatalCalls.back()->sentAt;
    const double from = endTimes[std::min<std::size_t>(endTimes.size(), 5) - 1] + 2 * contactSeconds;
    std::array<unsigned, 2> sent{}; // outside, beside
    std::array<unsigned, 2> begun{};
    for (const CallRecord &call : record.calls) {
        const bool isBeside = call.sentAt >= from && call.sentAt <= lastSent;
        const bool isOutside = call.sentAt < firstSent || call.sentAt > lastSent + contactSeconds;
        const bool isSpecial = !call.fatalPart.empty() || !call.deadlyName.empty() || call.isSiblingOfDeadly;
        if (call.service != "llm" || isSpecial || (!isBeside && !isOutside) || !isInTouch(record, call.entry, call.sentAt)) {
            continue;
        }
        const bool hasBegun = runCount(call) > 0;
        ++sent[isBeside ? 1 : 0];
        begun[isBeside ? 1 : 0] += hasBegun ? 1 : 0;
    }
    if (sent[0] < 20 || sent[1] < 20) {
        return finding;
    }
    const double outside = static_cast<double>(begun[0]) / sent[0];
    const double beside = static_cast<double>(begun[1]) / sent[1];
    finding.worst = beside;
    if (beside < outside / 2) {
        add(finding, std::to_string(beside) + " instead of " + std::to_string(outside));
    }
    return finding;
}

Finding checkDeadlyRequests(const Record &record)
{
    Finding finding{"BUDGET deadly requests", 0, 3, 0, {}};
    std::map<std::string, std::vector<const CallRecord *>> byName;
    for (const CallRecord &call : record.calls) {
        if (!call.deadlyName.empty()) {
            byName[call.deadlyName].push_back(&call);
        }
    }
    for (const auto &[name, calls] : byName) {
        countAfterEnds(finding, record, calls, 3);
    }
    return finding;
}

/** Sound calls that differ from a deadly one in their path, body or organisation only, and were refused without having reached a backend server. */
Finding checkSiblings(const Record &record)
{
    Finding finding{"SERVED siblings of deadly calls refused", 0, 0, 0, {}};
    unsigned total = 0;
    unsigned refused = 0;
    for (const CallRecord &call : record.calls) {
        if (call.isSiblingOfDeadly && isInTouch(record, call.entry, call.sentAt)) {
            ++total;
            refused += call.end == CallEnd::Answered && call.status == 503 && call.arrivals.empty() ? 1 : 0;
        }
    }
    finding.worst = total == 0 ? 0 : static_cast<double>(refused) / total;
    if (total >= 20 && refused * 2 > total) {
        add(finding, std::to_string(refused) + " of " + std::to_string(total));
    }
    return finding;
}

bool isSoundlyHandled(const CallRecord &call)
{
    return std::none_of(call.arrivals.begin(), call.arrivals.end(), [](const Arrival &arrival) {
        return arrival.isBrokenOff;
    });
}

bool hasNoAnswer(const CallRecord &call)
{
    return call.end == CallEnd::Unanswered || call.end == CallEnd::Incomplete;
}

Finding checkKeptConnections(const Record &record)
{
    Finding finding{"LOST kept connection closed after passing on", 0, 3, 0, {}};
    for (const CallRecord &call : record.calls) {
        if (call.isOnUsedConnection && hasNoAnswer(call) && !call.arrivals.empty() && isSoundlyHandled(call) && isInTouch(record, call.entry, call.sentAt)
            && isInTouch(record, call.entry, call.endedAt)) {
            add(finding, describe(call));
        }
    }
    return finding;
}

/** Calls without an answer around a stop, reload or change, at an instance without an unplanned disturbance. */
Finding checkPlannedWork(const Record &record, const std::string &clause, Disturbance kind)
{
    Finding finding{clause, 0, 0, 0, {}};
    for (const DisturbanceRecord &planned : record.disturbances) {
        if (planned.kind != kind || planned.isCoordinator) {
            continue;
        }
        const double until = planned.begin + (kind == Disturbance::Stop ? graceSeconds + 1 : 2);
        for (const CallRecord &call : record.calls) {
            const bool isAround = call.entry == planned.number && call.endedAt >= planned.begin && call.sentAt <= until;
            if (!isAround || !hasNoAnswer(call) || !isSoundlyHandled(call)) {
                continue;
            }
            const bool hasUnplanned = std::any_of(record.disturbances.begin(), record.disturbances.end(), [&call](const DisturbanceRecord &other) {
                return isUnplanned(other) && !other.isCoordinator && other.number == call.entry && other.begin <= call.endedAt
                       && other.end >= call.sentAt - contactSeconds;
            });
            const bool isPassedOn = !call.arrivals.empty();
            const double lastWork = isPassedOn ? call.arrivals.back().ranUntil : 0;
            const bool isStillRunning = kind == Disturbance::Stop && call.sentAt <= planned.begin + 3 && lastWork >= planned.begin + graceSeconds * 5 / 6;
            if (!hasUnplanned && !isStillRunning && (isPassedOn || call.endedAt > call.sentAt + lossSlack)) {
                add(finding, describe(call));
            }
        }
    }
    return finding;
}

Finding checkChanges(const Record &record)
{
    Finding finding{"LOST around a change of the configuration", 0, 0, 0, {}};
    for (const CallRecord &call : record.calls) {
        if (!hasNoAnswer(call) || !isSoundlyHandled(call) || isDisturbed(record, false, call.entry, call.sentAt - contactSeconds, call.endedAt)) {
            continue;
        }
        const bool isAround = std::any_of(record.configurations.begin(), record.configurations.end(), [&call](const ConfigurationRecord &change) {
            return change.acknowledgedAt > 0 && call.endedAt >= change.sentAt && call.sentAt <= change.acknowledgedAt + 3;
        });
        if (isAround && (!call.arrivals.empty() || call.endedAt > call.sentAt + lossSlack)) {
            add(finding, describe(call));
        }
    }
    return finding;
}

Finding checkTwice(const Record &record)
{
    Finding finding{"TWICE", 0, 0, 0, {}};
    for (const CallRecord &call : record.calls) {
        if (!call.mayRunAgain && runCount(call) > 1) {
            add(finding, describe(call));
        }
    }
    return finding;
}

Finding checkRefused(const Record &record)
{
    Finding finding{"REFUSED", 0, 0, 0, {}};
    for (const CallRecord &call : record.calls) {
        const bool isPromise = call.end == CallEnd::Answered && (call.status == 429 || call.status == 503 || call.status == 408 || call.status == 421);
        const bool hasRun = runCount(call) > 0;
        if (!call.mayRunAgain && isPromise && hasRun) {
            add(finding, describe(call));
        }
    }
    return finding;
}

Finding checkMixed(const Record &record)
{
    Finding finding{"MIXED", 0, 0, 0, {}};
    for (const CallRecord &call : record.calls) {
        if (call.end == CallEnd::Unreadable || (call.end == CallEnd::Answered && call.status / 100 == 2 && !call.hasServerSignature)) {
            add(finding, describe(call));
        }
    }
    return finding;
}

Finding countOf(const std::string &clause, unsigned cases)
{
    return {clause, cases, 0, 0, {}};
}

} // namespace

std::vector<Finding> check(const Record &record)
{
    return {checkRepeats(record),
            checkAttempts(record),
            checkDeadlines(record),
            checkSilences(record),
            checkFatalParts(record),
            checkDeadlyRequests(record),
            checkSiblings(record),
            checkKeptConnections(record),
            checkBesideFatalPart(record),
            checkPlannedWork(record, "LOST in a planned stop", Disturbance::Stop),
            checkPlannedWork(record, "LOST around a reload", Disturbance::Reload),
            checkChanges(record),
            countOf("LOST state after the closing restart", record.isStateLost ? 1 : 0),
            checkTwice(record),
            checkRefused(record),
            checkMixed(record),
            countOf("UNASKED", record.unknownArrivals),
            countOf("processes that ended by themselves", record.unexpectedExits)};
}

} // namespace mimosahollow::soak
