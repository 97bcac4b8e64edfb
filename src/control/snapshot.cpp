#include "mimosahollow/control/snapshot.h"

#include "wire.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace mimosahollow::control {

namespace {

constexpr std::uint64_t snapshotMagic = 0x45544154534C484DULL; // "MHLSTATE" as little-endian bytes
/**
 * Limit for the verifier. Allows 1,000,000 calls with a key each, 93,000 adapters twice (in the configuration and in the list of ids), and 100,000
 * results and audit records, with a margin.
 */
constexpr flatbuffers::uoffset_t maximumTables = 16'000'000;

struct SnapshotHeader
{
    std::uint64_t magic = snapshotMagic;
    std::uint32_t format = snapshotFormatVersion;
    std::uint32_t reserved = 0;
    std::uint64_t checksum = 0; /**< XXH3 of the content after the header. */
};

const wire::CommandId packId(const CommandId &id)
{
    return {id.high, id.low};
}

CommandId unpackId(const wire::CommandId &id)
{
    return {id.high(), id.low()};
}

template<typename Hashes>
Offset<WireTables<wire::Hash>> packHashes(Builder &builder, const Hashes &hashes)
{
    return packAll<wire::Hash>(builder, hashes, [&builder](const auto &hash) {
        return wire::CreateHash(builder, packBytes(builder, hash));
    });
}

template<typename Map>
Offset<WireTables<wire::NamedId>> packNames(Builder &builder, const Map &names)
{
    return packAll<wire::NamedId>(builder, names, [&builder](const auto &element) {
        return wire::CreateNamedId(builder, builder.CreateString(element.first), static_cast<std::uint32_t>(element.second));
    });
}

Offset<WireTables<wire::Bundle>> packBundles(Builder &builder, const std::deque<BundleRecord> &bundles)
{
    return packAll<wire::Bundle>(builder, bundles, [&builder](const BundleRecord &record) {
        const auto author = builder.CreateString(record.author);
        const auto approver = builder.CreateString(record.approver);
        return wire::CreateBundle(builder, record.version, record.logIndex, record.time, author, approver, packBytes(builder, record.hash));
    });
}

Offset<wire::Call> packCall(Builder &builder, const CallKey &key, const CallRecord &record)
{
    const auto route = builder.CreateString(key.route);
    const auto name = builder.CreateString(key.key);
    const auto call = wire::CreateCallKey(builder, number(key.organisation), route, name);
    const auto request = packBytes(builder, record.requestHash);
    const auto contentType = builder.CreateString(record.contentType);
    const auto answer = builder.CreateString(record.responseBody);
    const auto begin = packId(record.beginId);
    return wire::CreateCall(builder,
                            call,
                            &begin,
                            request,
                            number(record.entryInstance),
                            record.startTime,
                            static_cast<std::uint8_t>(record.state),
                            record.status,
                            contentType,
                            answer);
}

struct PackedCalls
{
    Offset<WireTables<wire::Call>> calls;
    Offset<WireVector<std::uint32_t>> answers; /**< Positions in @c calls of the records with a stored response, oldest first. */
};

PackedCalls packCalls(Builder &builder, const ControlState &state)
{
    std::vector<Offset<wire::Call>> calls;
    std::map<CallKey, std::uint32_t> positions;
    const auto findRecord = [&state](const auto &element) {
        const auto found = state.calls.find(element.first);
        return found != state.calls.end() && found->second.beginId == element.second ? &found->second : nullptr;
    };
    for (const auto &element : state.callOrder) {
        if (const CallRecord *record = findRecord(element)) {
            positions.emplace(element.first, static_cast<std::uint32_t>(calls.size()));
            calls.push_back(packCall(builder, element.first, *record));
        }
    }
    std::vector<std::uint32_t> answers;
    for (const auto &element : state.responseOrder) {
        const CallRecord *record = findRecord(element);
        if (record != nullptr && record->state == CallState::Completed) {
            answers.push_back(positions.at(element.first));
        }
    }
    return {builder.CreateVector(calls), builder.CreateVector(answers)};
}

Offset<wire::CommandResult> packResult(Builder &builder, const CommandResult &result)
{
    const auto message = builder.CreateString(result.message);
    const auto answer = builder.CreateString(result.responseBody);
    return wire::CreateCommandResult(builder, static_cast<std::uint8_t>(result.outcome), message, result.number, answer);
}

Offset<WireTables<wire::Result>> packResults(Builder &builder, const ControlState &state)
{
    return packAll<wire::Result>(builder, state.resultOrder, [&builder, &state](const CommandId &id) {
        const StoredResult &stored = state.results.at(id);
        const auto result = packResult(builder, stored.result);
        const auto packed = packId(id);
        return wire::CreateResult(builder, &packed, stored.time, stored.kind, result);
    });
}

Offset<WireTables<wire::AuditRecord>> packAudit(Builder &builder, const AuditLog &audit)
{
    return packAll<wire::AuditRecord>(builder, audit.records, [&builder](const AuditRecord &record) {
        const auto sender = builder.CreateString(record.sender);
        const auto action = builder.CreateString(record.action);
        const auto result = builder.CreateString(record.result);
        const auto hash = packBytes(builder, record.hash);
        const auto id = packId(record.id);
        return wire::CreateAuditRecord(builder, record.number, record.logIndex, record.time, &id, sender, action, result, hash);
    });
}

Offset<wire::State> packState(Builder &builder, const ControlState &state)
{
    const auto configuration = packConfiguration(builder, state.configuration);
    const auto bundles = packBundles(builder, state.bundles);
    const auto domainsOutByOperator = packTexts(builder, state.domainsOutByOperator);
    const auto serversOutByOperator = packTexts(builder, state.serversOutByOperator);
    const auto domainsOutByBundle = packTexts(builder, state.domainsOutByBundle);
    const auto serversOutByBundle = packTexts(builder, state.serversOutByBundle);
    const auto grantedKeys = packHashes(builder, state.grantedKeys);
    const auto withdrawnKeys = packHashes(builder, state.withdrawnKeys);
    const auto publishedAdapters = packIds(builder, state.publishedAdapters);
    const auto organisationIds = packNames(builder, state.organisationIds);
    const auto domainIds = packNames(builder, state.domainIds);
    const auto serverIds = packNames(builder, state.serverIds);
    // Sorted, because a hash table has no defined order and equal states must produce equal bytes.
    const auto adapterIds = packNames(builder, std::map<std::string, AdapterId>(state.adapterIds.begin(), state.adapterIds.end()));
    const auto poolIds = packAll<wire::PoolName>(builder, state.poolIds, [&builder](const auto &element) {
        const auto kind = builder.CreateString(element.first.second);
        return wire::CreatePoolName(builder, number(element.first.first), kind, number(element.second));
    });
    const PackedCalls calls = packCalls(builder, state);
    const auto results = packResults(builder, state);
    const auto auditStart = packBytes(builder, state.audit.precedingHash);
    const auto audit = packAudit(builder, state.audit);
    wire::StateBuilder table(builder);
    table.add_applied(state.appliedIndex);
    table.add_time(state.time);
    table.add_configuration(configuration);
    table.add_bundles(bundles);
    table.add_out_domains(domainsOutByOperator);
    table.add_out_servers(serversOutByOperator);
    table.add_bundle_out_domains(domainsOutByBundle);
    table.add_bundle_out_servers(serversOutByBundle);
    table.add_granted_keys(grantedKeys);
    table.add_withdrawn_keys(withdrawnKeys);
    table.add_published_adapters(publishedAdapters);
    table.add_organisation_ids(organisationIds);
    table.add_domain_ids(domainIds);
    table.add_server_ids(serverIds);
    table.add_adapter_ids(adapterIds);
    table.add_pool_ids(poolIds);
    table.add_last_instance(state.lastInstanceId);
    table.add_last_adapter(state.lastAdapterId);
    table.add_last_fencing(state.lastFencingNumber);
    table.add_calls(calls.calls);
    table.add_answers(calls.answers);
    table.add_results(results);
    table.add_audit_start(auditStart);
    table.add_audit_dropped(state.audit.droppedRecords);
    table.add_audit(audit);
    return table.Finish();
}

std::set<std::string> unpackNames(const WireTables<flatbuffers::String> *list)
{
    const auto names = WireReader::texts(list);
    return {names.begin(), names.end()};
}

template<typename Map>
void unpackIds(const WireTables<wire::NamedId> *list, Map &ids)
{
    WireReader::forEach(list, [&ids](const wire::NamedId &table) {
        ids.emplace(WireReader::text(table.name()), static_cast<typename Map::mapped_type>(table.id()));
    });
}

void unpackHashes(WireReader &reader, const WireTables<wire::Hash> *list, std::set<KeyHash> &hashes)
{
    reader.forEach(list, [&](const wire::Hash &table) {
        KeyHash hash{};
        reader.bytes(table.bytes(), hash);
        hashes.insert(hash);
    });
}

void unpackCall(WireReader &reader, const wire::Call &table, ControlState &state)
{
    const CallKey key{static_cast<OrganisationId>(table.call()->organisation()), reader.text(table.call()->route()), reader.text(table.call()->key())};
    CallRecord record;
    record.beginId = unpackId(*table.begin());
    reader.bytes(table.request(), record.requestHash);
    record.entryInstance = static_cast<InstanceId>(table.entry());
    record.startTime = table.started();
    record.state = reader.enumerator(table.state(), CallState::OutcomeUnknown);
    record.status = table.status();
    record.contentType = reader.text(table.content_type());
    record.responseBody = reader.text(table.answer());
    state.responseBytes += record.responseBody.size();
    state.callOrder.emplace_back(key, record.beginId);
    state.calls.emplace(key, std::move(record));
}

void unpackHistory(WireReader &reader, const wire::State &table, ControlState &state)
{
    reader.forEach(table.calls(), [&](const wire::Call &call) {
        unpackCall(reader, call, state);
    });
    reader.failed = reader.failed || state.calls.size() != state.callOrder.size();
    if (table.answers() != nullptr) {
        for (const std::uint32_t position : *table.answers()) {
            if (position >= state.callOrder.size()) {
                reader.failed = true;
                return;
            }
            state.responseOrder.push_back(state.callOrder[position]);
        }
    }
    reader.forEach(table.results(), [&](const wire::Result &stored) {
        const wire::CommandResult &result = *stored.result();
        CommandResult value{
            reader.enumerator(result.outcome(), CommandOutcome::TooManyCalls), reader.text(result.message()), result.number(), reader.text(result.answer())};
        const CommandId id = unpackId(*stored.id());
        state.resultOrder.push_back(id);
        state.results.emplace(id, StoredResult{stored.time(), stored.kind(), std::move(value)});
    });
    reader.failed = reader.failed || state.results.size() != state.resultOrder.size();
    reader.bytes(table.audit_start(), state.audit.precedingHash);
    state.audit.droppedRecords = table.audit_dropped();
    reader.forEach(table.audit(), [&](const wire::AuditRecord &from) {
        AuditRecord record{from.number(),
                           from.log_index(),
                           from.time(),
                           unpackId(*from.id()),
                           reader.text(from.sender()),
                           reader.text(from.action()),
                           reader.text(from.result()),
                           {}};
        reader.bytes(from.hash(), record.hash);
        state.audit.records.push_back(std::move(record));
    });
}

void unpackState(WireReader &reader, const wire::State &table, ControlState &state)
{
    state.appliedIndex = table.applied();
    state.time = table.time();
    state.configuration = unpackConfiguration(reader, *table.configuration());
    reader.forEach(table.bundles(), [&](const wire::Bundle &from) {
        BundleRecord record{from.version(), from.log_index(), from.time(), reader.text(from.author()), reader.text(from.approver()), {}};
        reader.bytes(from.hash(), record.hash);
        state.bundles.push_back(std::move(record));
    });
    state.domainsOutByOperator = unpackNames(table.out_domains());
    state.serversOutByOperator = unpackNames(table.out_servers());
    state.domainsOutByBundle = unpackNames(table.bundle_out_domains());
    state.serversOutByBundle = unpackNames(table.bundle_out_servers());
    unpackHashes(reader, table.granted_keys(), state.grantedKeys);
    unpackHashes(reader, table.withdrawn_keys(), state.withdrawnKeys);
    const auto published = reader.ids<AdapterId>(table.published_adapters());
    state.publishedAdapters = {published.begin(), published.end()};
    unpackIds(table.organisation_ids(), state.organisationIds);
    unpackIds(table.domain_ids(), state.domainIds);
    unpackIds(table.server_ids(), state.serverIds);
    unpackIds(table.adapter_ids(), state.adapterIds);
    reader.forEach(table.pool_ids(), [&](const wire::PoolName &from) {
        state.poolIds.emplace(std::pair(static_cast<DomainId>(from.domain()), reader.text(from.kind())), static_cast<PoolId>(from.id()));
    });
    state.lastInstanceId = table.last_instance();
    state.lastAdapterId = table.last_adapter();
    state.lastFencingNumber = table.last_fencing();
    unpackHistory(reader, table, state);
}

SnapshotError malformed()
{
    return {SnapshotErrorKind::Malformed, "the snapshot passes its checksum, but its content is not valid"};
}

} // namespace

