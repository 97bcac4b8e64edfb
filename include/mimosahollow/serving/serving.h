#pragma once

#include "mimosahollow/gateway/backendevents.h"
#include "mimosahollow/gateway/backendorder.h"
#include "mimosahollow/gateway/servingrequest.h"
#include "mimosahollow/gateway/servingresult.h"
#include "mimosahollow/serving/actions.h"
#include "mimosahollow/serving/servingstate.h"

#include <memory>

namespace mimosahollow::serving {

/** Result of a CommitCommand. If @c committed is false, no majority confirmed it in time; it may still be applied later. */
struct CommitResult
{
    RequestId call;
    bool committed = false;
    bool sent = false; /**< If false, the command reached no voter and will not be applied. */
    control::CommandResult result;
};

/** Lease on a pool that this instance acquired or renewed. */
struct PoolLease
{
    PoolId pool{};
    FencingNumber fencing = 0;
    TimePoint ownedUntil{};
    TimePoint ordersFrom{}; /**< Earliest time of an order to a server that ignores fencing numbers. */
};

// Event handlers of one instance. Each appends to @p actions, which the caller must execute in order.

void handle(ServingState &state, gateway::ServingRequest request, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::ServingResult &result, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::BackendAnnouncement &announcement, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::BackendReport &report, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::BackendLimit &limit, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::BackendOrderResult &result, TimePoint now, Actions &actions);
void handle(ServingState &state, const CommitResult &result, TimePoint now, Actions &actions);

/** Handles a message from the instance @p from. The link has authenticated the sender. */
void handlePeerMessage(ServingState &state, InstanceId from, PeerMessage message, TimePoint now, Actions &actions);

/** Handles the loss of the link to @p peer. Calls that wait for its grants try another pool. */
void handlePeerDisconnected(ServingState &state, InstanceId peer, TimePoint now, Actions &actions);

/** Handles a message to @p peer that the link did not accept. */
void handleSendFailure(ServingState &state, InstanceId peer, const PeerMessage &message, TimePoint now, Actions &actions);

/** Applies a new configuration. @p self is the id of this instance in it and @p home its failure domain. */
void setConfiguration(
    ServingState &state, std::shared_ptr<const control::Configuration> configuration, InstanceId self, DomainId home, TimePoint now, Actions &actions);

/** Sets the time until which the configuration is known to be current and keys may be accepted. */
void setFreshUntil(ServingState &state, TimePoint freshUntil) noexcept;

/** Takes up or renews the ownership of a pool. Ignored if the configuration assigns the pool to another instance. */
void setPoolLease(ServingState &state, const PoolLease &lease, TimePoint now, Actions &actions);

/** Sets the lease on the token buckets of the home domain. */
void setBucketLease(ServingState &state, FencingNumber fencing, TimePoint ownedUntil, TimePoint now);

/** Begins a graceful shutdown: refuses new calls, and returns the tokens once the last call has ended. */
void beginDrain(ServingState &state, TimePoint now, Actions &actions);

/** Runs periodic work: deadlines, retries, quota leases, load tokens and pool summaries. Must be called every 10 to 50 ms. */
void tick(ServingState &state, TimePoint now, Actions &actions);

} // namespace mimosahollow::serving
