#include "mimosahollow/link/poolcodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <span>

using namespace mimosahollow;

namespace {

const TimePoint now{seconds(1000)};

/** Messages that pass on their way must not change. */
void check(std::span<const std::uint8_t> bytes)
{
    const auto decoded = link::decodePoolMessage(bytes, now);
    if (const auto *message = std::get_if<link::PoolMessage>(&decoded)) {
        const std::vector<std::uint8_t> encoded = link::encode(*message, now);
        const auto again = link::decodePoolMessage(encoded, now);
        const auto *copy = std::get_if<link::PoolMessage>(&again);
        if (copy == nullptr || copy->index() != message->index() || link::encode(*copy, now) != encoded) {
            std::abort();
        }
    }
}

const link::PoolMessage messages[] = {
    link::PoolAcquire{PoolId{3}, {{1, 2}, InstanceId{4}, OrganisationId{5}, 2.5, AdapterId{6}, 70, 80, 90, {11, 12}, now, false}},
    link::PoolAcquireReply(scheduling::Grant{{1, 2}, InstanceId{3}, 4, 5, ServerId{6}, AdapterId{7}, true}),
    link::PoolAcquireReply(scheduling::Refusal{{1, 2}, InstanceId{3}, RefusalReason::NoCapacity, milliseconds(250)}),
    link::PoolRelease{PoolId{1}, {{2, 3}, 4, 5, scheduling::ReleaseOutcome::ConnectionReset, 6, milliseconds(7)}},
    link::PoolGrantReport{PoolId{1}, {InstanceId{2}, {{{3, 4}, 5, 6, ServerId{7}, OrganisationId{8}, AdapterId{9}, 10, now, 7}}}},
    scheduling::PoolSummary{PoolId{1},
                            2,
                            true,
                            3,
                            4,
                            5,
                            milliseconds(6),
                            milliseconds(7),
                            {AdapterId{8}, AdapterId{9}},
                            {{AdapterId{8}, milliseconds(10)}},
                            {{{{"s", 11, {"p", "q"}}, now}}, {{"q", now}}, {{"p", now}}}},
    gateway::BackendAnnouncement{"s", "127.0.0.1:1", "a", "base", 2, 3, 4, 5, true, true, {"x@1", "y@2"}},
    gateway::BackendReport{"s", 2, 3, 4, {"x@1"}},
    link::PoolLimitStatement{PoolId{1}, {{2, 3}, 4, 5, 6.5}},
};

} // namespace

// Guards against crashes on arbitrary bytes and on damaged messages, and against messages that change when they are passed
// on. The first byte selects arbitrary bytes or a valid message, which the rest damages in pairs of position and value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::size_t selected = data[0] % (std::size(messages) + 1);
    if (selected == std::size(messages)) {
        check(std::span(data + 1, size - 1));
        return 0;
    }
    std::vector<std::uint8_t> bytes = link::encode(messages[selected], now);
    for (std::size_t i = 1; i + 1 < size; i += 2) {
        bytes[data[i] % bytes.size()] ^= data[i + 1];
    }
    check(bytes);
    return 0;
}
