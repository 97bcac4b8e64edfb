#pragma once

#include "mimosahollow/gateway/servingreply.h"
#include "mimosahollow/gateway/servingrequest.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::serving {

/** What the fake gateway and the fake backend servers saw of one call. */
struct TrackedCall
{
    gateway::ServingRequest request;
    std::size_t entry = 0;
    std::string expectedAdapter; /**< forbidden: no grant is right. */
    bool repeatable = true;
    std::optional<gateway::ServingGrant> grant; /**< Of the attempt that runs now. */
    unsigned runs = 0; /**< Attempts of which bytes reached a server. */
    unsigned finalReplies = 0; /**< Whole answers, errors and refusals that reached the caller. */
    std::optional<gateway::ServingRefusal> refusal;
    std::optional<gateway::StoredAnswer> stored;
    std::vector<std::string> servers;
};

} // namespace mimosahollow::serving
