#include "mimosahollow/link/poolcodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

// Guards against crashes on arbitrary bytes, and against messages that change when they are passed on.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace mimosahollow;
    const TimePoint now{seconds(1000)};
    const auto decoded = link::decodePoolMessage(std::span(data, size), now);
    if (const auto *message = std::get_if<link::PoolMessage>(&decoded)) {
        const std::vector<std::uint8_t> bytes = link::encode(*message, now);
        const auto again = link::decodePoolMessage(bytes, now);
        const auto *copy = std::get_if<link::PoolMessage>(&again);
        if (copy == nullptr || copy->index() != message->index() || link::encode(*copy, now) != bytes) {
            std::abort();
        }
    }
    return 0;
}
