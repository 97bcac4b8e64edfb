#pragma once

#include "mimosahollow/control/command.h"
#include "mimosahollow/gateway/backendorder.h"
#include "mimosahollow/gateway/servingreply.h"
#include "mimosahollow/serving/peermessage.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::serving {

/** Reply to a request of the gateway: a grant, a refusal or a stored answer. */
struct ReplyToCall
{
    std::uint32_t gatewayThread = 0;
    gateway::ServingReply reply;
};

/** Sends a message to another instance. */
struct SendToPeer
{
    InstanceId to{};
    PeerMessage message;
};

/** Proposes a command to the replicated log on behalf of an idempotent call. The result is reported as CommitResult. */
struct CommitCommand
{
    RequestId call;
    control::CommandId id;
    control::CommandBody body;
};

/** Writes a routing or placement decision to the log. */
struct LogDecision
{
    std::string_view decision; /**< "route", "refuse", "load", "evict", "spill", "retry". */
    RequestId request;
    std::string organisation;
    std::string adapter;
    std::uint32_t candidates = 0;
    std::string choice;
    std::string_view reason;
};

using Action = std::variant<ReplyToCall, SendToPeer, gateway::BackendOrder, CommitCommand, LogDecision>;
using Actions = std::vector<Action>;

} // namespace mimosahollow::serving
