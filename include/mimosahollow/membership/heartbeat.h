#pragma once

#include "mimosahollow/membership/instancerecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::membership {

/** Gossip about one instance that the sender of a heartbeat knows. */
struct SampledInstance
{
    InstanceRecord instance;
    std::uint32_t ageMilliseconds = 0; /**< Time since any instance last received a message directly from it. */
    bool relay = false; /**< It announced itself as the relay of its failure domain. */

    friend bool operator==(const SampledInstance &, const SampledInstance &) = default;
};

/**
 * Liveness message. The sender is identified by the connection, so that an instance cannot impersonate another one. The
 * echo proves to the receiver that its own heartbeats arrive.
 */
struct Heartbeat
{
    std::uint64_t incarnation = 0;
    std::int64_t sentAt = 0; /**< Send time on the clock of the sender, in nanoseconds; opaque to the receiver. */
    std::uint64_t echoIncarnation = 0; /**< Incarnation of the receiver to which echoSentAt belongs. */
    std::int64_t echoSentAt = 0; /**< sentAt of the newest heartbeat received from the receiver; 0: none. */
    bool relay = false; /**< The sender is the relay of its failure domain. */
    std::string leader; /**< Name of the control leader known to the sender; sent once a second, otherwise empty. */
    std::vector<SampledInstance> known;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace mimosahollow::membership
