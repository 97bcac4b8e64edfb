#pragma once

#include "mimosahollow/fleetlink/linkmessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosahollow::duties {

/**
 * Calls that began to run through one entry instance, by reporting window and organisation. All times are milliseconds; boot time is that of this
 * machine and includes suspensions.
 */
struct UsageCounter
{
    struct Count
    {
        std::uint32_t calls = 0;
        std::uint32_t reported = 0; /**< In the newest report. */
        std::uint32_t confirmed = 0; /**< In a report that the leader has answered. */
        std::uint64_t reportStamp = 0; /**< Of the newest report with this count. */
    };
    std::int64_t windowLength = 0; /**< 0: nothing is counted. */
    std::optional<std::int64_t> offset; /**< Fleet time minus boot time. */
    std::int64_t offsetAt = 0; /**< Boot time at which the offset was taken. */
    std::int64_t offsetError = 0; /**< How far the offset may have been off then. */
    std::uint64_t closedWindow = 0; /**< Highest window whose counts are final. */
    std::uint64_t fixedWindow = 0; /**< Highest window that the leader has fixed. */
    std::map<std::pair<std::uint64_t, std::string>, Count> counts; /**< By window and organisation. */
    std::map<std::string, std::uint32_t> undated; /**< From before the fleet time was known, by organisation. */
};

/** The leader has answered a report of boot time @p sent with the fleet time @p fleet. */
void synchronise(UsageCounter &counter, std::int64_t fleet, std::int64_t sent, std::int64_t boot);

/** A backend server has begun to run a call of @p organisation. */
void countCall(UsageCounter &counter, const std::string &organisation, std::int64_t boot);

/**
 * Counts for the report with @p stamp: those that the leader has not confirmed, and one without an organisation that names the highest window whose
 * counts are final.
 */
[[nodiscard]] std::vector<fleetlink::UsageCount> countsToReport(UsageCounter &counter, std::uint64_t stamp, std::int64_t boot);

/** The leader has answered the report with @p stamp and has fixed all windows up to @p fixedWindow. */
void reportAnswered(UsageCounter &counter, std::uint64_t stamp, std::uint64_t fixedWindow);

/** The leader has no counts of this instance: the next report has all that are not fixed. */
void reportAll(UsageCounter &counter);

} // namespace mimosahollow::duties
