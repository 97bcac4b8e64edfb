#pragma once

#include <string>

namespace mimosahollow::dispatch {

/** What a backend server can do for a call now, as an entry instance knows it. */
struct ServerExplanation
{
    std::string server;
    std::string address;
    std::string domain;
    std::string excludedBy; /**< Why it cannot take the call; empty if it can. */
    unsigned running = 0; /**< Calls of this instance. */
    double others = 0; /**< Calls of the other instances that are expected there. */
    unsigned capacity = 0; /**< Calls up to which it gets more. */
    double pace = 1; /**< Time that work takes there, 1 for the median of its service. */
    double cost = 0; /**< In batches; only if it can take the call. */
    double chance = 0; /**< From 0 to 1, with which it is chosen. */
};

} // namespace mimosahollow::dispatch
