#pragma once

#include <cstdint>
#include <string>

namespace mimosahollow::membership {

/** Identity and address of an instance, as exchanged by gossip. The name is unique in the fleet. */
struct InstanceRecord
{
    std::string name;
    std::string failureDomain;
    std::string linkAddress; /**< IP address and port. */
    std::uint64_t incarnation = 0; /**< Increases with each process start. */

    friend bool operator==(const InstanceRecord &, const InstanceRecord &) = default;
};

} // namespace mimosahollow::membership
