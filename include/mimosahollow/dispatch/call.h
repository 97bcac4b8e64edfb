#pragma once

#include "mimosahollow/catalog/callroute.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::dispatch {

/** Properties of a call that determine the choice of a backend server. */
struct Call
{
    std::string id;
    std::string service;
    std::string model; /**< Empty for a plain service. */
    std::string adapter; /**< Empty for the base model. */
    int priority = 0; /**< 0 is the most urgent. */
    TimePoint arrived{};
    TimePoint objectiveEnd{}; /**< Latest time at which the answer, or the first event of a stream, meets the latency objective. */
    TimePoint deadline{}; /**< Set by the caller or the route; an answer after it is useless. */
    std::set<std::string> triedServers; /**< Backend servers to which the call was already sent. */
    std::vector<std::string> fingerprints; /**< What may end backend servers: ids of prompt parts that other calls may have too, and the name of the request. */
    std::string pinnedServer; /**< The only backend server allowed from now on; empty: any. */
};

enum class RefusalCause : std::uint8_t {
    NoServer, /**< No backend server of the service accepts calls. */
    NoCapacity, /**< All backend servers are full. */
    AdapterNotLoaded, /**< No backend server has the adapter, or it cannot be loaded in time. */
    ColdServers, /**< The remaining backend servers are cold and have reached their call rate limit. */
    LimitedServers, /**< The remaining backend servers have named a limit, and no permit is left. */
    SilentServers, /**< All backend servers have asked for no calls for some time. */
    QuarantinedPrompt, /**< The request, or a part of its prompt, ends the backend servers that run it. */
};

[[nodiscard]] std::string_view toString(RefusalCause cause) noexcept;

} // namespace mimosahollow::dispatch
