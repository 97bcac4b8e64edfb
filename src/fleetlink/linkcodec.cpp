#include "mimosahollow/fleetlink/linkmessage.h"

#include "relay_generated.h"

#include <algorithm>
#include <limits>

namespace mimosahollow::fleetlink {

namespace {

namespace wire = mimosahollow::wire::relay;

template<typename To, typename From, typename Convert>
std::vector<To> converted(const From &from, Convert convert)
{
    std::vector<To> to;
    to.reserve(from.size());
    for (const auto &item : from) {
        to.push_back(convert(item));
    }
    return to;
}

std::unique_ptr<wire::NamedNumberT> toWire(const NamedNumber &number)
{
    auto table = std::make_unique<wire::NamedNumberT>();
    table->name = number.name;
    table->value = number.value;
    return table;
}

NamedNumber fromWire(const std::unique_ptr<wire::NamedNumberT> &table)
{
    return {table->name, table->value};
}

std::unique_ptr<wire::ServerRecordT> toWire(const registry::ServerRecord &record)
{
    auto table = std::make_unique<wire::ServerRecordT>();
    table->id = record.id;
    table->service = record.service;
    table->address = record.address;
    table->domain = record.domain;
    table->slots = record.slots;
    table->state = static_cast<std::uint8_t>(record.state);
    table->born = record.born;
    table->sequence = record.sequence;
    table->cold_milliseconds = record.coldMilliseconds;
    for (const registry::HeldModel &held : record.held) {
        auto item = std::make_unique<wire::HeldModelT>();
        item->model = held.model;
        item->adapter = held.adapter;
        item->version = held.version;
        table->held.push_back(std::move(item));
    }
    return table;
}

registry::ServerRecord fromWire(const std::unique_ptr<wire::ServerRecordT> &table)
{
    registry::ServerRecord record{table->id,
                                  table->service,
                                  table->address,
                                  table->domain,
                                  table->slots,
                                  registry::ServerState::Gone,
                                  table->born,
                                  table->sequence,
                                  table->cold_milliseconds,
                                  {}};
    if (table->state <= static_cast<std::uint8_t>(registry::ServerState::Gone)) {
        record.state = static_cast<registry::ServerState>(table->state);
    }
    for (const auto &item : table->held) {
        record.held.push_back({item->model, item->adapter, item->version});
    }
    return record;
}

std::unique_ptr<wire::AdapterDemandT> toWire(const AdapterDemand &demand)
{
    auto table = std::make_unique<wire::AdapterDemandT>();
    table->model = demand.model;
    table->adapter = demand.adapter;
    table->service = demand.service;
    table->waiting = demand.waiting;
    table->started = demand.started;
    table->in_time = demand.inTime;
    table->running = demand.running;
    return table;
}

AdapterDemand fromWire(const std::unique_ptr<wire::AdapterDemandT> &table)
{
    return {table->model, table->adapter, table->service, table->waiting, table->started, table->in_time, table->running};
}

std::unique_ptr<wire::SpentTokensT> toWire(const SpentTokens &spent)
{
    auto table = std::make_unique<wire::SpentTokensT>();
    table->organisation = spent.organisation;
    table->tokens = spent.tokens;
    table->age_milliseconds = spent.ageMilliseconds;
    return table;
}

SpentTokens fromWire(const std::unique_ptr<wire::SpentTokensT> &table)
{
    return {table->organisation, table->tokens, table->age_milliseconds};
}

std::unique_ptr<wire::ServerEndT> toWire(const ReportedEnd &reported)
{
    auto table = std::make_unique<wire::ServerEndT>();
    table->server = reported.end.server;
    table->born = reported.end.born;
    table->parts = reported.end.parts;
    table->age_milliseconds = reported.ageMilliseconds;
    return table;
}

ReportedEnd fromWire(const std::unique_ptr<wire::ServerEndT> &table)
{
    return {{table->server, table->born, table->parts}, table->age_milliseconds};
}

std::unique_ptr<wire::SoundPartT> toWire(const SoundPart &sound)
{
    auto table = std::make_unique<wire::SoundPartT>();
    table->part = sound.part;
    table->age_milliseconds = sound.ageMilliseconds;
    return table;
}

SoundPart fromWire(const std::unique_ptr<wire::SoundPartT> &table)
{
    return {table->part, table->age_milliseconds};
}

std::unique_ptr<wire::ReportedLimitT> toWire(const ReportedLimit &reported)
{
    auto table = std::make_unique<wire::ReportedLimitT>();
    table->server = reported.limit.server;
    table->born = reported.limit.born;
    table->calls_per_second = reported.limit.callsPerSecond;
    table->age_milliseconds = reported.ageMilliseconds;
    return table;
}

ReportedLimit fromWire(const std::unique_ptr<wire::ReportedLimitT> &table)
{
    return {{table->server, table->born, table->calls_per_second}, table->age_milliseconds};
}

std::unique_ptr<wire::PermitRequestT> toWire(const PermitRequest &request)
{
    auto table = std::make_unique<wire::PermitRequestT>();
    table->server = request.server;
    table->wanted = request.wanted;
    table->returned = request.returned;
    return table;
}

PermitRequest fromWire(const std::unique_ptr<wire::PermitRequestT> &table)
{
    return {table->server, table->wanted, table->returned};
}

std::unique_ptr<wire::IssuedPermitsT> toWire(const IssuedPermits &issued)
{
    auto table = std::make_unique<wire::IssuedPermitsT>();
    table->server = issued.server;
    table->permits = issued.permits;
    return table;
}

IssuedPermits fromWire(const std::unique_ptr<wire::IssuedPermitsT> &table)
{
    return {table->server, table->permits};
}

std::unique_ptr<wire::ServerPlacementT> toWire(const ServerPlacement &placement)
{
    auto table = std::make_unique<wire::ServerPlacementT>();
    table->server = placement.server;
    table->born = placement.born;
    for (const PlacedAdapter &adapter : placement.adapters) {
        auto item = std::make_unique<wire::PlacedAdapterT>();
        item->model = adapter.model;
        item->adapter = adapter.adapter;
        item->version = adapter.version;
        item->ready_milliseconds = adapter.readyMilliseconds;
        table->adapters.push_back(std::move(item));
    }
    return table;
}

ServerPlacement fromWire(const std::unique_ptr<wire::ServerPlacementT> &table)
{
    ServerPlacement placement{table->server, table->born, {}};
    for (const auto &item : table->adapters) {
        placement.adapters.push_back({item->model, item->adapter, item->version, item->ready_milliseconds});
    }
    return placement;
}

std::unique_ptr<wire::UsageCountT> toWire(const UsageCount &usage)
{
    auto table = std::make_unique<wire::UsageCountT>();
    table->window = usage.window;
    table->organisation = usage.organisation;
    table->calls = usage.calls;
    return table;
}

UsageCount fromWire(const std::unique_ptr<wire::UsageCountT> &table)
{
    return {table->window, table->organisation, table->calls};
}

std::uint16_t toShort(unsigned count)
{
    return static_cast<std::uint16_t>(std::min<unsigned>(count, std::numeric_limits<std::uint16_t>::max()));
}

/** Writes @p loads into the columns of @p table. */
template<typename Table>
void setLoads(Table &table, const std::vector<ServerLoad> &loads)
{
    for (const ServerLoad &load : loads) {
        table.server_keys.push_back(load.serverKey);
        table.running.push_back(toShort(load.running));
    }
}

/** Rows of the columns of @p table; a key without a count is dropped. */
template<typename Table>
std::vector<ServerLoad> loadsOf(const Table &table)
{
    std::vector<ServerLoad> loads;
    for (std::size_t row = 0; row < std::min(table.server_keys.size(), table.running.size()); ++row) {
        loads.push_back({table.server_keys[row], table.running[row]});
    }
    return loads;
}

/** Rows of the columns of @p table; an incomplete row is dropped. */
std::vector<ServerPaceSample> paceSamplesOf(const wire::EntryReportT &table)
{
    std::vector<ServerPaceSample> samples;
    const std::size_t rows = std::min({table.paced_keys.size(), table.pace_milliseconds.size(), table.pace_counts.size()});
    for (std::size_t row = 0; row < rows; ++row) {
        samples.push_back({table.paced_keys[row], table.pace_milliseconds[row], table.pace_counts[row]});
    }
    return samples;
}

constexpr auto itemToWire = [](const auto &item) {
    return toWire(item);
};
constexpr auto itemFromWire = [](const auto &item) {
    return fromWire(item);
};

void setBody(wire::BodyUnion &body, const Hello &hello)
{
    wire::HelloT table;
    table.name = hello.name;
    table.address = hello.address;
    table.domain = hello.domain;
    table.voter = static_cast<std::uint32_t>(hello.voter);
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const Ping &ping)
{
    wire::PingT table;
    table.stamp = ping.stamp;
    table.is_reply = ping.isReply;
    body.Set(wire::PingT(table));
}

void setBody(wire::BodyUnion &body, const Coordinators &coordinators)
{
    wire::CoordinatorsT table;
    table.addresses = coordinators.addresses;
    table.leader = coordinators.leader;
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const ServerUpdate &update)
{
    wire::ServerUpdateT table;
    table.servers = converted<std::unique_ptr<wire::ServerRecordT>>(update.servers, itemToWire);
    table.heard_directly = update.heardDirectly;
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const EntryReport &report)
{
    wire::EntryReportT table;
    table.stamp = report.stamp;
    table.token_wishes = converted<std::unique_ptr<wire::NamedNumberT>>(report.tokenWishes, itemToWire);
    setLoads(table, report.running);
    table.demand = converted<std::unique_ptr<wire::AdapterDemandT>>(report.demand, itemToWire);
    table.returned = converted<std::unique_ptr<wire::NamedNumberT>>(report.returned, itemToWire);
    table.has_history = report.hasHistory;
    table.unreachable = report.unreachable;
    table.suspected = report.suspected;
    table.wants_feed = report.wantsFeed;
    table.spent = converted<std::unique_ptr<wire::SpentTokensT>>(report.spent, itemToWire);
    table.ends = converted<std::unique_ptr<wire::ServerEndT>>(report.ends, itemToWire);
    table.sound_parts = converted<std::unique_ptr<wire::SoundPartT>>(report.soundParts, itemToWire);
    table.limits = converted<std::unique_ptr<wire::ReportedLimitT>>(report.limits, itemToWire);
    table.permit_requests = converted<std::unique_ptr<wire::PermitRequestT>>(report.permitRequests, itemToWire);
    table.known_ms = report.knownMilliseconds;
    for (const ServerPaceSample &sample : report.paces) {
        table.paced_keys.push_back(sample.serverKey);
        table.pace_milliseconds.push_back(static_cast<float>(sample.milliseconds));
        table.pace_counts.push_back(toShort(sample.count));
    }
    table.late_loads = report.lateLoads;
    table.prompt_loads = report.promptLoads;
    table.incarnation = report.incarnation;
    table.wall_milliseconds = report.wallMilliseconds;
    table.usage = converted<std::unique_ptr<wire::UsageCountT>>(report.usage, itemToWire);
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const LeaderReply &reply)
{
    wire::LeaderReplyT table;
    table.stamp = reply.stamp;
    table.index = reply.index;
    table.entries = reply.entries;
    table.tokens = converted<std::unique_ptr<wire::NamedNumberT>>(reply.tokens, itemToWire);
    table.load_milliseconds = reply.loadMilliseconds;
    table.wants_history = reply.wantsHistory;
    table.grants_tokens = reply.grantsTokens;
    table.suspected_parts = reply.suspectedParts;
    table.permits = converted<std::unique_ptr<wire::IssuedPermitsT>>(reply.permits, itemToWire);
    table.fleet_milliseconds = reply.fleetMilliseconds;
    table.fixed_window = reply.fixedWindow;
    table.adapter_load_milliseconds = reply.adapterLoadMilliseconds;
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const PlacementUpdate &update)
{
    wire::PlacementUpdateT table;
    table.term = update.term;
    table.number = update.number;
    table.servers = converted<std::unique_ptr<wire::ServerPlacementT>>(update.servers, itemToWire);
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const fleetstate::FleetState &state)
{
    wire::FleetSnapshotT table;
    table.index = state.index;
    table.catalog_version = state.catalogVersion;
    table.has_catalog = state.catalogText != nullptr;
    if (state.catalogText) {
        table.catalog_text = *state.catalogText;
    }
    table.evacuated.assign(state.evacuatedDomains.begin(), state.evacuatedDomains.end());
    for (const auto &[adapter, version] : state.adapterVersions) {
        auto item = std::make_unique<wire::AdapterVersionT>();
        item->adapter = adapter;
        item->version = version;
        table.adapter_versions.push_back(std::move(item));
    }
    for (const auto &[part, index] : state.quarantinedParts) {
        auto item = std::make_unique<wire::QuarantinedPartT>();
        item->part = part;
        item->index = index;
        table.quarantined_parts.push_back(std::move(item));
    }
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const OrderCredit &credit)
{
    wire::OrderCreditT table;
    table.stamp = credit.stamp;
    table.wall_milliseconds = credit.wallMilliseconds;
    body.Set(wire::OrderCreditT(table));
}

void setBody(wire::BodyUnion &body, const LoadDigest &digest)
{
    wire::LoadDigestT table;
    table.term = digest.term;
    setLoads(table, digest.servers);
    table.knows_limits = digest.knowsLimits;
    for (const ServerLimit &limit : digest.limits) {
        table.limited_keys.push_back(limit.serverKey);
        table.limits.push_back(static_cast<float>(limit.callsPerSecond));
    }
    for (const ServerPace &pace : digest.paces) {
        table.paced_keys.push_back(pace.serverKey);
        table.paces.push_back(pace.hundredths);
    }
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const OrderRequest &request)
{
    wire::OrderRequestT table;
    table.number = request.number;
    table.term = request.term;
    table.credit = request.credit;
    table.server = request.order.server;
    table.address = request.order.address;
    table.born = request.order.born;
    table.kind = static_cast<std::uint8_t>(request.order.kind);
    table.model = request.order.model;
    table.adapter = request.order.adapter;
    table.version = request.order.version;
    table.expected_sequence = request.order.expectedSequence;
    table.fencing_number = request.order.fencingNumber;
    body.Set(std::move(table));
}

void setBody(wire::BodyUnion &body, const OrderReply &reply)
{
    wire::OrderReplyT table;
    table.number = reply.number;
    table.outcome = static_cast<std::uint8_t>(reply.outcome);
    body.Set(wire::OrderReplyT(table));
}

std::variant<LinkMessage, LinkCodecError> orderFromWire(const wire::OrderRequestT &table)
{
    if (table.kind > static_cast<std::uint8_t>(placement::OrderKind::Unload)) {
        return LinkCodecError{"an order of unknown kind"};
    }
    return OrderRequest{table.number,
                        table.term,
                        table.credit,
                        {table.server,
                         table.address,
                         table.born,
                         static_cast<placement::OrderKind>(table.kind),
                         table.model,
                         table.adapter,
                         table.version,
                         table.expected_sequence,
                         table.fencing_number}};
}

fleetstate::FleetState stateFromWire(const wire::FleetSnapshotT &table)
{
    fleetstate::FleetState state;
    state.index = table.index;
    state.catalogVersion = table.catalog_version;
    if (table.has_catalog) {
        state.catalogText = std::make_shared<const std::string>(table.catalog_text);
    }
    state.evacuatedDomains.insert(table.evacuated.begin(), table.evacuated.end());
    for (const auto &item : table.adapter_versions) {
        state.adapterVersions[item->adapter] = item->version;
    }
    for (const auto &item : table.quarantined_parts) {
        state.quarantinedParts[item->part] = item->index;
    }
    return state;
}

} // namespace

control::Bytes encode(const LinkMessage &message)
{
    wire::EnvelopeT envelope;
    std::visit(
        [&envelope](const auto &content) {
            setBody(envelope.body, content);
        },
        message);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Envelope::Pack(builder, &envelope));
    const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
    return {bytes.begin(), bytes.end()};
}

