#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** A grant that an entry instance holds from an earlier owner of the pool. */
struct HeldGrant
{
    RequestId id;
    std::uint64_t grant = 0;
    FencingNumber fencing = 0;
    ServerId server{};
    OrganisationId organisation{};
    AdapterId adapter{};
    std::uint32_t estimatedTokens = 0;
    TimePoint deadline;
    std::uint32_t promptTokens = 0; /**< Part of estimatedTokens; 0: unknown, from an older build. */

    friend bool operator==(const HeldGrant &, const HeldGrant &) = default;
};

/** All grants that an entry instance holds in one pool; sent to the new owner of the pool. */
struct GrantReport
{
    InstanceId entry{};
    std::vector<HeldGrant> grants;

    friend bool operator==(const GrantReport &, const GrantReport &) = default;
};

} // namespace mimosahollow::scheduling
