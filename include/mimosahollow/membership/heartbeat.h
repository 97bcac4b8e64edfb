#pragma once

#include "mimosahollow/membership/instancerecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::membership {

/** An instance that the sender of a heartbeat knows. */
struct SampledInstance
{
    InstanceRecord instance;
    std::uint32_t ageMilliseconds = 0; /**< Time since an instance last had direct evidence of it. */
    bool relay = false; /**< It said that it is the relay of its failure domain. */

    friend bool operator==(const SampledInstance &, const SampledInstance &) = default;
};

/** Sign of life. The sender is the peer of the connection, so that nobody can speak for another instance. The echo proves to the receiver that its own
 * heartbeats arrive. */
struct Heartbeat
{
    std::uint64_t incarnation = 0;
    std::int64_t sentAt = 0; /**< Clock of the sender in nanoseconds; only the sender interprets it. */
    std::uint64_t echoIncarnation = 0; /**< Incarnation of the receiver that sent the echoed heartbeat. */
    std::int64_t echoSentAt = 0; /**< sentAt of the newest heartbeat that the sender has from the receiver; 0: none. */
    bool relay = false; /**< The sender is the relay of its failure domain. */
    std::string leader; /**< Name of the control leader as the sender knows it; sent once a second, otherwise empty. */
    std::vector<SampledInstance> known;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace mimosahollow::membership
