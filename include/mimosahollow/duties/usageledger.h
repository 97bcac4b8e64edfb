#pragma once

#include "mimosahollow/duties/dutycall.h"
#include "mimosahollow/fleetlink/linkmessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace mimosahollow::duties {

/** What entry instances have reported to the leader of the calls that began to run. */
struct UsageLedger
{
    using Source = std::pair<std::string, std::uint64_t>; /**< Entry instance and incarnation. */
    using Counts = std::map<std::string, std::uint64_t>; /**< By organisation. */

    std::map<std::uint64_t, std::map<Source, Counts>> windows;
    std::map<std::string, std::uint64_t> closedWindows; /**< Highest window with final counts, by entry instance. */
    std::uint64_t fixedWindow = 0; /**< Highest one. */
};

/** Takes over the counts of @p source. Returns the calls that came too late, since their window is fixed. */
std::size_t recordUsage(UsageLedger &ledger, const UsageLedger::Source &source, std::span<const fleetlink::UsageCount> counts);

/** All windows up to @p window are fixed. */
void setFixedWindow(UsageLedger &ledger, std::uint64_t window);

/**
 * Oldest window that can be fixed at @p fleetMilliseconds: all of @p entries have reported its final counts, or the deadline has passed. Windows are
 * fixed in ascending order, beginning with @p first if none is.
 */
[[nodiscard]] std::optional<std::uint64_t>
windowToFix(const UsageLedger &ledger, std::uint64_t first, std::span<const std::string> entries, std::int64_t fleetMilliseconds, std::int64_t windowLength);

/** Sums over all entry instances and incarnations. */
[[nodiscard]] UsageReport sumOf(const UsageLedger &ledger, std::uint64_t window);

} // namespace mimosahollow::duties
