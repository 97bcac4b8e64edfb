#include "mimosahollow/quarantine/crashledger.h"

#include "mimosahollow/quarantine/requestname.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace mimosahollow::quarantine {

namespace {

using Ends = std::vector<const CrashLedger::End *>;

/** Whether @p part is, or was at the time of @p end, known to end servers. Ends from before a release may be reported after it. */
bool isKnownCause(const CrashLedger &ledger, const std::string &part, const CrashLedger::End &end)
{
    const auto released = ledger.released.find(part);
    return ledger.quarantined.contains(part) || (released != ledger.released.end() && end.at <= released->second);
}

/** Ends that no known cause explains, oldest first. */
Ends unexplainedEnds(const CrashLedger &ledger)
{
    Ends ends;
    for (const auto &[incarnation, end] : ledger.ends) {
        const bool isExplained = std::any_of(end.parts.begin(), end.parts.end(), [&ledger, &end = end](const std::string &part) {
            return isKnownCause(ledger, part, end);
        });
        if (!isExplained) {
            ends.push_back(&end);
        }
    }
    std::sort(ends.begin(), ends.end(), [](const CrashLedger::End *left, const CrashLedger::End *right) {
        return left->at < right->at;
    });
    return ends;
}

bool hadSoundAnswer(const CrashLedger &ledger, const std::string &part)
{
    const auto known = ledger.parts.find(part);
    return known != ledger.parts.end() && known->second.hasSoundAnswer;
}

/** Whether @p part may have caused @p end: it was present, and has had no sound answer since. */
bool explains(const CrashLedger &ledger, const std::string &part, const CrashLedger::End &end)
{
    const auto known = ledger.parts.find(part);
    const bool isSoundSince = known != ledger.parts.end() && known->second.hasSoundAnswer && end.at <= known->second.soundAt;
    return end.parts.contains(part) && !isSoundSince;
}

/** The ends that each part may have caused, oldest first. Leaves out parts at too few ends for a suspicion, unless they were released. */
std::map<std::string, Ends> endsByPart(const CrashLedger &ledger)
{
    const Ends ends = unexplainedEnds(ledger);
    // Most names of requests are present at one end only.
    std::unordered_map<std::string_view, unsigned> counts;
    for (const CrashLedger::End *end : ends) {
        for (const std::string &part : end->parts) {
            ++counts[part];
        }
    }
    std::map<std::string, Ends> byPart;
    for (const CrashLedger::End *end : ends) {
        for (const std::string &part : end->parts) {
            const bool isRelevant = counts[part] >= ledger.options.endsOfSuspect || ledger.released.contains(part);
            if (isRelevant && explains(ledger, part, *end)) {
                byPart[part].push_back(end);
            }
        }
    }
    return byPart;
}

/** Number of @p ends, counting those at the same moment once. */
unsigned countMoments(const CrashLedger &ledger, const Ends &ends)
{
    unsigned count = 0;
    TimePoint counted{};
    for (const CrashLedger::End *end : ends) {
        if (count == 0 || end->at - counted >= ledger.options.sameMoment) {
            ++count;
            counted = end->at;
        }
    }
    return count;
}

/** Whether another part that @p isRival accepts may have caused all @p ends of @p part too. */
template<typename IsRival>
bool hasRival(const CrashLedger &ledger, const std::string &part, const Ends &ends, IsRival isRival)
{
    const auto &candidates = ends.front()->parts;
    return std::any_of(candidates.begin(), candidates.end(), [&](const std::string &other) {
        return other != part && isRival(other) && std::all_of(ends.begin(), ends.end(), [&](const CrashLedger::End *end) {
                   return explains(ledger, other, *end);
               });
    });
}

bool isCulprit(const CrashLedger &ledger, const std::string &part, const Ends &ends)
{
    if (ledger.released.contains(part)) {
        return !ends.empty();
    }
    const unsigned moments = countMoments(ledger, ends);
    const bool isRequest = isRequestName(part);
    // A request that is repeated at once ends two servers at one moment, and is what both have in common; a part may have been on both anyway.
    const bool isEnough =
        isRequest ? ends.size() >= ledger.options.endsOfCulprit && moments >= ledger.options.endsOfSuspect : moments >= ledger.options.endsOfCulprit;
    if (!isEnough) {
        return false;
    }
    // If the same request was there each time, its prompt parts may be sound in other requests.
    if (!isRequest && hasRival(ledger, part, ends, isRequestName)) {
        return false;
    }
    const bool wasSound = hadSoundAnswer(ledger, part);
    const bool isAmbiguous = hasRival(ledger, part, ends, [&](const std::string &other) {
        // A part that had sound answers before is no rival of one that never had.
        return isRequestName(other) == isRequest && (wasSound || !hadSoundAnswer(ledger, other));
    });
    const bool isCertain = moments >= ledger.options.endsWhenInDoubt;
    return wasSound ? !isAmbiguous && isCertain : !isAmbiguous || isCertain;
}

/** Forgets the parts that were present at no end, whose sound answers no longer matter. */
void dropUnusedParts(CrashLedger &ledger)
{
    std::set<std::string_view> used;
    for (const auto &[incarnation, end] : ledger.ends) {
        used.insert(end.parts.begin(), end.parts.end());
    }
    std::erase_if(ledger.parts, [&used](const auto &item) {
        return !used.contains(item.first);
    });
}

void dropOldEnds(CrashLedger &ledger, TimePoint now)
{
    std::erase_if(ledger.ends, [&ledger, now](const auto &item) {
        return now - item.second.at > ledger.options.memory;
    });
    while (ledger.ends.size() > ledger.options.maximumEnds) {
        ledger.ends.erase(std::min_element(ledger.ends.begin(), ledger.ends.end(), [](const auto &left, const auto &right) {
            return left.second.at < right.second.at;
        }));
    }
}

} // namespace

