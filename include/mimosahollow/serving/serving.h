#pragma once

#include "mimosahollow/gateway/backendevents.h"
#include "mimosahollow/gateway/backendorder.h"
#include "mimosahollow/gateway/servingrequest.h"
#include "mimosahollow/gateway/servingresult.h"
#include "mimosahollow/serving/actions.h"
#include "mimosahollow/serving/servingstate.h"

#include <memory>

namespace mimosahollow::serving {

/** Result of a CommitCommand. Without @c committed no majority was reached in time; the command may still take effect. */
struct CommitResult
{
    RequestId call;
    bool committed = false;
    bool sent = false; /**< False: the command was not handed to any voter and has no effect. */
    control::CommandResult result;
};

/** This instance started to own a pool, or its lease was renewed. */
struct PoolLease
{
    PoolId pool{};
    FencingNumber fencing = 0;
    TimePoint ownedUntil{};
    TimePoint ordersFrom{}; /**< First order to a server that ignores fencing numbers. */
};

// Events of one instance. Each appends to the actions, which the caller carries out in order.

void handle(ServingState &state, gateway::ServingRequest request, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::ServingResult &result, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::BackendAnnouncement &announcement, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::BackendReport &report, TimePoint now, Actions &actions);
void handle(ServingState &state, const gateway::BackendOrderResult &result, TimePoint now, Actions &actions);
void handle(ServingState &state, const CommitResult &result, TimePoint now, Actions &actions);

/** A message from the instance @p from, whose identity the link has checked. */
void handlePeerMessage(ServingState &state, InstanceId from, PeerMessage message, TimePoint now, Actions &actions);

/** The link to an instance broke; calls that wait for its grants look elsewhere. */
void handlePeerDisconnected(ServingState &state, InstanceId peer, TimePoint now, Actions &actions);

/** The link could not take a message for @p peer. */
void handleSendFailure(ServingState &state, InstanceId peer, const PeerMessage &message, TimePoint now, Actions &actions);

/** A new configuration is in force. @p self is the number of this instance in it. */
void setConfiguration(
    ServingState &state, std::shared_ptr<const control::Configuration> configuration, InstanceId self, DomainId home, TimePoint now, Actions &actions);

void setFreshUntil(ServingState &state, TimePoint freshUntil) noexcept;
void setPoolLease(ServingState &state, const PoolLease &lease, TimePoint now, Actions &actions);

/** The lease of the home domain's token buckets. */
void setBucketLease(ServingState &state, FencingNumber fencing, TimePoint ownedUntil, TimePoint now);

/** A graceful shutdown has begun: new calls are refused, tokens are returned when the last call has ended. */
void beginDrain(ServingState &state, TimePoint now, Actions &actions);

/** Deadlines, renewals, load tokens, summaries. To be called every 10 to 50 ms. */
void tick(ServingState &state, TimePoint now, Actions &actions);

} // namespace mimosahollow::serving
