#include "mimosahollow/duties/usageledger.h"

#include "mimosahollow/duties/reportingwindow.h"

#include <algorithm>

namespace mimosahollow::duties {

namespace {

constexpr std::int64_t fixingDelay = 5000; // half of the time in which the platform wants the report; the rest is left for the call
constexpr std::uint64_t fixableWindows = 12; // a minute; windows from before a longer outage of the whole fleet are not reported
constexpr std::uint64_t rememberedWindows = 4; // fixed ones whose counts are kept, to tell late counts from repeated ones
constexpr std::size_t maximumWindows = 64; // bounds what a wrong clock can allocate

} // namespace

std::size_t recordUsage(UsageLedger &ledger, const UsageLedger::Source &source, std::span<const fleetlink::UsageCount> counts)
{
    std::size_t late = 0;
    for (const fleetlink::UsageCount &count : counts) {
        if (count.organisation.empty()) {
            std::uint64_t &closed = ledger.closedWindows[source.first];
            closed = std::max(closed, count.window);
            continue;
        }
        const bool isFixed = count.window <= ledger.fixedWindow;
        if (!isFixed && ledger.windows.size() >= maximumWindows && !ledger.windows.contains(count.window)) {
            continue;
        }
        const auto window = isFixed ? ledger.windows.find(count.window) : ledger.windows.try_emplace(count.window).first;
        if (window == ledger.windows.end()) {
            continue; // fixed by an earlier leader; the instance repeats what it has not learned to be fixed
        }
        if (isFixed) {
            const auto sourceCounts = window->second.find(source);
            const auto known = sourceCounts == window->second.end() ? UsageLedger::Counts() : sourceCounts->second;
            const auto calls = known.find(count.organisation);
            const std::uint64_t included = calls == known.end() ? 0 : calls->second;
            late += count.calls > included ? count.calls - included : 0;
            continue;
        }
        // Counts only grow; a report that was delayed on an earlier connection is older.
        std::uint64_t &calls = window->second[source][count.organisation];
        calls = std::max<std::uint64_t>(calls, count.calls);
    }
    return late;
}

void setFixedWindow(UsageLedger &ledger, std::uint64_t window)
{
    ledger.fixedWindow = std::max(ledger.fixedWindow, window);
    std::erase_if(ledger.windows, [&ledger](const auto &item) {
        return item.first + rememberedWindows <= ledger.fixedWindow;
    });
    std::erase_if(ledger.closedWindows, [&ledger](const auto &item) {
        return item.second + maximumWindows < ledger.fixedWindow; // the entry instance is gone
    });
}

std::optional<std::uint64_t>
windowToFix(const UsageLedger &ledger, std::uint64_t first, std::span<const std::string> entries, std::int64_t fleetMilliseconds, std::int64_t windowLength)
{
    const std::uint64_t current = windowAt(fleetMilliseconds, windowLength);
    std::uint64_t window = ledger.fixedWindow == 0 ? first : ledger.fixedWindow + 1;
    if (window + fixableWindows < current) {
        window = current - fixableWindows;
    }
    const std::int64_t end = windowEnd(window, windowLength);
    if (window == 0 || fleetMilliseconds < end) {
        return std::nullopt;
    }
    const bool isComplete = std::all_of(entries.begin(), entries.end(), [&ledger, window](const std::string &entry) {
        const auto closed = ledger.closedWindows.find(entry);
        return closed != ledger.closedWindows.end() && closed->second >= window;
    });
    return isComplete || fleetMilliseconds >= end + fixingDelay ? std::optional(window) : std::nullopt;
}

UsageReport sumOf(const UsageLedger &ledger, std::uint64_t window)
{
    UsageReport report{window, {}};
    if (const auto found = ledger.windows.find(window); found != ledger.windows.end()) {
        for (const auto &[source, counts] : found->second) {
            for (const auto &[organisation, calls] : counts) {
                report.counts[organisation] += calls;
            }
        }
    }
    return report;
}

} // namespace mimosahollow::duties
