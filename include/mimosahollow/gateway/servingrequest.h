#pragma once

#include "mimosahollow/core/ids.h"
#include "mimosahollow/core/keyhash.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::gateway {

enum class CallKind : std::uint8_t {
    Model,
    PlainService,
};

/** A parsed call that asks the dispatch thread for permission to run. Carries no key and no prompt. */
struct ServingRequest
{
    RequestId id;
    std::uint32_t gatewayThread = 0; /**< Index of the thread that waits for the reply. */
    CallKind kind = CallKind::Model;
    std::optional<KeyHash> keyHash;
    std::string target; /**< The "model" field, or the path of a plain service call. */
    bool safeMethod = false; /**< GET or HEAD on a plain service. */
    std::uint32_t promptTokens = 0; /**< Estimate. */
    std::uint32_t maximumOutputTokens = 0;
    std::uint64_t prefixHash = 0; /**< Hash of the start of the prompt, for prefix-cache affinity; 0: none. */
    std::vector<std::uint64_t> promptParts; /**< Hashes of the messages of the prompt. */
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0; /**< Detects another request under the same idempotency key, and a request that comes again. */
    TimePoint arrival{};
    TimePoint deadline{};
};

} // namespace mimosahollow::gateway
