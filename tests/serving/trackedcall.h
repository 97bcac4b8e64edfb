#pragma once

#include "mimosahollow/gateway/servingreply.h"
#include "mimosahollow/gateway/servingrequest.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::serving {

/** Record of one call as seen by the fake gateway and the fake backend servers. */
struct TrackedCall
{
    gateway::ServingRequest request;
    std::size_t entry = 0; /**< Index of the instance that received the call. */
    std::string expectedAdapter; /**< Fleet::forbidden if the call must not be granted. */
    bool repeatable = true;
    std::optional<gateway::ServingGrant> grant; /**< Of the running attempt. */
    unsigned runs = 0; /**< Number of attempts of which bytes reached a server. */
    unsigned finalReplies = 0; /**< Number of complete answers, errors and refusals for the caller; also 1 after it disconnected. */
    std::optional<gateway::ServingRefusal> refusal;
    std::optional<gateway::StoredAnswer> stored;
    std::vector<std::string> servers; /**< Addresses in the order of the grants. */
};

} // namespace mimosahollow::serving
