#include "mimosahollow/link/controlcodec.h"

#include "control/wire.h"

#include <utility>

namespace mimosahollow::link {

namespace {

using namespace control;

constexpr flatbuffers::uoffset_t maximumTables = 1'000'000;

wire::CommandId packId(const CommandId &id)
{
    return {id.high, id.low};
}

CommandId unpackId(const wire::CommandId &id)
{
    return {id.high(), id.low()};
}

Offset<wire::CallKey> packCallKey(Builder &builder, const CallKey &call)
{
    const auto route = builder.CreateString(call.route);
    const auto key = builder.CreateString(call.key);
    return wire::CreateCallKey(builder, number(call.organisation), route, key);
}

CallKey unpackCallKey(const wire::CallKey &table)
{
    return {static_cast<OrganisationId>(table.organisation()), WireReader::text(table.route()), WireReader::text(table.key())};
}

struct BodyPacker
{
    Builder &builder;

    Offset<void> operator()(const ApplyBundle &body) const
    {
        const auto configuration = body.configuration ? packConfiguration(builder, *body.configuration) : Offset<wire::Configuration>();
        const auto author = builder.CreateString(body.author);
        const auto approver = builder.CreateString(body.approver);
        return wire::CreateApplyBundle(builder, body.expectedVersion, configuration, author, approver, packBytes(builder, body.hash)).Union();
    }
    Offset<void> operator()(const GrantKey &body) const
    {
        const auto name = builder.CreateString(body.name);
        const auto organisation = builder.CreateString(body.organisation);
        return wire::CreateGrantKey(builder, name, organisation, packBytes(builder, body.hash)).Union();
    }
    Offset<void> operator()(const WithdrawKey &body) const
    {
        return wire::CreateWithdrawKey(builder, builder.CreateString(body.name)).Union();
    }
    Offset<void> operator()(const SetDomainOut &body) const
    {
        return wire::CreateSetDomainOut(builder, builder.CreateString(body.domain), body.outOfService).Union();
    }
    Offset<void> operator()(const SetServerOut &body) const
    {
        return wire::CreateSetServerOut(builder, builder.CreateString(body.server), body.outOfService).Union();
    }
    Offset<void> operator()(const PublishAdapter &body) const
    {
        const auto base = builder.CreateString(body.baseModel);
        const auto name = builder.CreateString(body.name);
        const auto version = builder.CreateString(body.version);
        const auto organisations = packTexts(builder, body.organisations);
        return wire::CreatePublishAdapter(builder, base, name, version, body.isDefault, organisations).Union();
    }
    Offset<void> operator()(const SetRate &body) const
    {
        return wire::CreateSetRate(builder, builder.CreateString(body.organisation), body.rate, body.burst).Union();
    }
    Offset<void> operator()(const RegisterInstance &body) const
    {
        const auto name = builder.CreateString(body.name);
        const auto domain = builder.CreateString(body.domain);
        const auto address = builder.CreateString(body.address);
        return wire::CreateRegisterInstance(builder, name, domain, address, body.incarnation).Union();
    }
    Offset<void> operator()(const RemoveInstance &body) const
    {
        return wire::CreateRemoveInstance(builder, number(body.instance)).Union();
    }
    Offset<void> operator()(const AssignPool &body) const
    {
        return wire::CreateAssignPool(builder, number(body.pool), number(body.owner), body.expectedFencing).Union();
    }
    Offset<void> operator()(const AssignBucketOwner &body) const
    {
        return wire::CreateAssignBucketOwner(builder, number(body.domain), number(body.owner), body.expectedFencing).Union();
    }
    Offset<void> operator()(const BeginCall &body) const
    {
        const auto call = packCallKey(builder, body.call);
        return wire::CreateBeginCall(builder, call, packBytes(builder, body.requestHash), number(body.entryInstance)).Union();
    }
    Offset<void> operator()(const CompleteCall &body) const
    {
        const auto call = packCallKey(builder, body.call);
        const auto contentType = builder.CreateString(body.contentType);
        const auto answer = builder.CreateString(body.responseBody);
        const auto begin = packId(body.beginId);
        return wire::CreateCompleteCall(builder, call, &begin, body.status, contentType, answer).Union();
    }
    Offset<void> operator()(const AbandonCall &body) const
    {
        const auto call = packCallKey(builder, body.call);
        const auto begin = packId(body.beginId);
        return wire::CreateAbandonCall(builder, call, &begin).Union();
    }
};

ApplyBundle unpackBundle(WireReader &reader, const wire::ApplyBundle &table)
{
    ApplyBundle body;
    body.expectedVersion = table.expected();
    if (table.configuration() != nullptr) {
        body.configuration = std::make_shared<const Configuration>(unpackConfiguration(reader, *table.configuration()));
    }
    body.author = reader.text(table.author());
    body.approver = reader.text(table.approver());
    reader.bytes(table.hash(), body.hash);
    return body;
}

CommandBody unpackBody(WireReader &reader, const wire::Command &table)
{
    switch (table.body_type()) {
    case wire::CommandBody_ApplyBundle:
        return unpackBundle(reader, *table.body_as_ApplyBundle());
    case wire::CommandBody_GrantKey: {
        GrantKey body{reader.text(table.body_as_GrantKey()->name()), reader.text(table.body_as_GrantKey()->organisation()), {}};
        reader.bytes(table.body_as_GrantKey()->hash(), body.hash);
        return body;
    }
    case wire::CommandBody_WithdrawKey:
        return WithdrawKey{reader.text(table.body_as_WithdrawKey()->name())};
    case wire::CommandBody_SetDomainOut:
        return SetDomainOut{reader.text(table.body_as_SetDomainOut()->domain()), table.body_as_SetDomainOut()->out()};
    case wire::CommandBody_SetServerOut:
        return SetServerOut{reader.text(table.body_as_SetServerOut()->server()), table.body_as_SetServerOut()->out()};
    case wire::CommandBody_PublishAdapter: {
        const auto &body = *table.body_as_PublishAdapter();
        return PublishAdapter{
            reader.text(body.base()), reader.text(body.name()), reader.text(body.version()), body.is_default(), reader.texts(body.organisations())};
    }
    case wire::CommandBody_SetRate:
        return SetRate{reader.text(table.body_as_SetRate()->organisation()), table.body_as_SetRate()->rate(), table.body_as_SetRate()->burst()};
    case wire::CommandBody_RegisterInstance: {
        const auto &body = *table.body_as_RegisterInstance();
        return RegisterInstance{reader.text(body.name()), reader.text(body.domain()), reader.text(body.address()), body.process()};
    }
    case wire::CommandBody_RemoveInstance:
        return RemoveInstance{static_cast<InstanceId>(table.body_as_RemoveInstance()->instance())};
    case wire::CommandBody_AssignPool: {
        const auto &body = *table.body_as_AssignPool();
        return AssignPool{static_cast<PoolId>(body.pool()), static_cast<InstanceId>(body.owner()), body.expected()};
    }
    case wire::CommandBody_AssignBucketOwner: {
        const auto &body = *table.body_as_AssignBucketOwner();
        return AssignBucketOwner{static_cast<DomainId>(body.domain()), static_cast<InstanceId>(body.owner()), body.expected()};
    }
    case wire::CommandBody_BeginCall: {
        BeginCall body{unpackCallKey(*table.body_as_BeginCall()->call()), {}, static_cast<InstanceId>(table.body_as_BeginCall()->entry())};
        reader.bytes(table.body_as_BeginCall()->request(), body.requestHash);
        return body;
    }
    case wire::CommandBody_CompleteCall: {
        const auto &body = *table.body_as_CompleteCall();
        return CompleteCall{unpackCallKey(*body.call()), unpackId(*body.begin()), body.status(), reader.text(body.content_type()), reader.text(body.answer())};
    }
    case wire::CommandBody_AbandonCall: {
        const auto &body = *table.body_as_AbandonCall();
        return AbandonCall{unpackCallKey(*body.call()), unpackId(*body.begin())};
    }
    case wire::CommandBody_NONE:
        break;
    }
    reader.failed = true;
    return {};
}

} // namespace

Bytes encode(const Command &command)
{
    Builder builder;
    const auto sender = builder.CreateString(command.sender);
    const auto body = std::visit(BodyPacker{builder}, command.body);
    const auto id = packId(command.id);
    // The enumerators of the union follow the order of the variant.
    const auto type = static_cast<wire::CommandBody>(command.body.index() + 1);
    builder.Finish(wire::CreateCommand(builder, &id, command.time, sender, type, body));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

Decoded<Command> decodeCommand(std::span<const std::uint8_t> bytes)
{
    Bytes copy;
    const auto *table = verifiedRoot<wire::Command>(bytes, copy, maximumTables);
    if (table == nullptr) {
        return CodecError{"not a valid command"};
    }
    WireReader reader;
    Command command{unpackId(*table->id()), table->time(), reader.text(table->sender()), unpackBody(reader, *table)};
    if (reader.failed) {
        return CodecError{"not a valid command"};
    }
    return command;
}

} // namespace mimosahollow::link
