#include "mimosahollow/duties/fleetclock.h"

#include <algorithm>
#include <vector>

namespace mimosahollow::duties {

namespace {

constexpr std::int64_t readingLifetime = 3000; // six reports of an idle entry instance

} // namespace

void recordClock(FleetClock &clock, const std::string &machine, std::int64_t wall, std::int64_t boot)
{
    clock.readings[machine] = {wall - boot, boot};
}

std::optional<std::int64_t> fleetTime(FleetClock &clock, std::size_t minimum, std::int64_t boot)
{
    std::erase_if(clock.readings, [boot](const auto &item) {
        return boot - item.second.at > readingLifetime;
    });
    if (clock.readings.empty() || clock.readings.size() < minimum) {
        return std::nullopt;
    }
    std::vector<std::int64_t> offsets;
    for (const auto &[machine, reading] : clock.readings) {
        offsets.push_back(reading.offset);
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return boot + *middle;
}

} // namespace mimosahollow::duties
