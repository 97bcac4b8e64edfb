#pragma once

#include <cstdint>
#include <string>

namespace mimosahollow::membership {

/** What instances tell each other about an instance. The name is unique in the fleet. */
struct InstanceRecord
{
    std::string name;
    std::string failureDomain;
    std::string linkAddress; /**< IP address and port. */
    std::uint64_t incarnation = 0; /**< Grows with each process start. */

    friend bool operator==(const InstanceRecord &, const InstanceRecord &) = default;
};

} // namespace mimosahollow::membership
