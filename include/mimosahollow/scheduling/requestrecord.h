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

/** A waiting or granted request, or an element of the free list. */
struct RequestRecord
{
    AcquireRequest request;
    RequestPhase phase = RequestPhase::Free;
    TimePoint arrival;
    TimePoint grantedAt; /**< Zero when an earlier owner granted the request. */
    TimePoint priority; /**< Arrival plus a handicap that grows with the output length; the earliest goes first within an organisation. */
    std::uint32_t next = noIndex; /**< Next record in the waiting list of the adapter or in the free list. */
    std::uint32_t previous = noIndex;
    std::uint16_t server = 0; /**< Index; valid in phase Granted. */
    std::uint32_t epoch = 0; /**< SlowStart::epoch of the server at the grant. */
    std::uint64_t incarnation = 0; /**< Incarnation of the server at the grant. */
    std::uint64_t grant = 0;
    FencingNumber fencing = 0;
    double chargedTokens = 0; /**< Charged to the organisation until the release. */
};

} // namespace mimosahollow::scheduling
