#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::membership {

/** A pool and the fencing number of one of its owners. */
struct PoolFence
{
    PoolId pool{};
    FencingNumber fencing = 0;

    friend bool operator==(const PoolFence &, const PoolFence &) = default;
};

enum class PromiseKind : std::uint8_t {
    Request, /**< From the owner: asks the receiver not to take over the pools for one lease time. */
    Given, /**< To the owner: the sender will not take over the pools for one lease time from now. */
    Refused, /**< To the owner: the pools for which the sender knows a newer owner, with the newer fencing numbers. */
    Released, /**< From the owner: it has released the pools; promises to it under these fencing numbers are void. */
};

/** Message by which the owner of a pool extends its lease through its peers while the leader is unreachable, or releases it. */
struct Promise
{
    PromiseKind kind = PromiseKind::Request;
    InstanceId from{};
    InstanceId owner{};
    std::uint64_t ownerIncarnation = 0;
    std::int64_t ownerTime = 0; /**< Send time of the request on the clock of the owner, in nanoseconds; copied into the answer. */
    std::vector<PoolFence> pools;

    friend bool operator==(const Promise &, const Promise &) = default;
};

} // namespace mimosahollow::membership
