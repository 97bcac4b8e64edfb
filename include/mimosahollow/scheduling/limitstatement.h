#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>

namespace mimosahollow::scheduling {

/** The answer to a granted request names the limit of its server, or none. */
struct LimitStatement
{
    RequestId id;
    std::uint64_t grant = 0;
    FencingNumber fencing = 0; /**< Fencing number of the grant. */
    double callsPerSecond = 0; /**< From all instances together; 0: no limit. */

    friend bool operator==(const LimitStatement &, const LimitStatement &) = default;
};

} // namespace mimosahollow::scheduling
