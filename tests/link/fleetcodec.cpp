#include "mimosahollow/link/fleetcodec.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::link;
using namespace mimosahollow::membership;

namespace {

template<typename Message>
void requireRoundTrip(const Message &message, FleetDecoded<Message> (*decode)(std::span<const std::uint8_t>))
{
    const std::vector<std::uint8_t> bytes = encode(message);
    const FleetDecoded<Message> decoded = decode(bytes);
    REQUIRE(std::holds_alternative<Message>(decoded));
    REQUIRE(std::get<Message>(decoded) == message);
    // A payload that was cut off must never decode to the same message. Only the padding at the end, which is shorter than
    // the largest alignment, may be missing.
    constexpr std::size_t largestAlignment = 8;
    for (std::size_t size = 0; size + largestAlignment <= bytes.size(); ++size) {
        const FleetDecoded<Message> cut = decode(std::span(bytes).first(size));
        REQUIRE_FALSE(cut == decoded);
    }
}

} // namespace

// Guards against fields that are lost or exchanged on the wire, and against malformed payloads that decode.
TEST_CASE("Fleet messages survive the wire")
{
    const InstanceRecord instance{"a1", "a", "127.0.0.1:9000", 7};
    const FollowerEntry entry{InstanceId(3), 4, 5, {6, -7}};
    const std::vector<PoolRenewal> pools{{PoolId(8), InstanceId(9), 10}, {PoolId(11), InstanceId(12), 13}};

    SECTION("every kind keeps every field")
    {
        requireRoundTrip(Hello{"fleet", instance, 1, 2}, decodeHello);
        requireRoundTrip(Heartbeat{7, -8, 9, 10, true, "b1", {{instance, 11, true}, {{"c", "d", "", 1}, 0, false}}}, decodeHeartbeat);
        requireRoundTrip(Heartbeat{7, 8, 9, 10, false, "", {}}, decodeHeartbeat);
        requireRoundTrip(Promise{PromiseKind::Refused, InstanceId(1), InstanceId(2), 3, -4, {{PoolId(5), 6}}}, decodePromise);
        requireRoundTrip(Subscribe{InstanceId(1), 2, 3}, decodeSubscribe);
        requireRoundTrip(Update{true, 9, 9, 1, 3, "b1", {1, 2, 3}}, decodeUpdate);
        requireRoundTrip(RenewRequest{1, entry, {entry, entry}, pools}, decodeRenewRequest);
        requireRoundTrip(RenewReply{1, 2, {3, 4}, milliseconds(9'500), {{InstanceId(5), 6}}, pools}, decodeRenewReply);
        requireRoundTrip(Confirm{{entry}, true}, decodeConfirm);
        requireRoundTrip(Command{1, InstanceId(2), {3, 4}}, decodeForwardedCommand);
        requireRoundTrip(CommandReply{1, {2}}, decodeCommandReply);
    }

    SECTION("values out of range are refused")
    {
        const auto isInvalid = [](const auto &decoded) {
            const auto *error = std::get_if<FleetCodecError>(&decoded);
            return error != nullptr && *error == FleetCodecError::InvalidValue;
        };
        REQUIRE(isInvalid(decodeHello(encode(Hello{"fleet", instance, 2, 1}))));
        REQUIRE(isInvalid(decodePromise(encode(Promise{static_cast<PromiseKind>(9), {}, {}, 0, 0, {}}))));
        REQUIRE(isInvalid(decodeRenewReply(encode(RenewReply{1, 2, {}, seconds(601), {}, {}}))));
        REQUIRE(isInvalid(decodeRenewReply(encode(RenewReply{1, 2, {}, -seconds(1), {}, {}}))));
        REQUIRE(isInvalid(decodeUpdate(encode(Update{true, 9, 9, 3, 3, "", {}}))));
        REQUIRE(isInvalid(decodeUpdate(encode(Update{false, 9, 8, 0, 1, "", {}}))));
    }
}
