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
    TimePoint ownedUntil{}; /**< The lease may not be used after this time. */
    bool awaitsLoadToken = false; /**< A load token is being obtained from the load bucket. */
    RequestId loadTokenRequestId; /**< Names the waiting token in the quota leases. */
};

/** An order on its way to a backend server. */
struct PendingOrder
{
    PoolId pool{};
    std::uint64_t poolOrder = 0; /**< Number in the pool's state. */
    FencingNumber fencing = 0; /**< Of the ownership that gave it; the next one counts its orders from 1 again. */
};

/** Everything that one instance needs to serve calls. Touched by one thread only; driven by the functions in serving.h. */
struct ServingState
{
    InstanceId self{}; /**< 0 until the instance is registered. */
    DomainId home{};
    std::uint64_t process = 0;
    TimePoint freshUntil{}; /**< Keys may be accepted until then. */
    bool draining = false;
    bool tokensReturned = false; /**< The quota leases were closed for the shutdown. */
    ConfigurationIndex index;
    admission::KeyTable keys;
    routing::RoutingIndex routes;
    admission::QuotaLeases quotas;
    admission::BucketOwner buckets;
    TimePoint bucketsOwnedUntil{};
    admission::RetryBudget retryBudget;
    std::map<PoolId, OwnedPool> pools;
    std::vector<routing::PoolSummary> summaries; /**< One for each pool of the configuration, in its order. */
    std::map<PoolId, FencingNumber> reportedFencing; /**< Owner that has this instance's grant report. */
    std::unordered_map<RequestId, Call> calls;
    std::unordered_map<std::uint64_t, PendingOrder> pendingOrders;
    std::uint64_t nextOrder = 1;
    std::uint64_t nextLoadTokenSequence = 1;
    TimePoint nextSummariesAt{};
    TimePoint nextRemoteSummariesAt{};
    std::mt19937_64 random;
};

/** @p process is the random start number of the process; @p seed feeds ties and random choices. */
[[nodiscard]] ServingState makeServingState(std::uint64_t process, std::uint64_t seed);

} // namespace mimosahollow::serving
