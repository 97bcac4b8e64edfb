#pragma once

#include "mimosahollow/core/ids.h"

#include <string>

namespace mimosahollow::control {

/** A registered instance. It is assigned a new id when it restarts. */
struct Instance
{
    InstanceId id{};
    std::string name;
    DomainId domain{};
    std::string address; /**< "IP:port" on which it accepts connections from other instances. */
    std::uint64_t incarnation = 0; /**< Random number drawn when the process starts. A repeated registration by the same process returns the same id. */
    Version registrationIndex = 0; /**< Log index of the registration. */

    friend bool operator==(const Instance &, const Instance &) = default;
};

/** The backend servers of one kind in one failure domain, and the instance that owns them. */
struct Pool
{
    PoolId id{};
    DomainId domain{};
    std::string kind; /**< Name of the base model or plain service. */
    InstanceId owner{}; /**< 0 when the pool has no owner. */
    FencingNumber fencing = 0; /**< Fencing number; increases with each assignment. */

    friend bool operator==(const Pool &, const Pool &) = default;
};

/** The instance that holds the token buckets of a failure domain. */
struct BucketOwner
{
    DomainId domain{};
    InstanceId owner{};
    FencingNumber fencing = 0;

    friend bool operator==(const BucketOwner &, const BucketOwner &) = default;
};

} // namespace mimosahollow::control
