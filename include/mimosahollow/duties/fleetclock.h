#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mimosahollow::duties {

/** Time of day as the machines of the fleet tell it. All times are milliseconds; boot time is that of this machine and includes suspensions. */
struct FleetClock
{
    struct Reading
    {
        std::int64_t offset = 0; /**< Time of day minus boot time. */
        std::int64_t at = 0; /**< Boot time. */
    };
    std::map<std::string, Reading> readings; /**< Newest one by machine. */
};

/** @p machine has told @p wall as its time of day. */
void recordClock(FleetClock &clock, const std::string &machine, std::int64_t wall, std::int64_t boot);

/**
 * Unix time by the median of the clocks, so that a minority of wrong clocks shifts it no further than the others differ. Forgets old readings; nullopt
 * with fewer than @p minimum readings.
 */
[[nodiscard]] std::optional<std::int64_t> fleetTime(FleetClock &clock, std::size_t minimum, std::int64_t boot);

} // namespace mimosahollow::duties
