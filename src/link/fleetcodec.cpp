#include "mimosahollow/link/fleetcodec.h"

#include "wireelements.h"

#include <fleet_generated.h>

#include <string>

namespace mimosahollow::link {

namespace wire = fleetwire;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

namespace {

/** A struct of ours may only be built from bytes that the verifier has accepted. */
template<typename Table, typename Convert>
auto decodeWith(std::span<const std::uint8_t> bytes, Convert convert) -> decltype(convert(std::declval<const Table &>()))
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return FleetCodecError::Malformed;
    }
    return convert(*flatbuffers::GetRoot<Table>(bytes.data()));
}

template<typename Message>
std::vector<std::uint8_t> finish(FlatBufferBuilder &builder, Offset<Message> root)
{
    builder.Finish(root);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::string text(const flatbuffers::String *value)
{
    return value == nullptr ? std::string() : value->str();
}

std::vector<std::uint8_t> bytesOf(const flatbuffers::Vector<std::uint8_t> *value)
{
    return value == nullptr ? std::vector<std::uint8_t>() : std::vector<std::uint8_t>(value->begin(), value->end());
}

/** Converts each struct of a vector, which may be absent. */
template<typename Result, typename Wire, typename Convert>
std::vector<Result> listOf(const flatbuffers::Vector<const Wire *> *values, Convert convert)
{
    std::vector<Result> results;
    if (values != nullptr) {
        results.reserve(values->size());
        forEachElement(values, [&](const Wire &value) {
            results.push_back(convert(value));
            return true;
        });
    }
    return results;
}

template<typename Wire, typename Value, typename Convert>
std::vector<Wire> wireListOf(const std::vector<Value> &values, Convert convert)
{
    std::vector<Wire> results;
    results.reserve(values.size());
    for (const Value &value : values) {
        results.push_back(convert(value));
    }
    return results;
}

Offset<wire::Instance> toWire(FlatBufferBuilder &builder, const membership::InstanceRecord &instance)
{
    const auto name = builder.CreateString(instance.name);
    const auto failureDomain = builder.CreateString(instance.failureDomain);
    return wire::CreateInstance(builder, name, failureDomain, builder.CreateString(instance.linkAddress), instance.incarnation);
}

membership::InstanceRecord fromWire(const wire::Instance &instance)
{
    return {instance.name()->str(), instance.failure_domain()->str(), instance.link_address()->str(), instance.incarnation()};
}

wire::FollowerEntry toWire(const membership::FollowerEntry &entry)
{
    return {entry.incarnation, entry.applied, entry.echo.term, entry.echo.time, number(entry.instance)};
}

membership::FollowerEntry fromWire(const wire::FollowerEntry &entry)
{
    return {InstanceId(entry.instance()), entry.incarnation(), entry.applied(), {entry.echo_term(), entry.echo_time()}};
}

wire::PoolRenewal toWire(const membership::PoolRenewal &pool)
{
    return {pool.fencing, number(pool.pool), number(pool.owner)};
}

membership::PoolRenewal fromWire(const wire::PoolRenewal &pool)
{
    return {PoolId(pool.pool()), InstanceId(pool.owner()), pool.fencing()};
}

wire::PoolFence toWire(const membership::PoolFence &pool)
{
    return {pool.fencing, number(pool.pool)};
}

membership::PoolFence fromWire(const wire::PoolFence &pool)
{
    return {PoolId(pool.pool()), pool.fencing()};
}

wire::Process toWire(const membership::ProcessId &process)
{
    return {process.incarnation, number(process.instance)};
}

membership::ProcessId fromWire(const wire::Process &process)
{
    return {InstanceId(process.instance()), process.incarnation()};
}

constexpr auto structToWire = [](const auto &value) {
    return toWire(value);
};
constexpr auto structFromWire = [](const auto &value) {
    return fromWire(value);
};

} // namespace

std::vector<std::uint8_t> encode(const membership::Hello &message)
{
    FlatBufferBuilder builder;
    const auto fleet = builder.CreateString(message.fleet);
    const auto instance = toWire(builder, message.instance);
    return finish(builder, wire::CreateHello(builder, fleet, instance, message.minimumVersion, message.maximumVersion));
}

