#include "mimosahollow/link/tokencodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <variant>

using namespace mimosahollow;

// Guards against crashes and reads out of bounds on bytes of a broken or hostile peer, and against decoded messages that do not
// survive a second encoding. Bytes that are not a message also build one, so that the round trip is reached without a corpus.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const std::uint8_t> bytes(data, size);
    const auto check = [](const auto &decoded, auto decode) {
        if (decoded.index() == 0) {
            const auto again = decode(link::encode(std::get<0>(decoded)));
            if (again.index() != 0 || !(std::get<0>(again) == std::get<0>(decoded))) {
                std::abort();
            }
        }
    };
    check(link::decodeTokenRequest(bytes), link::decodeTokenRequest);
    check(link::decodeTokenReport(bytes), link::decodeTokenReport);
    check(link::decodeTokenGrant(bytes), link::decodeTokenGrant);
    check(link::decodeTransferRequest(bytes), link::decodeTransferRequest);
    check(link::decodeTransferReply(bytes), link::decodeTransferReply);
    if (size > 0) {
        // Flips bytes of a valid message.
        admission::TokenRequest request;
        request.wishes.resize(data[0] % 4U);
        std::vector<std::uint8_t> valid = link::encode(request);
        for (std::size_t i = 1; i + 1 < size; i += 2) {
            valid[data[i] % valid.size()] = data[i + 1];
        }
        check(link::decodeTokenRequest(valid), link::decodeTokenRequest);
    }
    return 0;
}
