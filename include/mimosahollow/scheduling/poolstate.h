#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/scheduling/adapterstate.h"
#include "mimosahollow/scheduling/declaration.h"
#include "mimosahollow/scheduling/requestindex.h"
#include "mimosahollow/scheduling/requestrecord.h"
#include "mimosahollow/scheduling/serverstate.h"
#include "mimosahollow/scheduling/settings.h"

#include <array>
#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** Fair shares of one organisation in the pool. */
struct OrganisationState
{
    double weight = 1;
    double servedTokens = 0; /**< Virtual counter: tokens divided by weight. */
    double servedLoads = 0; /**< Virtual counter: loads divided by weight. */
    std::uint32_t waiting = 0;
    std::uint32_t running = 0; /**< Grants. */
};

struct PrefixEntry
{
    std::uint64_t hash = 0;
    std::uint16_t server = 0;
};

/** Everything that the owner of a pool knows. Copyable; a copy is a complete snapshot. */
struct PoolState
{
    static constexpr std::size_t prefixEntries = 4096; // direct mapped; a collision only costs a prefix-cache hit

    PoolId pool{};
    FencingNumber fencing = 0;
    SchedulingSettings settings;
    ServiceState domainState = ServiceState::InService;

    std::vector<ServerState> servers;
    std::vector<std::uint32_t> serverIndexes; /**< By server id; noIndex when not known. */
    std::vector<AdapterState> adapters; /**< By adapter id; 0 stands for requests without an adapter. */
    std::vector<OrganisationState> organisations; /**< By organisation id. */
    std::vector<RequestRecord> records;
    std::uint32_t freeRecord = noIndex;
    RequestIndex index;
    std::vector<std::uint32_t> waitingAdapters; /**< Adapter ids with waiting requests, in no order. */
    std::array<PrefixEntry, prefixEntries> prefixes{};

    std::uint32_t waiting = 0;
    std::uint32_t loadsInFlight = 0;
    double loadTokens = 0;
    std::uint32_t loadTokenDemand = 0; /**< How many tokens of the fleet-wide load budget the pool could use now. */
    std::uint32_t urgentLoadTokenDemand = 0; /**< Part of them for organisations with a short queue; to be given first. */
    double averageLoadSeconds = 0.25; /**< Moving average of the time that a load takes. */
    double averageServiceSeconds = 1; /**< Moving average of the time that a grant is held. */
    double minimumSecondsPerToken = 0; /**< Time of a fast grant by its maximum output tokens; 0: not known. */
    double tokenVirtualTime = 0; /**< Token counter of the organisation that was served last. */
    double loadVirtualTime = 0;
    std::uint64_t nextGrant = 1;
    std::uint64_t nextOrder = 1;
    std::uint64_t randomState = 0; /**< State of the generator that breaks ties. */
    TimePoint popularityOrigin;
    TimePoint unknownGrantsExpireAt; /**< Grants of earlier owners have expired by then. */
    TimePoint ordersAllowedFrom; /**< For servers that ignore fencing numbers. */
    TimePoint ownedSince;
    std::vector<InstanceId> unreportedInstances; /**< Entry instances that have not reported their grants. */
    bool mayHaveUnknownGrants = false; /**< Grants of earlier owners may exist. */
};

/** An empty state with its storage reserved. */
[[nodiscard]] PoolState makePool(PoolId pool, const SchedulingSettings &settings, TimePoint now);

} // namespace mimosahollow::scheduling