FleetDecoded<membership::Hello> decodeHello(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::Hello>(bytes, [](const wire::Hello &hello) -> FleetDecoded<membership::Hello> {
        if (hello.minimum_version() > hello.maximum_version() || hello.instance()->name()->size() == 0) {
            return FleetCodecError::InvalidValue;
        }
        return membership::Hello{hello.fleet()->str(), fromWire(*hello.instance()), hello.minimum_version(), hello.maximum_version()};
    });
}

std::vector<std::uint8_t> encode(const membership::Heartbeat &message)
{
    FlatBufferBuilder builder;
    std::vector<Offset<wire::SampledInstance>> known;
    known.reserve(message.known.size());
    for (const membership::SampledInstance &sample : message.known) {
        known.push_back(wire::CreateSampledInstance(builder, toWire(builder, sample.instance), sample.ageMilliseconds, sample.relay));
    }
    const auto leader = message.leader.empty() ? Offset<flatbuffers::String>() : builder.CreateString(message.leader);
    const auto list = known.empty() ? Offset<flatbuffers::Vector<Offset<wire::SampledInstance>>>() : builder.CreateVector(known);
    return finish(
        builder, wire::CreateHeartbeat(builder, message.incarnation, message.sentAt, message.echoIncarnation, message.echoSentAt, message.relay, leader, list));
}

FleetDecoded<membership::Heartbeat> decodeHeartbeat(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::Heartbeat>(bytes, [](const wire::Heartbeat &heartbeat) -> FleetDecoded<membership::Heartbeat> {
        membership::Heartbeat message{heartbeat.incarnation(),
                                      heartbeat.sent_at(),
                                      heartbeat.echo_incarnation(),
                                      heartbeat.echo_sent_at(),
                                      heartbeat.relay(),
                                      text(heartbeat.leader()),
                                      {}};
        if (heartbeat.known() != nullptr) {
            for (const wire::SampledInstance *sample : *heartbeat.known()) {
                message.known.push_back({fromWire(*sample->instance()), sample->age_milliseconds(), sample->relay()});
            }
        }
        return message;
    });
}

std::vector<std::uint8_t> encode(const membership::Promise &message)
{
    FlatBufferBuilder builder;
    const auto pools = builder.CreateVectorOfStructs(wireListOf<wire::PoolFence>(message.pools, structToWire));
    return finish(
        builder,
        wire::CreatePromise(
            builder, static_cast<std::uint8_t>(message.kind), number(message.from), number(message.owner), message.ownerIncarnation, message.ownerTime, pools));
}

FleetDecoded<membership::Promise> decodePromise(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::Promise>(bytes, [](const wire::Promise &promise) -> FleetDecoded<membership::Promise> {
        if (promise.kind() > static_cast<std::uint8_t>(membership::PromiseKind::Released)) {
            return FleetCodecError::InvalidValue;
        }
        return membership::Promise{static_cast<membership::PromiseKind>(promise.kind()),
                                   InstanceId(promise.from()),
                                   InstanceId(promise.owner()),
                                   promise.owner_incarnation(),
                                   promise.owner_time(),
                                   listOf<membership::PoolFence>(promise.pools(), structFromWire)};
    });
}

std::vector<std::uint8_t> encode(const membership::RenewRequest &message)
{
    FlatBufferBuilder builder;
    const wire::FollowerEntry self = toWire(message.self);
    const auto followers = builder.CreateVectorOfStructs(wireListOf<wire::FollowerEntry>(message.followers, structToWire));
    const auto pools = builder.CreateVectorOfStructs(wireListOf<wire::PoolRenewal>(message.pools, structToWire));
    return finish(builder, wire::CreateRenewRequest(builder, message.sequence, &self, followers, pools));
}

FleetDecoded<membership::RenewRequest> decodeRenewRequest(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::RenewRequest>(bytes, [](const wire::RenewRequest &request) -> FleetDecoded<membership::RenewRequest> {
        return membership::RenewRequest{request.sequence(),
                                        fromWire(*request.self()),
                                        listOf<membership::FollowerEntry>(request.followers(), structFromWire),
                                        listOf<membership::PoolRenewal>(request.pools(), structFromWire)};
    });
}

std::vector<std::uint8_t> encode(const membership::RenewReply &message)
{
    FlatBufferBuilder builder;
    const auto covered = builder.CreateVectorOfStructs(wireListOf<wire::Process>(message.covered, structToWire));
    const auto pools = builder.CreateVectorOfStructs(wireListOf<wire::PoolRenewal>(message.pools, structToWire));
    const std::int64_t remaining = std::chrono::duration_cast<std::chrono::nanoseconds>(message.remaining).count();
    return finish(builder,
                  wire::CreateRenewReply(builder, message.sequence, message.incarnation, message.stamp.term, message.stamp.time, remaining, covered, pools));
}

