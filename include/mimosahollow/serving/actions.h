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

/** Answers a waiting call. */
struct ReplyToCall
{
    std::uint32_t gatewayThread = 0;
    gateway::ServingReply reply;
};

struct SendToPeer
{
    InstanceId to{};
    PeerMessage message;
};

/** Commits a command of an idempotent call; the result comes back as CommitResult. */
struct CommitCommand
{
    RequestId call;
    control::CommandId id;
    control::CommandBody body;
};

/** One routing or placement decision for the log. */
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
