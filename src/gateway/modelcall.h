#pragma once

#include "httptypes.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::gateway {

enum class ModelEndpoint : std::uint8_t {
    ChatCompletions,
    Completions,
};

/** A model call as the gateway understands it. */
struct ModelCall
{
    ModelEndpoint endpoint{};
    std::string model;
    bool stream = false;
    std::uint32_t promptTokens = 0; /**< Estimate from the size of the prompt. */
    std::uint32_t maximumOutputTokens = 0;
    std::uint64_t prefixHash = 0;
    std::vector<std::uint64_t> promptParts; /**< Hash of each message, or of the whole prompt. */
    std::string upstreamBody; /**< JSON for the backend server without "model" and "adapter"; never contains headers of the caller. A key that the
                                   caller writes into its prompt is content; see repeatsKey() in calls.cpp. */
};

/** Parses the body of a model call. Returns a message for the caller when it is not valid. */
[[nodiscard]] std::variant<ModelCall, std::string> parseModelCall(ModelEndpoint endpoint, std::string_view body);

/** Body for the backend server that runs @p adapter. */
[[nodiscard]] std::string upstreamBody(const ModelCall &call, std::string_view baseModel, std::string_view adapter);

} // namespace mimosahollow::gateway
