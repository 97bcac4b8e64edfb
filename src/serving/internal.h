#pragma once

#include "mimosahollow/serving/serving.h"

// Functions shared by the sources of this module.

namespace mimosahollow::serving {

/** Asks the best pool for a grant. Waits for a pool when none is usable at present. */
void requestGrant(ServingState &state, Call &call, TimePoint now, Actions &actions);

/** Ends a call with a refusal; refunds its tokens and withdraws its idempotency record when it did not run. */
void refuseCall(ServingState &state, const RequestId &id, RefusalReason reason, CallOutcome outcome, Duration retryAfter, TimePoint now, Actions &actions);

/** Refuses a request that never became a call. */
void refuseRequest(const gateway::ServingRequest &request, RefusalReason reason, Actions &actions);

/** Refunds what the call did not use and removes it. */
void finishCall(ServingState &state, const RequestId &id, std::uint64_t usedTokens, TimePoint now, Actions &actions);

/** Continues after the idempotency record exists or none is needed. */
void reserveTokens(ServingState &state, Call &call, TimePoint now, Actions &actions);
void recordCall(ServingState &state, Call &call, Actions &actions);
/** Withdraws the idempotency record of a call that did not run, so that it does not block a resend. */
void abandonRecord(const Call &call, Actions &actions);
void completeRecord(const Call &call, const gateway::ServingResult &result, Actions &actions);

void onGrant(ServingState &state, PoolId pool, const scheduling::Grant &grant, TimePoint now, Actions &actions);
void onRefusal(ServingState &state, PoolId pool, const scheduling::Refusal &refusal, TimePoint now, Actions &actions);
/** Refuses everything that waits in an owned pool, so that the entry instances look elsewhere. */
void refuseWaiting(ServingState &state, PoolId pool, TimePoint now, Actions &actions);
void onCancel(ServingState &state, PoolId pool, const RequestId &id, TimePoint now, Actions &actions);

/** Returns a grant to the pool's owner. */
void returnGrant(ServingState &state, PoolId pool, const scheduling::Release &release, TimePoint now, Actions &actions);

[[nodiscard]] bool ownsPool(const ServingState &state, PoolId pool, TimePoint now) noexcept;
[[nodiscard]] bool ownsBuckets(const ServingState &state, TimePoint now) noexcept;

/** Delivers a message about a pool to its owner: this instance or a peer. */
void sendToOwner(ServingState &state, PoolId pool, InstanceId owner, PoolMessageBody body, TimePoint now, Actions &actions);
void handlePoolMessage(ServingState &state, InstanceId from, PoolMessage message, TimePoint now, Actions &actions);

/** Carries out what a decision of an owned pool asks for. */
void carryOut(ServingState &state, PoolId pool, scheduling::Actions &decided, TimePoint now, Actions &actions);

/** Tells a new owner which of its pool's grants this instance holds. */
void reportGrants(ServingState &state, PoolId pool, InstanceId owner, TimePoint now, Actions &actions);

/** Obtains tokens of the load budget for pools that could use them. */
void requestLoadTokens(ServingState &state, TimePoint now, Actions &actions);

/** Carries out what the quota leases ask for. */
void carryOut(ServingState &state, admission::LeaseActions &decided, TimePoint now, Actions &actions);
void handleTokenMessage(ServingState &state, PeerMessage message, TimePoint now, Actions &actions);
void tickTokens(ServingState &state, TimePoint now, Actions &actions);
void tickPools(ServingState &state, TimePoint now, Actions &actions);
void tickCalls(ServingState &state, TimePoint now, Actions &actions);

/** Pool that the server belongs to; PoolId{} when the configuration has none. */
[[nodiscard]] PoolId poolOfServer(const ServingState &state, ServerId server) noexcept;

[[nodiscard]] routing::PoolSummary *findSummary(ServingState &state, PoolId pool) noexcept;

} // namespace mimosahollow::serving