void recordEnd(CrashLedger &ledger, const ServerEnd &end, TimePoint at)
{
    const auto [known, isNew] = ledger.ends.try_emplace({end.server, end.born}, CrashLedger::End{at, {}});
    known->second.at = std::min(known->second.at, at);
    known->second.parts.insert(end.parts.begin(), end.parts.end());
}

void recordSoundAnswer(CrashLedger &ledger, const std::string &part, TimePoint at)
{
    CrashLedger::Part &record = ledger.parts[part];
    record.hasSoundAnswer = true;
    record.soundAt = std::max(record.soundAt, at);
}

void release(CrashLedger &ledger, const std::string &part, TimePoint now)
{
    ledger.quarantined.erase(part);
    ledger.released[part] = now;
}

std::vector<std::string> suspects(const CrashLedger &ledger)
{
    std::vector<std::string> names;
    for (const auto &[part, record] : ledger.parts) {
        if (record.suspectSince != TimePoint{}) {
            names.push_back(part);
        }
    }
    return names;
}

std::vector<std::string> findCulprits(CrashLedger &ledger, TimePoint now)
{
    dropOldEnds(ledger, now);
    dropUnusedParts(ledger);
    const auto byPart = endsByPart(ledger);
    for (auto &[part, record] : ledger.parts) {
        const auto ends = byPart.find(part);
        if (ends == byPart.end() || countMoments(ledger, ends->second) < ledger.options.endsOfSuspect) {
            record.suspectSince = {};
        }
    }
    std::vector<std::string> culprits;
    for (const auto &[part, ends] : byPart) {
        if (countMoments(ledger, ends) >= ledger.options.endsOfSuspect) {
            CrashLedger::Part &record = ledger.parts[part];
            record.suspectSince = record.suspectSince == TimePoint{} ? now : record.suspectSince;
            if (now - record.suspectSince < ledger.options.objectionTime) {
                continue;
            }
        }
        if (isCulprit(ledger, part, ends)) {
            culprits.push_back(part);
        }
    }
    return culprits;
}

} // namespace mimosahollow::quarantine
