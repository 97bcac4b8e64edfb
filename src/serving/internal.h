#pragma once

#include "mimosahollow/serving/serving.h"

// Functions that only the sources of this module use.

namespace mimosahollow::serving {

/** Requests a grant from the best pool. If no pool is usable, the call waits and tickCalls() tries again. */
void requestGrant(ServingState &state, Call &call, TimePoint now, Actions &actions);

/** Refuses a call and ends it. If it did not run, refunds its tokens and withdraws its idempotency record. */
void refuseCall(ServingState &state, const RequestId &id, RefusalReason reason, CallOutcome outcome, Duration retryAfter, TimePoint now, Actions &actions);

/** Refuses a request for which no call has been created. */
void refuseRequest(const gateway::ServingRequest &request, RefusalReason reason, Actions &actions);

/** Removes a call and refunds the tokens that it did not use. */
void finishCall(ServingState &state, const RequestId &id, std::uint64_t usedTokens, TimePoint now, Actions &actions);

/** Reserves tokens of the organisation's quota, then requests a grant. The idempotency record exists or is not needed. */
void reserveTokens(ServingState &state, Call &call, TimePoint now, Actions &actions);
/** Proposes the BeginCall that creates the idempotency record. */
void recordCall(ServingState &state, Call &call, Actions &actions);
/** Withdraws the idempotency record of a call that did not run, which would otherwise block a resend. */
void abandonRecord(const Call &call, Actions &actions);
/** Stores the answer in the idempotency record. */
void completeRecord(const Call &call, const gateway::ServingResult &result, Actions &actions);

void onGrant(ServingState &state, PoolId pool, const scheduling::Grant &grant, TimePoint now, Actions &actions);
void onRefusal(ServingState &state, PoolId pool, const scheduling::Refusal &refusal, TimePoint now, Actions &actions);
/** Refuses all requests that wait in an owned pool, so that their entry instances try other pools. */
void refuseWaiting(ServingState &state, PoolId pool, TimePoint now, Actions &actions);
void onCancel(ServingState &state, PoolId pool, const RequestId &id, TimePoint now, Actions &actions);

/** Returns a grant to the present owner of the pool. */
void returnGrant(ServingState &state, PoolId pool, const scheduling::Release &release, TimePoint now, Actions &actions);

[[nodiscard]] bool ownsPool(const ServingState &state, PoolId pool, TimePoint now) noexcept;
[[nodiscard]] bool ownsBuckets(const ServingState &state, TimePoint now) noexcept;

/** Delivers a message about a pool to its owner: this instance or a peer. */
void sendToOwner(ServingState &state, PoolId pool, InstanceId owner, PoolMessageBody body, TimePoint now, Actions &actions);
void handlePoolMessage(ServingState &state, InstanceId from, PoolMessage message, TimePoint now, Actions &actions);

/** Executes the actions that an owned pool decided. */
void carryOut(ServingState &state, PoolId pool, scheduling::Actions &decided, TimePoint now, Actions &actions);

/** Reports to a new owner the grants of its pool that this instance holds. */
void reportGrants(ServingState &state, PoolId pool, InstanceId owner, TimePoint now, Actions &actions);

/** Requests tokens of the load budget for the owned pools that want to load adapters. */
void requestLoadTokens(ServingState &state, TimePoint now, Actions &actions);

/** Executes the actions that the quota leases decided. */
void carryOut(ServingState &state, admission::LeaseActions &decided, TimePoint now, Actions &actions);
void handleTokenMessage(ServingState &state, PeerMessage message, TimePoint now, Actions &actions);
void tickTokens(ServingState &state, TimePoint now, Actions &actions);
void tickPools(ServingState &state, TimePoint now, Actions &actions);
void tickCalls(ServingState &state, TimePoint now, Actions &actions);

/** Returns the pool of a server, or PoolId{} if the configuration has none. */
[[nodiscard]] PoolId poolOfServer(const ServingState &state, ServerId server) noexcept;

/** Returns a null pointer if the configuration has no such pool. */
[[nodiscard]] routing::PoolSummary *findSummary(ServingState &state, PoolId pool) noexcept;

} // namespace mimosahollow::serving
