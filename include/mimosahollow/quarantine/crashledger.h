#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/quarantine/serverend.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosahollow::quarantine {

struct LedgerOptions
{
    unsigned endsOfSuspect = 2;
    unsigned endsOfCulprit = 3;
    unsigned endsWhenInDoubt = 5; /**< For parts that had sound answers before, and for parts that cannot be told from another one. */
    Duration sameMoment = milliseconds(150); /**< Servers that end within this time of each other may share another cause. */
    Duration objectionTime = milliseconds(700); /**< From the suspicion until all entry instances have reported the sound answers that they know of. */
    Duration memory = seconds(600);
    std::size_t maximumEnds = 256;
};

/**
 * Finds the prompt parts and whole requests (requestName()) that end the backend servers which begin to answer them; both are called parts here. A part
 * is quarantined when several servers ended at it at different moments, none has answered it soundly since, and no other part explains these ends as well.
 */
struct CrashLedger
{
    struct End
    {
        TimePoint at{};
        std::set<std::string> parts;
    };
    struct Part
    {
        bool hasSoundAnswer = false;
        TimePoint soundAt{}; /**< Newest sound answer; ends before it do not count. */
        TimePoint suspectSince{}; /**< Unset: not suspected. */
    };
    LedgerOptions options;
    std::map<std::pair<std::string, std::uint64_t>, End> ends; /**< By server and incarnation. */
    std::map<std::string, Part> parts; /**< Suspects, and parts with reported sound answers, as long as an end names them. */
    std::set<std::string> quarantined; /**< As decided; the ends at these parts are explained. */
    std::map<std::string, TimePoint> released; /**< With the time of the release; one later end at such a part is sufficient. */
};

/** Adds what an entry instance saw of an end; several reports of one end are merged. @p at is the time of the end. */
void recordEnd(CrashLedger &ledger, const ServerEnd &end, TimePoint at);

/** A call with @p part was answered soundly until @p at. */
void recordSoundAnswer(CrashLedger &ledger, const std::string &part, TimePoint at);

/** Ends the quarantine of @p part on probation: one end later than @p now is sufficient for the next one. */
void release(CrashLedger &ledger, const std::string &part, TimePoint now);

/** Parts about which entry instances are to report sound answers. */
[[nodiscard]] std::vector<std::string> suspects(const CrashLedger &ledger);

/** Drops old ends, and returns the parts to be quarantined now. They are returned again until they are in @c quarantined. */
[[nodiscard]] std::vector<std::string> findCulprits(CrashLedger &ledger, TimePoint now);

} // namespace mimosahollow::quarantine
