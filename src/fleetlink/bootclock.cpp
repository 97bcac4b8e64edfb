#include "fleetlink/bootclock.h"

#include <ctime>

namespace mimosahollow::fleetlink {

namespace {

std::int64_t millisecondsOf(clockid_t clock) noexcept
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000;
}

} // namespace

std::int64_t bootMilliseconds() noexcept
{
    return millisecondsOf(CLOCK_BOOTTIME);
}

std::int64_t wallMilliseconds() noexcept
{
    return millisecondsOf(CLOCK_REALTIME);
}

} // namespace mimosahollow::fleetlink
