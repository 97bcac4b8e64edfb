#pragma once

#include "mimosahollow/core/ids.h"

#include <string>

namespace mimosahollow::control {

/** A registered instance. A restarted instance gets a new id. */
struct Instance
{
    InstanceId id{};
    std::string name;
    DomainId domain{};
    std::string address; /**< "IP:port" of its link listener. */
    std::uint64_t incarnation = 0; /**< Random start number; a resent registration of the same process gets the same id. */
    Version registrationIndex = 0; /**< Log index of the registration. */

    friend bool operator==(const Instance &, const Instance &) = default;
};

/** All backend servers of one failure domain and kind, and the instance that owns them. */
struct Pool
{
    PoolId id{};
    DomainId domain{};
    std::string kind; /**< Base model or plain service. */
    InstanceId owner{}; /**< 0 when there is no owner. */
    FencingNumber fencing = 0; /**< Grows with each assignment. */

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
