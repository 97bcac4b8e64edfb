#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::membership {

/** A pool under one fencing number. */
struct PoolFence
{
    PoolId pool{};
    FencingNumber fencing = 0;

    friend bool operator==(const PoolFence &, const PoolFence &) = default;
};

enum class PromiseKind : std::uint8_t {
    Request, /**< From the owner: asks the receiver not to accept the pools for one lease time. */
    Given, /**< To the owner: the sender does not accept the pools for one lease time from now. */
    Refused, /**< To the owner: pools with the newer fencing numbers that the sender knows. */
    Released, /**< From the owner: it has given up the pools; promises to it under these numbers are void. */
};

struct Promise
{
    PromiseKind kind = PromiseKind::Request;
    InstanceId from{};
    InstanceId owner{};
    std::uint64_t ownerIncarnation = 0;
    std::int64_t ownerTime = 0; /**< Clock of the owner, in nanoseconds, when it sent the request; copied into the answer. */
    std::vector<PoolFence> pools;

    friend bool operator==(const Promise &, const Promise &) = default;
};

} // namespace mimosahollow::membership