std::variant<LinkMessage, LinkCodecError> decode(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire::VerifyEnvelopeBuffer(verifier)) {
        return LinkCodecError{"the bytes are not a message of this version"};
    }
    const std::unique_ptr<wire::EnvelopeT> envelope(wire::GetEnvelope(bytes.data())->UnPack());
    const wire::BodyUnion &body = envelope->body;
    if (const auto *hello = body.AsHello()) {
        return Hello{hello->name, hello->address, hello->domain, static_cast<control::VoterId>(hello->voter)};
    }
    if (const auto *ping = body.AsPing()) {
        return Ping{ping->stamp, ping->is_reply};
    }
    if (const auto *coordinators = body.AsCoordinators()) {
        return Coordinators{coordinators->addresses, coordinators->leader};
    }
    if (const auto *update = body.AsServerUpdate()) {
        return ServerUpdate{converted<registry::ServerRecord>(update->servers, itemFromWire), update->heard_directly};
    }
    if (const auto *report = body.AsEntryReport()) {
        return EntryReport{report->stamp,
                           converted<NamedNumber>(report->token_wishes, itemFromWire),
                           converted<NamedNumber>(report->returned, itemFromWire),
                           loadsOf(*report),
                           converted<AdapterDemand>(report->demand, itemFromWire),
                           converted<SpentTokens>(report->spent, itemFromWire),
                           report->has_history,
                           report->unreachable,
                           report->suspected,
                           report->wants_feed,
                           converted<ReportedEnd>(report->ends, itemFromWire),
                           converted<SoundPart>(report->sound_parts, itemFromWire),
                           converted<ReportedLimit>(report->limits, itemFromWire),
                           converted<PermitRequest>(report->permit_requests, itemFromWire),
                           report->known_ms,
                           paceSamplesOf(*report),
                           report->late_loads,
                           report->prompt_loads,
                           report->incarnation,
                           report->wall_milliseconds,
                           converted<UsageCount>(report->usage, itemFromWire)};
    }
    if (const auto *reply = body.AsLeaderReply()) {
        return LeaderReply{reply->stamp,
                           reply->index,
                           reply->entries,
                           converted<NamedNumber>(reply->tokens, itemFromWire),
                           reply->wants_history,
                           reply->grants_tokens,
                           reply->load_milliseconds,
                           reply->suspected_parts,
                           converted<IssuedPermits>(reply->permits, itemFromWire),
                           reply->fleet_milliseconds,
                           reply->fixed_window,
                           reply->adapter_load_milliseconds};
    }
    if (const auto *placement = body.AsPlacementUpdate()) {
        return PlacementUpdate{placement->term, converted<ServerPlacement>(placement->servers, itemFromWire), placement->number};
    }
    if (const auto *state = body.AsFleetSnapshot()) {
        return stateFromWire(*state);
    }
    if (const auto *credit = body.AsOrderCredit()) {
        return OrderCredit{credit->stamp, credit->wall_milliseconds};
    }
    if (const auto *digest = body.AsLoadDigest()) {
        LoadDigest copy{digest->term, loadsOf(*digest), digest->knows_limits, {}};
        for (std::size_t row = 0; row < std::min(digest->limited_keys.size(), digest->limits.size()); ++row) {
            copy.limits.push_back({digest->limited_keys[row], digest->limits[row]});
        }
        for (std::size_t row = 0; row < std::min(digest->paced_keys.size(), digest->paces.size()); ++row) {
            copy.paces.push_back({digest->paced_keys[row], digest->paces[row]});
        }
        return copy;
    }
    if (const auto *request = body.AsOrderRequest()) {
        return orderFromWire(*request);
    }
    if (const auto *reply = body.AsOrderReply()) {
        const bool isKnown = reply->outcome < static_cast<std::uint8_t>(placement::OrderOutcome::Unknown);
        return OrderReply{reply->number, isKnown ? static_cast<placement::OrderOutcome>(reply->outcome) : placement::OrderOutcome::Unknown};
    }
    return LinkCodecError{"the message has no known content"};
}

} // namespace mimosahollow::fleetlink
