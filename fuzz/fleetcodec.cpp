#include "mimosahollow/link/fleetcodec.h"

#include "mimosahollow/membership/feed.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace mimosahollow;
using namespace mimosahollow::link;

namespace {

/** What decodes must survive another round unchanged. */
template<typename Message>
void check(const FleetDecoded<Message> &decoded, FleetDecoded<Message> (*decode)(std::span<const std::uint8_t>))
{
    const auto *message = std::get_if<Message>(&decoded);
    if (message != nullptr && decode(encode(*message)) != decoded) {
        std::abort();
    }
}

/** Changes bytes of a valid payload: each pair of input bytes is a position and a new value. */
std::vector<std::uint8_t> damage(std::vector<std::uint8_t> payload, std::span<const std::uint8_t> changes)
{
    for (std::size_t i = 0; i + 1 < changes.size(); i += 2) {
        payload[changes[i] % payload.size()] = changes[i + 1];
    }
    return payload;
}

/** Damaged payloads get deeper into the decoders than arbitrary bytes. */
void checkDamaged(std::span<const std::uint8_t> changes)
{
    using namespace membership;
    const InstanceRecord instance{"a1", "a", "127.0.0.1:9000", 7};
    const FollowerEntry entry{InstanceId(3), 4, 5, {6, 7}};
    const PoolRenewal pool{PoolId(8), InstanceId(9), 10};
    check(decodeHello(damage(encode(Hello{"fleet", instance, 1, 2}), changes)), decodeHello);
    check(decodeHeartbeat(damage(encode(Heartbeat{7, 8, 9, 10, true, "b1", {{instance, 11, true}}}), changes)), decodeHeartbeat);
    check(decodePromise(damage(encode(Promise{PromiseKind::Given, InstanceId(1), InstanceId(2), 3, 4, {{PoolId(5), 6}}}), changes)), decodePromise);
    check(decodeRenewRequest(damage(encode(RenewRequest{1, entry, {entry, entry}, {pool}}), changes)), decodeRenewRequest);
    check(decodeRenewReply(damage(encode(RenewReply{1, 2, {3, 4}, seconds(9), {{InstanceId(5), 6}}, {pool}}), changes)), decodeRenewReply);
    check(decodeConfirm(damage(encode(Confirm{{entry}, true}), changes)), decodeConfirm);
    check(decodeUpdate(damage(encode(Update{true, 9, 9, 1, 3, "b1", {1, 2, 3}}), changes)), decodeUpdate);
}

} // namespace

// Guards against crashes of the decoders on arbitrary bytes, and against fields that the codec loses.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::vector<std::uint8_t> copy(data, data + size); // aligned like a received payload
    const std::span<const std::uint8_t> bytes(copy);
    check(decodeHello(bytes), decodeHello);
    check(decodeHeartbeat(bytes), decodeHeartbeat);
    check(decodePromise(bytes), decodePromise);
    check(decodeSubscribe(bytes), decodeSubscribe);
    check(decodeRenewRequest(bytes), decodeRenewRequest);
    check(decodeRenewReply(bytes), decodeRenewReply);
    check(decodeConfirm(bytes), decodeConfirm);
    check(decodeForwardedCommand(bytes), decodeForwardedCommand);
    check(decodeCommandReply(bytes), decodeCommandReply);
    const auto update = decodeUpdate(bytes);
    check(update, decodeUpdate);
    if (const auto *message = std::get_if<membership::Update>(&update)) {
        membership::FeedReader reader;
        reader.applied = message->firstIndex / 2;
        static_cast<void>(membership::onUpdate(reader, *message));
    }
    static_cast<void>(membership::splitIncrements(bytes, 1, 5));
    checkDamaged(bytes);
    return 0;
}
