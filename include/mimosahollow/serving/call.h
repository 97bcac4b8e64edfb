#pragma once

#include "mimosahollow/control/command.h"
#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/gateway/servingrequest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::serving {

enum class CallStage : std::uint8_t {
    Recording, /**< The idempotency record is being committed. */
    AwaitingTokens, /**< Waits for tokens of the organisation's quota. */
    AwaitingGrant, /**< Waits for a pool owner to grant a slot on a backend server, or for a usable pool. */
    Running, /**< The gateway holds a grant and sends the call to a backend server. */
};

/** A call that this instance received from a client. */
struct Call
{
    gateway::ServingRequest request;
    CallStage stage = CallStage::AwaitingTokens;
    OrganisationId organisation{}; /**< 0 on an open route without a key. */
    AdapterId adapter{};
    std::string kind; /**< Name of the base model or of the plain service. */
    std::string servedModel; /**< "base:name@version", or "base" without an adapter; for calls of a plain service empty. */
    std::string adapterName; /**< "name@version". */
    TimePoint deadline{};
    double reservedTokens = 0; /**< Tokens taken from the organisation's quota. */
    bool repeatable = false; /**< May be sent again after bytes of it reached a backend server. */
    std::uint32_t recordAttempts = 0; /**< Number of BeginCall commands proposed. */
    TimePoint nextRecordAttempt{}; /**< Time of the next BeginCall while another call with the same key is in progress. */
    bool recorded = false; /**< An idempotency record exists, or may exist after a commit without a result. */
    bool mayHaveRun = false; /**< Bytes of an earlier attempt may have reached a server, so the call cannot be refused as not run. */
    bool abandoned = false; /**< The caller disconnected or was refused; only the result of the BeginCall is awaited. */
    control::CallKey callKey;
    control::CommandId beginCommandId; /**< Of the latest BeginCall. */
    std::uint32_t attempts = 0; /**< Number of grants used. */
    std::uint32_t poolRefusals = 0; /**< Number of refusals by pools since the last attempt or the last pause in the search. */
    PoolId pool{}; /**< Pool that was asked for a grant or that granted it; 0 while the call waits for a usable pool. */
    InstanceId owner{}; /**< Owner of the pool when the grant was requested. */
    std::uint64_t grant = 0;
    FencingNumber fencing = 0;
    ServerId server{};
    TimePoint grantedAt{};
};

} // namespace mimosahollow::serving
