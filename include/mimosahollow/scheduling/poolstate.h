#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/quarantine/crashledger.h"
#include "mimosahollow/quarantine/soundparts.h"
#include "mimosahollow/scheduling/adapterstate.h"
#include "mimosahollow/scheduling/crashevidence.h"
#include "mimosahollow/scheduling/declaration.h"
#include "mimosahollow/scheduling/requestindex.h"
#include "mimosahollow/scheduling/requestrecord.h"
#include "mimosahollow/scheduling/serverstate.h"
#include "mimosahollow/scheduling/settings.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosahollow::scheduling {

/** Fair-queueing state of one organisation in the pool. */
struct OrganisationState
{
    double weight = 1;
    double servedTokens = 0; /**< Virtual time: charged tokens divided by weight. */
    double servedLoads = 0; /**< Virtual time: loads divided by weight. */
    std::uint32_t waiting = 0; /**< Number of waiting requests. */
    std::uint32_t running = 0; /**< Number of grants. */
};

/** Server that last ran a request with the prefix hash. */
struct PrefixEntry
{
    std::uint64_t hash = 0;
    std::uint16_t server = 0; /**< Index. */
};

/** Complete state of a pool at its owner. A copy is a full snapshot. */
struct PoolState
{
    static constexpr std::size_t prefixEntries = 4096; // direct-mapped; a collision only costs a prefix-cache hit

    /** Prompt parts of answers that broke off soon after their beginning on one process of a server. */
    struct BrokenAnswers
    {
        TimePoint since;
        std::set<std::string> parts;
    };

    PoolId pool{};
    FencingNumber fencing = 0;
    SchedulingSettings settings;
    ServiceState domainState = ServiceState::InService;

    std::vector<ServerState> servers;
    std::vector<std::uint32_t> serverIndexes; /**< Server id to index in servers; noIndex: unknown. */
    std::vector<AdapterState> adapters; /**< By adapter id; element 0 is for requests without an adapter. */
    std::vector<OrganisationState> organisations; /**< By organisation id. */
    std::vector<RequestRecord> records;
    std::uint32_t freeRecord = noIndex; /**< Head of the free list in records. */
    RequestIndex index;
    std::vector<std::uint32_t> waitingAdapters; /**< Ids of adapters with waiting requests, unordered. */
    std::array<PrefixEntry, prefixEntries> prefixes{};

    std::uint32_t waiting = 0; /**< Number of waiting requests. */
    std::uint32_t loadsInFlight = 0;
    double loadTokens = 0; /**< Available tokens of the load budget; one load takes one. */
    std::uint32_t loadTokenDemand = 0; /**< Tokens of the fleet-wide load budget that the pool could use now. */
    std::uint32_t urgentLoadTokenDemand = 0; /**< Part of loadTokenDemand for organisations with a short queue; served first. */
    double averageLoadSeconds = 0.25; /**< Moving average of the duration of a load. */
    double averageServiceSeconds = 1; /**< Moving average of the time from grant to release. */
    double minimumSecondsPerToken = 0; /**< Duration of fast grants per maximum output token; 0: unknown. */
    double tokenVirtualTime = 0; /**< Highest servedTokens at the start of a grant. */
    double loadVirtualTime = 0; /**< Highest servedLoads at the start of a load. */
    std::uint64_t nextGrant = 1;
    std::uint64_t nextOrder = 1;
    std::uint64_t randomState = 0; /**< State of the pseudo-random generator that breaks ties. */
    TimePoint popularityOrigin;
    TimePoint unknownGrantsExpireAt; /**< Expiry of the last grant of earlier owners. */
    TimePoint ordersAllowedFrom; /**< Earliest order to servers that ignore fencing numbers. */
    TimePoint ownedSince;
    std::vector<InstanceId> unreportedInstances; /**< Entry instances that have not reported their grants to this owner. */
    std::map<std::pair<std::uint32_t, std::uint64_t>, BrokenAnswers> brokenAnswers; /**< By server and incarnation. */
    quarantine::CrashLedger crashes; /**< With the evidence of all owners. */
    CrashEvidence crashEvidence; /**< For the other owners. */
    quarantine::SoundParts soundParts;
    bool mayHaveUnknownGrants = false; /**< Grants of earlier owners may exist that this owner does not know. */
};

/** Returns an empty state with its storage reserved. */
[[nodiscard]] PoolState makePool(PoolId pool, const SchedulingSettings &settings, TimePoint now);

} // namespace mimosahollow::scheduling
