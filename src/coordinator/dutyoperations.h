#pragma once

#include "mimosahollow/duties/dutycall.h"

#include <functional>

namespace mimosahollow::coordinator {

/** Calls to the platform that only one machine at a time may make. The callback runs on the coordinator's event loop. */
struct DutyOperations
{
    /** Sends @p call once. Null: the platform has no duties. */
    std::function<void(duties::DutyCall call, std::function<void(duties::DutyOutcome)> done)> send;
};

} // namespace mimosahollow::coordinator
