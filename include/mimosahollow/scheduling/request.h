#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** Request of an entry instance to the pool owner for a server. */
struct AcquireRequest
{
    RequestId id;
    InstanceId entry{};
    OrganisationId organisation{};
    double weight = 1; /**< Fair-share weight of the organisation, above 0. */
    AdapterId adapter{}; /**< 0: the base model or a service without adapters. */
    std::uint32_t promptTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
    std::uint64_t prefixHash = 0; /**< Hash of organisation and conversation; 0: none. */
    std::vector<std::uint64_t> promptParts = {}; /**< Hashes of the messages of the prompt, and of the whole request. */
    TimePoint deadline;
    bool repeatable = true;

    friend bool operator==(const AcquireRequest &, const AcquireRequest &) = default;
};

} // namespace mimosahollow::scheduling
