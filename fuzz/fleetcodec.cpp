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
    return 0;
}
