#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/duties/dutyrules.h"

namespace mimosahollow::coordinator {

/** Duties that the platform gives to one machine at a time. Nothing runs for a duty that is not set. */
struct DutySettings
{
    bool reportsUsage = false;
    bool scales = false; /**< Orders numbers of servers. */
    Duration reportWindow = seconds(5);
    double callsPerSecond = 0; /**< From all machines together; 0: no limit. */
    Duration takeoverDelay = duties::TakeoverTimes{}.delay; /**< See duties::TakeoverTimes. */
    Duration returnDelay = duties::TakeoverTimes{}.returnDelay;
};

} // namespace mimosahollow::coordinator
