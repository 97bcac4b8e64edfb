#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

/** Server chosen for a request, with the reason. */
struct ServerChoice
{
    std::uint32_t server = noIndex;
    std::uint32_t candidates = 0; /**< Servers that could start the request now. */
    DecisionReason reason = DecisionReason::LeastLoaded;
};

/** The least loaded server with a free slot and the adapter, or one with the prefix cached. ServerChoice::server: noIndex if none. */
[[nodiscard]] ServerChoice chooseServer(PoolState &state, const AcquireRequest &request, TimePoint now) noexcept;

/** Grants the request of a new or dequeued record. */
void grant(PoolState &state, std::uint32_t record, const ServerChoice &choice, TimePoint now, Actions &actions);

/** Ends a grant, charges the tokens used instead of the estimate, and frees the record. */
void endGrant(PoolState &state, std::uint32_t record, double tokensUsed) noexcept;

/** Refuses a request that is not in the queue. */
void refuse(const AcquireRequest &request, RefusalReason reason, Duration retryAfter, Actions &actions);

/** Removes a waiting request from the queue, refuses it and frees its record. */
void refuseWaiting(PoolState &state, std::uint32_t record, RefusalReason reason, Duration retryAfter, Actions &actions);

/** Refuses the waiting requests that no usable server could run. Returns whether any server is usable. */
bool refuseWithoutServers(PoolState &state, Actions &actions);

/** Grants waiting requests on the server while it has free slots. */
void grantWaiting(PoolState &state, std::uint32_t server, TimePoint now, Actions &actions);
void grantAllWaiting(PoolState &state, TimePoint now, Actions &actions);

} // namespace mimosahollow::scheduling
