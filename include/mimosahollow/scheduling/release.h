#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>

namespace mimosahollow::scheduling {

/** How a granted request ended, as seen by the entry instance. */
enum class ReleaseOutcome : std::uint8_t {
    Completed,
    Cancelled, /**< By the caller or at the deadline. */
    Failed, /**< The server answered with an error. */
    ConnectionReset,
    ConnectionRefused,
    NotSent, /**< The entry instance did not use the grant. */
};

/** Return of a grant by its entry instance. */
struct Release
{
    RequestId id;
    std::uint64_t grant = 0;
    FencingNumber fencing = 0; /**< Fencing number of the grant. */
    ReleaseOutcome outcome{};
    std::uint32_t tokensUsed = 0; /**< Prompt and output. */
    Duration firstTokenLatency{}; /**< From sending the request; 0 when no token arrived. */

    friend bool operator==(const Release &, const Release &) = default;
};

} // namespace mimosahollow::scheduling
