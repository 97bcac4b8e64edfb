#pragma once

#include "mimosahollow/placement/modelorder.h"

#include <functional>
#include <optional>
#include <string>

namespace mimosahollow::coordinator {

/** Calls to engines; the answer arrives on the event loop. */
struct EngineOperations
{
    std::function<void(const placement::ModelOrder &order, std::function<void(placement::OrderOutcome)> answered)> order;
    /** Reads the models of the engine with id @p server at @p address; nothing when there is no proper answer. */
    std::function<void(const std::string &server, const std::string &address, std::function<void(std::optional<placement::ModelReport>)> answered)> report;
};

} // namespace mimosahollow::coordinator
