#include "mimosahollow/link/controlcodec.h"
#include "mimosahollow/control/snapshot.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <span>

using namespace mimosahollow;

namespace {

/** What decodes must encode to something that decodes again. */
template<typename Decode>
void check(std::span<const std::uint8_t> bytes, Decode decode)
{
    const auto decoded = decode(bytes);
    if (decoded.index() != 0) {
        return;
    }
    if constexpr (requires { link::encode(*std::get<0>(decoded)); }) {
        if (decode(link::encode(*std::get<0>(decoded))).index() != 0) {
            std::abort();
        }
    } else if (decode(link::encode(std::get<0>(decoded))).index() != 0) {
        std::abort();
    }
}

/** A snapshot with a right header around arbitrary content. */
void checkSnapshot(std::span<const std::uint8_t> content)
{
    static const control::Bytes empty = control::encodeSnapshot({});
    constexpr std::size_t headerBytes = 24;
    constexpr std::size_t checksumOffset = 16;
    control::Bytes bytes(empty.begin(), empty.begin() + headerBytes);
    bytes.insert(bytes.end(), content.begin(), content.end());
    const std::uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::memcpy(bytes.data() + checksumOffset, &checksum, sizeof(checksum));
    const auto decoded = control::decodeSnapshot(bytes);
    if (const auto *state = std::get_if<control::ControlState>(&decoded)) {
        static_cast<void>(control::encodeSnapshot(*state));
    }
}

} // namespace

// Guards against crashes and out-of-range reads on frames of a broken or hostile peer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const std::uint8_t> bytes(data, size);
    check(bytes, link::decodeConsensusMessage);
    check(bytes, link::decodeCommand);
    check(bytes, link::decodeCommandResult);
    check(bytes, link::decodeConfiguration);
    check(bytes, link::decodeIncrement);
    checkSnapshot(bytes);
    return 0;
}
