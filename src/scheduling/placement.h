#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Server for a request, and why. */
struct ServerChoice
{
    std::uint32_t server = noIndex;
    std::uint32_t candidates = 0; /**< Servers that could run it now. */
    DecisionReason reason = DecisionReason::LeastLoaded;
};

[[nodiscard]] ServerChoice chooseServer(PoolState &state, const AcquireRequest &request, TimePoint now) noexcept;

void grant(PoolState &state, std::uint32_t record, const ServerChoice &choice, TimePoint now, Actions &actions);

/** Ends a grant and frees its record. */
void endGrant(PoolState &state, std::uint32_t record, double tokensUsed) noexcept;

/** Refuses a request that has no record or has left the queue. */
void refuse(const AcquireRequest &request, RefusalReason reason, Duration retryAfter, Actions &actions);

/** Refuses a waiting request and frees its record. */
void refuseWaiting(PoolState &state, std::uint32_t record, RefusalReason reason, Duration retryAfter, Actions &actions);

/** Refuses every waiting request when no server can take new work. Returns whether one can. */
bool refuseWithoutServers(PoolState &state, Actions &actions);

/** Grants waiting requests to the server while it has free slots. */
void grantWaiting(PoolState &state, std::uint32_t server, TimePoint now, Actions &actions);
void grantAllWaiting(PoolState &state, TimePoint now, Actions &actions);

} // namespace mimosahollow::scheduling
