#pragma once

#include "mimosahollow/placement/modelorder.h"

#include <functional>
#include <optional>
#include <string>

namespace mimosahollow::coordinator {

/** Requests to engines. The callbacks run on the coordinator's event loop. */
struct EngineOperations
{
    /** Sends a load or unload order. */
    std::function<void(const placement::ModelOrder &order, std::function<void(placement::OrderOutcome)> answered)> order;
    /** Reads which models the engine with id @p server at @p address holds; nullopt if there is no valid response. */
    std::function<void(const std::string &server, const std::string &address, std::function<void(std::optional<placement::ModelReport>)> answered)> report;
};

} // namespace mimosahollow::coordinator
