#pragma once

#include "mimosahollow/callpermits/permitissuer.h"
#include "mimosahollow/control/logentry.h"
#include "mimosahollow/control/voter.h"
#include "mimosahollow/fleetstate/fleetstate.h"
#include "mimosahollow/placement/modelorder.h"
#include "mimosahollow/quarantine/serverend.h"
#include "mimosahollow/registry/serverrecord.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::fleetlink {

/** First message of both sides of a connection. */
struct Hello
{
    std::string name;
    std::string address; /**< Link listener of a coordinator; empty for an entry instance. */
    std::string domain;
    control::VoterId voter{}; /**< 0 for an entry instance. */
};

/** Shows that the connection still carries data both ways. */
struct Ping
{
    std::uint64_t stamp = 0; /**< Clock of the sender, echoed by the reply. */
    bool isReply = false;
};

/** Link addresses of the coordinators that the sender knows. */
struct Coordinators
{
    std::vector<std::string> addresses;
    std::string leader; /**< Empty when not known. */
};

/** Backend servers whose records changed. */
struct ServerUpdate
{
    std::vector<registry::ServerRecord> servers;
    bool heardDirectly = false; /**< The sender has it from the backend servers; other coordinators keep them alive by it. */
};

/** Calls running on a backend server. */
struct ServerLoad
{
    std::uint32_t serverKey = 0; /**< registry::serverKey() of its id. */
    unsigned running = 0;
};

struct NamedNumber
{
    std::string name;
    double value = 0;
};

/** Calls of an adapter at one entry instance since its last report. */
struct AdapterDemand
{
    std::string model;
    std::string adapter; /**< Empty for the base model. */
    std::string service;
    unsigned waiting = 0; /**< Calls that wait for the adapter now. */
    unsigned started = 0; /**< Calls that were sent to a backend server. */
    unsigned inTime = 0; /**< Of the waiting calls, those that a load can still serve within their objective. */
    unsigned running = 0; /**< Calls that run on backend servers now. */
};

/** Tokens that an entry instance has spent, or holds, of grants of an earlier leader. */
struct SpentTokens
{
    std::string organisation;
    double tokens = 0;
    unsigned ageMilliseconds = 0;
};

/** A backend server that ended, as an entry instance saw it. */
struct ReportedEnd
{
    quarantine::ServerEnd end;
    unsigned ageMilliseconds = 0;
};

/** Newest sound answer to a call with a suspected prompt part. */
struct SoundPart
{
    std::string part;
    unsigned ageMilliseconds = 0;
};

/** Limit of a backend server, from its newest answer to an entry instance. */
struct ReportedLimit
{
    callpermits::StatedLimit limit;
    unsigned ageMilliseconds = 0;
};

/** Permits for calls to a backend server with a limit. */
struct PermitRequest
{
    std::string server;
    unsigned wanted = 0;
    unsigned returned = 0; /**< Not used in time. */
};

struct IssuedPermits
{
    std::string server;
    unsigned permits = 0;
};

/** How long backend servers took, as one entry instance has seen since its last report. */
struct ServerPaceSample
{
    std::uint32_t serverKey = 0; /**< registry::serverKey() of its id. */
    double milliseconds = 0; /**< Sum over the samples: intervals between events of a stream, or times to the answer of a plain call. */
    unsigned count = 0;
};

/** Calls of an organisation that began to run in one reporting window, through one entry instance. */
struct UsageCount
{
    std::uint64_t window = 0;
    std::string organisation;
    std::uint32_t calls = 0; /**< Since the window began; a later report replaces it. */
};

/** What an entry instance tells the leader. */
struct EntryReport
{
    std::uint64_t stamp = 0; /**< Milliseconds of the entry instance's boot clock when it was sent. */
    std::vector<NamedNumber> tokenWishes; /**< By organisation. */
    std::vector<NamedNumber> returned; /**< Tokens that were not spent, by organisation. */
    std::vector<ServerLoad> running; /**< Only counts above 0. */
    std::vector<AdapterDemand> demand;
    std::vector<SpentTokens> spent;
    bool hasHistory = false; /**< @c spent is complete since the start of the entry instance. */
    std::vector<std::string> unreachable; /**< Backend servers to which no connection can be opened. */
    std::vector<std::string> suspected; /**< Backend servers that lacked a copy which the leader has placed there. */
    bool wantsFeed = false; /**< It receives no placements and load digests from a coordinator of its failure domain. */
    std::vector<ReportedEnd> ends; /**< Not reported to this leader before. */
    std::vector<SoundPart> soundParts; /**< Of the parts that the leader suspects. */
    std::vector<ReportedLimit> limits; /**< Statements that the leader has not got yet. */
    std::vector<PermitRequest> permitRequests;
    unsigned knownMilliseconds = 3'600'000; /**< Age of what the entry instance knows of its spending: nothing from before its start. */
    std::vector<ServerPaceSample> paces = {};
    unsigned lateLoads = 0; /**< Calls since the last report that did not find their adapter at the expected end of its load. */
    unsigned promptLoads = 0; /**< Calls since the last report that found it there. */
    std::uint64_t incarnation = 0; /**< Differs between the starts of an entry instance. */
    std::int64_t wallMilliseconds = 0; /**< Time of day at the sender, Unix time; 0: not told. */
    std::vector<UsageCount> usage = {}; /**< Of windows that are not fixed yet. */
};

