#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/duties/callqueue.h"
#include "mimosahollow/duties/fleetclock.h"
#include "mimosahollow/duties/usageledger.h"
#include "mimosahollow/fleetsize/fleetsize.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mimosahollow::coordinator {

/** What a coordinator keeps for its duties; all but the queue's calls without an outcome and the counters belong to one term. */
struct DutyState
{
    duties::FleetClock clock;
    duties::UsageLedger ledger;
    std::uint64_t firstWindow = 0; /**< First window to fix when none is fixed yet; 0: not known. */
    duties::CallQueue queue;
    std::map<std::string, fleetsize::FleetSize> sizes; /**< By service. */
    TimePoint nextSizing{};
    std::optional<std::uint64_t> confirmation; /**< Round of the log in progress that confirms the leadership. */
    std::int64_t confirmationBegan = 0; /**< Boot time in milliseconds. */
    std::optional<std::int64_t> confirmed; /**< Begin of the newest round that a majority has answered. */
    std::set<std::string> pendingTakes; /**< Duties with a command on its way. */
    bool isFixing = false; /**< A command for a window is on its way. */
    std::set<std::uint64_t> pendingAcknowledgements; /**< Windows with a command on its way. */

    std::uint64_t callsAccepted = 0;
    std::uint64_t callsThrottled = 0;
    std::uint64_t callsRejected = 0;
    std::uint64_t callsUnanswered = 0;
    std::uint64_t lag = 0; /**< Milliseconds since the end of the newest window whose report was acknowledged, on the leader. */
    std::uint64_t lateCounts = 0; /**< Calls that were reported after their window was fixed. */
};

} // namespace mimosahollow::coordinator