Bytes encodeSnapshot(const ControlState &state)
{
    Builder builder;
    builder.Finish(packState(builder, state));
    SnapshotHeader header;
    header.checksum = XXH3_64bits(builder.GetBufferPointer(), builder.GetSize());
    Bytes bytes(sizeof(header) + builder.GetSize());
    std::memcpy(bytes.data(), &header, sizeof(header));
    std::memcpy(bytes.data() + sizeof(header), builder.GetBufferPointer(), builder.GetSize());
    return bytes;
}

std::variant<ControlState, SnapshotError> decodeSnapshot(std::span<const std::uint8_t> bytes, const ControlLimits &limits)
{
    SnapshotHeader header;
    if (bytes.size() < sizeof(header)) {
        return SnapshotError{SnapshotErrorKind::NotASnapshot, "the data is too short for a snapshot"};
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    if (header.magic != snapshotMagic) {
        return SnapshotError{SnapshotErrorKind::NotASnapshot, "the data does not start as a snapshot"};
    }
    if (header.format != snapshotFormatVersion) {
        return SnapshotError{SnapshotErrorKind::UnknownFormat,
                             "the snapshot has format " + std::to_string(header.format) + "; this program knows " + std::to_string(snapshotFormatVersion)};
    }
    const auto content = bytes.subspan(sizeof(header));
    if (header.reserved != 0 || XXH3_64bits(content.data(), content.size()) != header.checksum) {
        return SnapshotError{SnapshotErrorKind::ChecksumMismatch, "the snapshot fails its checksum"};
    }
    Bytes copy;
    const auto *table = verifiedRoot<wire::State>(content, copy, maximumTables);
    if (table == nullptr) {
        return malformed();
    }
    WireReader reader;
    ControlState state;
    state.limits = limits;
    unpackState(reader, *table, state);
    if (reader.failed) {
        return malformed();
    }
    return state;
}

} // namespace mimosahollow::control