/** Answer of the leader to an EntryReport, sent once a majority has confirmed that it still leads. */
struct LeaderReply
{
    std::uint64_t stamp = 0; /**< Of the report. */
    control::LogIndex index = 0; /**< The entry instance is current once it holds the state at this index. */
    unsigned entries = 0; /**< Entry instances that the leader hears. */
    std::vector<NamedNumber> tokens; /**< Granted, by organisation. */
    bool wantsHistory = false; /**< The leader does not know what the entry instance has spent; it grants nothing before. */
    bool grantsTokens = false; /**< False while a new leader collects what was spent; what it grants then says nothing of the rate. */
    unsigned loadMilliseconds = 0; /**< After which an adapter is loaded that nobody waits for yet. */
    std::vector<std::string> suspectedParts = {}; /**< Prompt parts that may end backend servers. */
    std::vector<IssuedPermits> permits = {};
    std::int64_t fleetMilliseconds = 0; /**< Unix time as the leader takes it from the clocks of the fleet; 0: not known yet. */
    std::uint64_t fixedWindow = 0; /**< Highest reporting window whose usage is fixed. */
    unsigned adapterLoadMilliseconds = 0; /**< From an order until the adapter is loaded from the weight store; 0: not told. */
};

struct PlacedAdapter
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
    unsigned readyMilliseconds = 0; /**< Time until the load is expected to end; 0: loaded. */
};

/** All adapters that one backend server holds or loads. */
struct ServerPlacement
{
    std::string server;
    std::uint64_t born = 0; /**< Incarnation of the backend server. */
    std::vector<PlacedAdapter> adapters;
};

/** Placement of the adapters on some backend servers, from the leader. */
struct PlacementUpdate
{
    control::Term term = 0; /**< An update of an older term is dropped. */
    std::vector<ServerPlacement> servers;
    std::uint64_t number = 0; /**< Increases with each update of a term; a placement replaces those of lower numbers. */
};

/** Calls per second that a backend server takes from all entry instances together. */
struct ServerLimit
{
    std::uint32_t serverKey = 0; /**< registry::serverKey() of its id. */
    double callsPerSecond = 0;
};

/** Pace of a backend server among those of its service. */
struct ServerPace
{
    std::uint32_t serverKey = 0; /**< registry::serverKey() of its id. */
    std::uint16_t hundredths = 100; /**< Time that its work takes, 100 for the median of its service. */
};

/** Calls on backend servers from all entry instances together, and limits and paces of backend servers, from the leader. */
struct LoadDigest
{
    control::Term term = 0;
    std::vector<ServerLoad> servers; /**< Only counts above 0. */
    bool knowsLimits = false; /**< False while a new leader collects the limits. */
    std::vector<ServerLimit> limits = {};
    std::vector<ServerPace> paces = {}; /**< Only those that differ clearly from the median. */
};

/** A coordinator tells the leader that it can send orders to engines. */
struct OrderCredit
{
    std::uint64_t stamp = 0; /**< Milliseconds of its boot clock. */
    std::int64_t wallMilliseconds = 0; /**< Time of day at the sender, Unix time; 0: not told. */
};

/** The leader has an order sent by the coordinator that holds the engine. */
struct OrderRequest
{
    std::uint64_t number = 0; /**< Echoed by the reply. */
    control::Term term = 0; /**< Of the leader. */
    std::uint64_t credit = 0; /**< Newest stamp that the leader has of the holder; the order is dropped when it is old. */
    placement::ModelOrder order;
};

struct OrderReply
{
    std::uint64_t number = 0;
    placement::OrderOutcome outcome = placement::OrderOutcome::Unknown;
};

using LinkMessage = std::variant<Hello,
                                 Ping,
                                 Coordinators,
                                 ServerUpdate,
                                 EntryReport,
                                 LeaderReply,
                                 PlacementUpdate,
                                 fleetstate::FleetState,
                                 OrderCredit,
                                 OrderRequest,
                                 OrderReply,
                                 LoadDigest>;

struct LinkCodecError
{
    std::string message;
};

[[nodiscard]] control::Bytes encode(const LinkMessage &message);
[[nodiscard]] std::variant<LinkMessage, LinkCodecError> decode(std::span<const std::uint8_t> bytes);

} // namespace mimosahollow::fleetlink
