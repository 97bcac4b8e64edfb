#include "mimosahollow/duties/usagecounter.h"

#include "mimosahollow/duties/reportingwindow.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::duties {

namespace {

constexpr std::int64_t offsetLifetime = 10'000; // a steady clock drifts by a millisecond in that time
constexpr std::uint64_t keptWindows = 24; // without a leader; beyond the platform's limit for reports, and beyond what a new leader still fixes

std::optional<std::uint64_t> currentWindow(const UsageCounter &counter, std::int64_t boot)
{
    if (counter.windowLength <= 0 || !counter.offset) {
        return std::nullopt;
    }
    return windowAt(boot + *counter.offset, counter.windowLength);
}

void countCalls(UsageCounter &counter, const std::string &organisation, std::uint32_t calls, std::int64_t boot)
{
    const auto window = currentWindow(counter, boot);
    if (!window) {
        counter.undated[organisation] += calls;
        return;
    }
    // A corrected offset may lead back into a window whose counts were already called final.
    const std::uint64_t open = std::max({*window, counter.closedWindow + 1, counter.fixedWindow + 1});
    counter.counts[{open, organisation}].calls += calls;
}

} // namespace

void synchronise(UsageCounter &counter, std::int64_t fleet, std::int64_t sent, std::int64_t boot)
{
    // The answer left the leader at an unknown time between the report and now. An answer that lay in a buffer while this machine was suspended has
    // a large error and replaces only an old offset.
    const std::int64_t error = std::max<std::int64_t>(boot - sent, 0);
    if (counter.offset && error > counter.offsetError && boot - counter.offsetAt < offsetLifetime) {
        return;
    }
    counter.offset = fleet - boot + error / 2;
    counter.offsetAt = boot;
    counter.offsetError = error;
    for (const auto &[organisation, calls] : std::exchange(counter.undated, {})) {
        countCalls(counter, organisation, calls, boot);
    }
}

void countCall(UsageCounter &counter, const std::string &organisation, std::int64_t boot)
{
    if (counter.windowLength > 0 && !organisation.empty()) {
        countCalls(counter, organisation, 1, boot);
    }
}

std::vector<fleetlink::UsageCount> countsToReport(UsageCounter &counter, std::uint64_t stamp, std::int64_t boot)
{
    const auto window = currentWindow(counter, boot);
    if (!window || *window == 0) {
        return {};
    }
    counter.closedWindow = std::max(counter.closedWindow, *window - 1);
    std::erase_if(counter.counts, [window](const auto &item) {
        return item.first.first + keptWindows < *window;
    });
    std::vector<fleetlink::UsageCount> report;
    for (auto &[key, count] : counter.counts) {
        if (count.calls != count.confirmed) {
            report.push_back({key.first, key.second, count.calls});
            count.reported = count.calls;
            count.reportStamp = stamp;
        }
    }
    if (counter.closedWindow > counter.fixedWindow) {
        report.push_back({counter.closedWindow, {}, 0});
    }
    return report;
}

void reportAnswered(UsageCounter &counter, std::uint64_t stamp, std::uint64_t fixedWindow)
{
    for (auto &[key, count] : counter.counts) {
        if (count.reportStamp != 0 && count.reportStamp <= stamp) {
            count.confirmed = count.reported;
        }
    }
    counter.fixedWindow = std::max(counter.fixedWindow, fixedWindow);
    std::erase_if(counter.counts, [&counter](const auto &item) {
        return item.first.first <= counter.fixedWindow;
    });
}

void reportAll(UsageCounter &counter)
{
    for (auto &[key, count] : counter.counts) {
        count.confirmed = 0;
        count.reportStamp = 0;
    }
}

} // namespace mimosahollow::duties
