#pragma once

#include "mimosahollow/scheduling/adapterstate.h"
#include "mimosahollow/scheduling/request.h"

#include <cstdint>

namespace mimosahollow::scheduling {

enum class RequestPhase : std::uint8_t {
    Free,
    Waiting,
    Granted,
};

/** A request that waits or holds a grant. */
struct RequestRecord
{
    AcquireRequest request;
    RequestPhase phase = RequestPhase::Free;
    TimePoint arrival;
    TimePoint grantedAt; /**< Zero when an earlier owner granted it. */
    TimePoint priority; /**< Arrival plus a bounded handicap for long requests; lowest first within an organisation. */
    std::uint32_t next = noIndex; /**< In the adapter's waiting list, or in the free list. */
    std::uint32_t previous = noIndex;
    std::uint16_t server = 0; /**< Index; valid when granted. */
    std::uint32_t epoch = 0; /**< SlowStart::epoch of the server at the grant. */
    std::uint64_t incarnation = 0; /**< Of the server at the grant. */
    std::uint64_t grant = 0;
    FencingNumber fencing = 0;
    double chargedTokens = 0; /**< Tokens charged to the organisation. */
};

} // namespace mimosahollow::scheduling
