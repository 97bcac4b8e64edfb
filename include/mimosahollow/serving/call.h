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
    AwaitingTokens,
    AwaitingGrant,
    Running,
};

/** A call that entered the fleet at this instance. */
struct Call
{
    gateway::ServingRequest request;
    CallStage stage = CallStage::AwaitingTokens;
    OrganisationId organisation{}; /**< 0 on an open route without a key. */
    AdapterId adapter{};
    std::string kind; /**< Base model or plain service. */
    std::string servedModel; /**< "base:name@version" for model calls. */
    std::string adapterName;
    TimePoint deadline{};
    double reservedTokens = 0; /**< Tokens taken from the organisation's quota. */
    bool repeatable = false;
    std::uint32_t recordAttempts = 0; /**< BeginCalls sent. */
    TimePoint nextRecordAttempt{}; /**< When the next BeginCall asks whether the first call with the same key has ended. */
    bool recorded = false; /**< An idempotency record exists. */
    bool mayHaveRun = false; /**< Bytes of an earlier attempt reached a server, so "not run" is no longer true. */
    bool abandoned = false; /**< The caller left or was refused; only the result of the BeginCall is awaited. */
    control::CallKey callKey;
    control::CommandId beginCommandId;
    std::uint32_t attempts = 0; /**< Grants used. */
    std::uint32_t poolRefusals = 0; /**< Pools that refused since the last attempt. */
    PoolId pool{}; /**< Asked or running there. */
    InstanceId owner{}; /**< Of the pool when it was asked. */
    std::uint64_t grant = 0;
    FencingNumber fencing = 0;
    ServerId server{};
    TimePoint grantedAt{};
};

} // namespace mimosahollow::serving
