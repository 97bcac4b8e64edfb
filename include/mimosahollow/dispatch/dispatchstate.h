#pragma once

#include "mimosahollow/admission/retrybudget.h"
#include "mimosahollow/callpermits/permitbucket.h"
#include "mimosahollow/catalog/catalogindex.h"
#include "mimosahollow/core/decayingrate.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/fleetlink/linkmessage.h"
#include "mimosahollow/placement/loadtime.h"
#include "mimosahollow/placement/olderversions.h"
#include "mimosahollow/registry/addressholder.h"
#include "mimosahollow/registry/serverrecord.h"
#include "mimosahollow/serverpace/localpace.h"
#include "mimosahollow/staleload/countage.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace mimosahollow::dispatch {

struct DispatchOptions
{
    std::string domain; /**< Failure domain of this instance. */
    double maximumBatchFill = 0.95; /**< Usable part of an engine's slots; the rest absorbs the delay of the other instances' counts. */
    unsigned plainQueueLimit = 3; /**< Calls queued beyond the slots of a plain backend server; each adds a service time of 15 ms to an objective of 100 ms. */
    double otherDomainCost = 0.05; /**< Load difference, as part of a batch, above which a call goes to another failure domain. */
    double failureCost = 1.5; /**< Cost of a backend server that fails every call, in batches. */
    Duration connectFailurePause =
        milliseconds(600); /**< For which no calls go to a backend server after a failed connection; doubles with each further one. */
    unsigned maximumPauseDoublings = 2;
    double coldRateShare = 1.0; /**< Used part of the call rate of a cold backend server; the platform allows 1.5 times the rate. */
    double waitShare = 0.9; /**< Part of the latency objective for which a call waits for capacity. */
    /** Part of the latency objective for which a call waits for an adapter: a late answer still has value, while a refusal costs a new call. */
    double adapterWaitShare = 1.7;
};

/** Copy of an adapter on a backend server. */
struct AdapterView
{
    std::uint64_t version = 0;
    TimePoint readyAt{}; /**< Calls may use it from then on. */
    TimePoint expectedAt{}; /**< End of the load as the leader expects it. */
    bool isLoadUntested = false; /**< The copy was seen in transit, and no call sent after the end of the load has been answered. */
};

/** State of a backend server as known to this entry instance. */
struct ServerView
{
    registry::ServerRecord record;
    TimePoint coldUntil{};
    unsigned running = 0; /**< Calls of this instance. */
    std::uint32_t key = 0; /**< registry::serverKey() of its id. */
    unsigned reportedRunning = 0; /**< Calls of this instance in its last report, which the load digest includes. */
    unsigned othersRunning = 0; /**< Calls of the other instances, in the newest load digest. */
    double pace = 1; /**< Time that work takes there, 1 for the median of its service; from the last load digest. */
    serverpace::LocalPace localPace; /**< From the calls of this instance. */
    double failureRate = 0; /**< Exponential average of failed calls, from 0 to 1. */
    unsigned connectFailures = 0; /**< Failed connections since the last call that it received. */
    TimePoint avoidUntil{}; /**< Receives no calls before, after a failed connection. */
    std::deque<TimePoint> coldSends; /**< Send times of recent calls while it was cold. */
    TimePoint firstColdSend{}; /**< Random start of sending while cold, if the share of this instance is below one call per second; unset: not drawn. */
    bool isLeaving = false; /**< Has said in an answer that it leaves; whatever its later announcements say. */
    TimePoint silentUntil{}; /**< Has asked for no calls before. */
    double callsPerSecond = 0; /**< Limit in force, named by the backend server, for all entry instances together; 0: none. */
    double statedLimit = 0; /**< In the newest answer to this instance. */
    TimePoint limitStatedAt{}; /**< Unset: no answer to this instance has named or ended a limit. */
    bool isLimitReported = false; /**< The leader has been sent the newest statement. */
    unsigned permits = 0; /**< Calls that may be sent under the limit. */
    TimePoint permitsUntil{};
    callpermits::PermitBucket ownPermits; /**< They accrue at an even share of the limit while no leader answers; without a limit otherwise. */
    std::set<std::string> permitWishes; /**< Ids of calls that a permit would have brought here since the last report. */
    std::uint64_t wishStamp = 0; /**< Of the report with a request that is not answered yet; 0: none. */
    TimePoint wishedAt{};
    std::uint64_t placementNumber = 0; /**< Of the update with the newest placement in this leader term. */
    TimePoint suspectUntil{}; /**< A call has not found its copy; the leader is asked to read the state of the server. */
    bool hasPlacement = false; /**< The leader has sent its placement, which overrides the adapters in its record. */
    std::map<std::pair<std::string, std::string>, AdapterView> adapters; /**< By model and adapter. */
    std::set<std::string> baseModels;
};

/** Calls of one service at this instance. */
struct ServiceLoad
{
    DecayingRate sends;
    serverpace::UsualAnswer usualAnswer;
    staleload::CallTime callTime;
    std::map<std::pair<std::string, std::string>, DecayingRate> adapterSends; /**< By model and adapter. */
    unsigned othersRunning = 0; /**< Of all servers, in the newest load digest. */
    unsigned slots = 0; /**< Of these servers. */
    TimePoint nextReturn{}; /**< Callers refused for limits were told to return one after the other, the next one at this time. */
};

struct DispatchState
{
    DispatchOptions options;
    std::shared_ptr<const catalog::CatalogIndex> catalog; /**< Null until the first catalog is received. */
    std::set<std::string> evacuatedDomains;
    std::set<std::string> quarantinedParts; /**< Prompt parts and names of requests that end backend servers. */
    std::map<std::string, std::uint64_t> requiredVersions; /**< Oldest version that calls may use, by "model/adapter". */
    std::map<std::string, placement::OlderVersions> olderVersions; /**< By "model/adapter". */
    std::map<std::string, ServerView> servers;
    registry::AddressIndex addresses; /**< Of @c servers. */
    std::map<std::string, admission::RetryBudget> retryBudgets; /**< By service. */
    std::map<std::string, ServiceLoad> services; /**< By name. */
    Duration expectedLoadTime = milliseconds(300); /**< Expected time to load an adapter without waiting calls, as reported by the leader. */
    placement::LoadResults loadResults; /**< Since the last report. */
    TimePoint pacesUntil{}; /**< The paces from the last load digest count until then. */
    TimePoint countedAt{}; /**< About when the calls in the newest load digest were counted. */
    bool isLeaderless = false; /**< No leader answers, so none issues permits. */
    unsigned entryInstances = 1; /**< Entry instances in the fleet; fleet-wide limits are divided by their number. */
    control::Term placementTerm = 0; /**< Leader term of the last applied placement. */
    std::minstd_rand random;
};

} // namespace mimosahollow::dispatch
