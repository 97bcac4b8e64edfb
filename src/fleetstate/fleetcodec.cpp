#include "mimosahollow/fleetstate/fleetcommand.h"
#include "mimosahollow/fleetstate/fleetstate.h"

#include "relay_generated.h"

namespace mimosahollow::fleetstate {

namespace {

namespace wire = mimosahollow::wire::relay;

control::Bytes finished(const flatbuffers::FlatBufferBuilder &builder)
{
    const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
    return {bytes.begin(), bytes.end()};
}

std::string textOf(const flatbuffers::String *value)
{
    return value == nullptr ? std::string() : value->str();
}

/** The table in @p bytes, null when they are damaged. */
template<typename Table>
const Table *verified(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes.data()) : nullptr;
}

using Counts = std::map<std::string, std::uint64_t>;
using WireCounts = flatbuffers::Vector<flatbuffers::Offset<wire::OrganisationCount>>;

/** Null for no counts: a fleet without duties writes the same bytes as before there were any. */
flatbuffers::Offset<WireCounts> encodeCounts(flatbuffers::FlatBufferBuilder &builder, const Counts &counts)
{
    std::vector<flatbuffers::Offset<wire::OrganisationCount>> items;
    for (const auto &[organisation, calls] : counts) {
        items.push_back(wire::CreateOrganisationCountDirect(builder, organisation.c_str(), calls));
    }
    return items.empty() ? flatbuffers::Offset<WireCounts>() : builder.CreateVector(items);
}

Counts countsOf(const WireCounts *items)
{
    Counts counts;
    if (items != nullptr) {
        for (const wire::OrganisationCount *item : *items) {
            counts[textOf(item->organisation())] = item->calls();
        }
    }
    return counts;
}

} // namespace

control::Bytes encodeCommand(const FleetCommand &command)
{
    flatbuffers::FlatBufferBuilder builder(command.text.size() + 256);
    const auto subject = builder.CreateString(command.subject);
    const auto text = builder.CreateString(command.text);
    const auto slots = builder.CreateVector(command.slots);
    const auto counts = encodeCounts(builder, command.counts);
    builder.Finish(wire::CreateFleetCommand(builder, static_cast<std::uint8_t>(command.kind), command.version, subject, text, slots, counts));
    return finished(builder);
}

std::variant<FleetCommand, FleetStateError> decodeCommand(std::span<const std::uint8_t> bytes)
{
    const auto *table = verified<wire::FleetCommand>(bytes);
    if (table == nullptr || table->kind() > static_cast<std::uint8_t>(CommandKind::UsageSent)) {
        return FleetStateError{"the bytes are not a command of this version"};
    }
    FleetCommand command{
        static_cast<CommandKind>(table->kind()), table->version(), textOf(table->subject()), textOf(table->text()), {}, countsOf(table->counts())};
    if (table->slots() != nullptr) {
        command.slots.assign(table->slots()->begin(), table->slots()->end());
    }
    return command;
}

control::Bytes encodeSnapshot(const FleetState &state)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::AdapterVersion>> versions;
    for (const auto &[adapter, version] : state.adapterVersions) {
        versions.push_back(wire::CreateAdapterVersionDirect(builder, adapter.c_str(), version));
    }
    std::vector<flatbuffers::Offset<flatbuffers::String>> evacuated;
    for (const std::string &domain : state.evacuatedDomains) {
        evacuated.push_back(builder.CreateString(domain));
    }
    std::vector<flatbuffers::Offset<wire::OrderSlot>> holders;
    for (const OrderHolder &holder : state.orderHolders) {
        holders.push_back(wire::CreateOrderSlotDirect(builder, holder.name.c_str(), holder.fencingNumber));
    }
    std::vector<flatbuffers::Offset<wire::QuarantinedPart>> quarantined;
    for (const auto &[part, index] : state.quarantinedParts) {
        quarantined.push_back(wire::CreateQuarantinedPartDirect(builder, part.c_str(), index));
    }
    std::vector<flatbuffers::Offset<wire::DutyHolder>> duties;
    for (const auto &[duty, holder] : state.dutyHolders) {
        duties.push_back(wire::CreateDutyHolderDirect(builder, duty.c_str(), holder.name.c_str(), holder.fencingNumber, holder.previous.c_str()));
    }
    std::vector<flatbuffers::Offset<wire::FixedUsage>> usage;
    for (const auto &[window, fixed] : state.fixedUsage) {
        const auto counts = encodeCounts(builder, fixed.counts);
        usage.push_back(wire::CreateFixedUsage(builder, window, counts, fixed.isSent));
    }
    const char *text = state.catalogText ? state.catalogText->c_str() : nullptr;
    builder.Finish(wire::CreateFleetSnapshotDirect(builder,
                                                   state.index,
                                                   state.catalogVersion,
                                                   text != nullptr,
                                                   text,
                                                   &evacuated,
                                                   &versions,
                                                   &holders,
                                                   &quarantined,
                                                   duties.empty() ? nullptr : &duties,
                                                   usage.empty() ? nullptr : &usage,
                                                   state.fixedWindow));
    return finished(builder);
}

std::variant<FleetState, FleetStateError> decodeSnapshot(std::span<const std::uint8_t> bytes)
{
    const auto *table = verified<wire::FleetSnapshot>(bytes);
    if (table == nullptr) {
        return FleetStateError{"the bytes are not a snapshot of this version"};
    }
    FleetState state;
    state.index = table->index();
    state.catalogVersion = table->catalog_version();
    if (table->order_slots() != nullptr) {
        for (const wire::OrderSlot *slot : *table->order_slots()) {
            state.orderHolders.push_back({textOf(slot->holder()), slot->fencing_number()});
        }
    }
    if (table->has_catalog()) {
        state.catalogText = std::make_shared<const std::string>(textOf(table->catalog_text()));
    }
    if (table->evacuated() != nullptr) {
        for (const flatbuffers::String *domain : *table->evacuated()) {
            state.evacuatedDomains.insert(domain->str());
        }
    }
    if (table->adapter_versions() != nullptr) {
        for (const wire::AdapterVersion *entry : *table->adapter_versions()) {
            state.adapterVersions[textOf(entry->adapter())] = entry->version();
        }
    }
    if (table->quarantined_parts() != nullptr) {
        for (const wire::QuarantinedPart *entry : *table->quarantined_parts()) {
            state.quarantinedParts[textOf(entry->part())] = entry->index();
        }
    }
    if (table->duty_holders() != nullptr) {
        for (const wire::DutyHolder *entry : *table->duty_holders()) {
            state.dutyHolders[textOf(entry->duty())] = {textOf(entry->holder()), entry->fencing_number(), textOf(entry->previous())};
        }
    }
    if (table->fixed_usage() != nullptr) {
        for (const wire::FixedUsage *entry : *table->fixed_usage()) {
            state.fixedUsage[entry->window()] = {countsOf(entry->counts()), entry->is_sent()};
        }
    }
    state.fixedWindow = table->fixed_window();
    return state;
}

} // namespace mimosahollow::fleetstate