FleetDecoded<membership::RenewReply> decodeRenewReply(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::RenewReply>(bytes, [](const wire::RenewReply &reply) -> FleetDecoded<membership::RenewReply> {
        // The largest freshness time that the settings allow.
        constexpr std::chrono::nanoseconds maximumRemaining = std::chrono::seconds(600);
        const std::chrono::nanoseconds remaining(reply.remaining_nanoseconds());
        if (remaining < std::chrono::nanoseconds::zero() || remaining > maximumRemaining) {
            return FleetCodecError::InvalidValue;
        }
        return membership::RenewReply{reply.sequence(),
                                      reply.incarnation(),
                                      {reply.stamp_term(), reply.stamp_time()},
                                      std::chrono::duration_cast<Duration>(remaining),
                                      listOf<membership::ProcessId>(reply.covered(), structFromWire),
                                      listOf<membership::PoolRenewal>(reply.pools(), structFromWire)};
    });
}

std::vector<std::uint8_t> encode(const membership::Confirm &message)
{
    FlatBufferBuilder builder;
    const auto entries = builder.CreateVectorOfStructs(wireListOf<wire::FollowerEntry>(message.entries, structToWire));
    return finish(builder, wire::CreateConfirm(builder, entries, message.leaving));
}

FleetDecoded<membership::Confirm> decodeConfirm(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::Confirm>(bytes, [](const wire::Confirm &confirm) -> FleetDecoded<membership::Confirm> {
        return membership::Confirm{listOf<membership::FollowerEntry>(confirm.entries(), structFromWire), confirm.leaving()};
    });
}

std::vector<std::uint8_t> encode(const membership::Subscribe &message)
{
    FlatBufferBuilder builder;
    return finish(builder, wire::CreateSubscribe(builder, number(message.instance), message.incarnation, message.nextIndex));
}

FleetDecoded<membership::Subscribe> decodeSubscribe(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::Subscribe>(bytes, [](const wire::Subscribe &subscribe) -> FleetDecoded<membership::Subscribe> {
        return membership::Subscribe{InstanceId(subscribe.instance()), subscribe.incarnation(), subscribe.next_index()};
    });
}

std::vector<std::uint8_t> encode(const membership::Update &message)
{
    FlatBufferBuilder builder(message.payload.size() + 256); // 256 bytes hold the other fields
    const auto leader = builder.CreateString(message.leader);
    const auto payload = builder.CreateVector(message.payload);
    return finish(builder, wire::CreateUpdate(builder, message.snapshot, message.firstIndex, message.lastIndex, message.part, message.parts, leader, payload));
}

FleetDecoded<membership::Update> decodeUpdate(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::Update>(bytes, [](const wire::Update &update) -> FleetDecoded<membership::Update> {
        if (update.part() >= update.parts() || update.first_index() > update.last_index()) {
            return FleetCodecError::InvalidValue;
        }
        return membership::Update{
            update.snapshot(), update.first_index(), update.last_index(), update.part(), update.parts(), text(update.leader()), bytesOf(update.payload())};
    });
}

std::vector<std::uint8_t> encode(const membership::Command &message)
{
    FlatBufferBuilder builder;
    const auto payload = builder.CreateVector(message.payload);
    return finish(builder, wire::CreateCommand(builder, message.sequence, number(message.instance), payload));
}

FleetDecoded<membership::Command> decodeForwardedCommand(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::Command>(bytes, [](const wire::Command &command) -> FleetDecoded<membership::Command> {
        return membership::Command{command.sequence(), InstanceId(command.instance()), bytesOf(command.payload())};
    });
}

std::vector<std::uint8_t> encode(const membership::CommandReply &message)
{
    FlatBufferBuilder builder;
    const auto payload = builder.CreateVector(message.payload);
    return finish(builder, wire::CreateCommandReply(builder, message.sequence, payload));
}

FleetDecoded<membership::CommandReply> decodeCommandReply(std::span<const std::uint8_t> bytes)
{
    return decodeWith<wire::CommandReply>(bytes, [](const wire::CommandReply &reply) -> FleetDecoded<membership::CommandReply> {
        return membership::CommandReply{reply.sequence(), bytesOf(reply.payload())};
    });
}

} // namespace mimosahollow::link
