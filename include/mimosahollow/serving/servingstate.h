#pragma once

#include "mimosahollow/admission/bucketowner.h"
#include "mimosahollow/admission/keytable.h"
#include "mimosahollow/admission/quotaleases.h"
#include "mimosahollow/admission/retrybudget.h"
#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/routing/poolchoice.h"
#include "mimosahollow/routing/routingindex.h"
#include "mimosahollow/scheduling/poolstate.h"
#include "mimosahollow/serving/call.h"
#include "mimosahollow/serving/configurationindex.h"

#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace mimosahollow::serving {

/** A pool that this instance owns. */
struct OwnedPool
{
    scheduling::PoolState state;
    TimePoint ownedUntil{}; /**< End of the lease; nothing may be granted or ordered from then on. */
    bool awaitsLoadToken = false; /**< A request for a token of the load budget is pending. */
    RequestId loadTokenRequestId; /**< Id of that request in the quota leases. */
    scheduling::CrashEvidence sharedEvidence; /**< As last sent to the owners of the other pools of the same kind. */
};

/** An order that was sent to a backend server and has no result yet. */
struct PendingOrder
{
    PoolId pool{};
    std::uint64_t poolOrder = 0; /**< Number of the order in the pool's state. */
    FencingNumber fencing = 0; /**< Of the ownership that issued the order; each ownership numbers its orders from 1. */
};

/** State of the serving part of an instance. Not thread-safe; changed by the functions in serving.h. */
struct ServingState
{
    InstanceId self{}; /**< 0 until the instance is registered. */
    DomainId home{}; /**< Failure domain of this instance. */
    std::uint64_t process = 0; /**< Random number that identifies this run of the process. */
    TimePoint freshUntil{}; /**< Keys may be accepted until this time. */
    bool draining = false;
    bool tokensReturned = false; /**< The quota leases have been closed for the shutdown. */
    ConfigurationIndex index;
    admission::KeyTable keys;
    routing::RoutingIndex routes;
    admission::QuotaLeases quotas;
    admission::BucketOwner buckets;
    TimePoint bucketsOwnedUntil{};
    admission::RetryBudget retryBudget;
    std::map<PoolId, OwnedPool> pools;
    std::vector<routing::PoolSummary> summaries; /**< One for each pool, in the order of the configuration. */
    std::map<PoolId, FencingNumber> reportedFencing; /**< Ownership to which the grants were last reported; 0 if the report may be lost. */
    std::unordered_map<RequestId, Call> calls;
    std::unordered_map<std::uint64_t, PendingOrder> pendingOrders; /**< By the number of the gateway's order. */
    std::uint64_t nextOrder = 1;
    std::uint64_t nextLoadTokenSequence = 1;
    TimePoint nextSummariesAt{};
    TimePoint nextRemoteSummariesAt{};
    std::mt19937_64 random;
};

/** @p process identifies this run of the process; @p seed initialises the generator for ties and random choices. */
[[nodiscard]] ServingState makeServingState(std::uint64_t process, std::uint64_t seed);

} // namespace mimosahollow::serving
