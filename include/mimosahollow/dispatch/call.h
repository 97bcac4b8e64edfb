#pragma once

#include "mimosahollow/catalog/callroute.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace mimosahollow::dispatch {

/** A call as the choice of a backend server sees it. */
struct Call
{
    std::string id;
    std::string service;
    std::string model; /**< Empty for a plain service. */
    std::string adapter; /**< Empty for the base model. */
    int priority = 0; /**< 0 is the most urgent. */
    TimePoint arrived{};
    TimePoint objectiveEnd{}; /**< An answer, or the first event, is on time up to here. */
    TimePoint deadline{}; /**< The caller or the route wants no answer after this. */
    std::set<std::string> triedServers; /**< Backend servers that it was sent to. */
    std::string pinnedServer; /**< It may go to no other one any more; empty: any. */
};

enum class RefusalCause : std::uint8_t {
    NoServer, /**< No backend server of the service takes calls. */
    NoCapacity, /**< All of them are full. */
    AdapterNotLoaded, /**< The adapter cannot be loaded in time. */
    ColdServers, /**< Those that are left are cold and have had what they bear. */
};

[[nodiscard]] std::string_view toString(RefusalCause cause) noexcept;

} // namespace mimosahollow::dispatch
