#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <vector>

namespace mimosahollow::scheduling {

/** Start of ownership without a handover: the state of the earlier owner is lost. */
struct Takeover
{
    FencingNumber fencing = 0;
    std::vector<InstanceId> instances; /**< Entry instances that may hold grants of earlier owners. */
    TimePoint unknownGrantsExpireAt; /**< Expiry of the last grant of earlier owners: the maximum request deadline. */
    TimePoint ordersAllowedFrom; /**< End of the old lease plus the longest order in flight; for servers that ignore fencing numbers. */
};

} // namespace mimosahollow::scheduling
