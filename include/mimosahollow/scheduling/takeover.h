#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <vector>

namespace mimosahollow::scheduling {

/** How an instance became the owner of a pool without a handover. */
struct Takeover
{
    FencingNumber fencing = 0;
    std::vector<InstanceId> instances; /**< Entry instances that could hold grants of earlier owners. */
    TimePoint unknownGrantsExpireAt; /**< The last grant of an earlier owner has expired by then (maximum request deadline). */
    TimePoint ordersAllowedFrom; /**< Old lease plus the longest order in flight; for servers that ignore fencing numbers. */
};

} // namespace mimosahollow::scheduling
