#include "storage/logformat.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

using namespace mimosahollow;

namespace {

void replay(std::span<const std::uint8_t> segment, bool isLast)
{
    storage::ReplayedLog log;
    const auto result = storage::replaySegment(segment, isLast, log);
    if (const auto *good = std::get_if<std::size_t>(&result); good != nullptr && *good > segment.size()) {
        std::abort();
    }
    for (std::size_t i = 1; i < log.entries.size(); ++i) {
        if (log.entries[i].index != log.entries[i - 1].index + 1) {
            std::abort();
        }
    }
}

} // namespace

// Guards against crashes and gaps in the log on arbitrary files, with and without a right checksum.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const std::uint8_t> bytes(data, size);
    replay(bytes, true);
    replay(bytes, false);
    static_cast<void>(storage::readVote(bytes));
    static_cast<void>(storage::readSnapshotFile(bytes));

    control::Bytes segment;
    storage::writeSegmentHeader(segment);
    const std::size_t half = size / 2;
    storage::writeRecord(segment, 1, size > 0 ? data[0] : 0, bytes.first(half));
    storage::writeRecord(segment, 2, size > 0 ? data[size - 1] : 0, bytes.subspan(half));
    replay(segment, true);
    return 0;
}
