#pragma once

#include "support/scriptedserver.h"

#include "mimosahollow/gateway/ordersender.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace mimosahollow::tests {

/** Outcome of an order that a backend server answers with @p answer. */
inline gateway::OrderOutcome orderOutcome(const std::string &answer)
{
    ScriptedServer server([&answer](unsigned, const std::string &) -> ScriptedServer::Reply {
        return {answer, true};
    });
    BoundedRing<gateway::ServingEvent> ring(16);
    gateway::OrderSender sender(ring);
    sender.start();
    REQUIRE(sender.send({1, gateway::OrderKind::Load, server.address, "a@1", 7, seconds(2)}));
    std::vector<gateway::ServingEvent> events;
    ring.waitAndTake(events, seconds(5));
    sender.stop();
    REQUIRE(events.size() == 1);
    return std::get<gateway::BackendOrderResult>(events.front()).outcome;
}

} // namespace mimosahollow::tests
