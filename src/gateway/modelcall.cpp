#include "modelcall.h"

#include "mimosahollow/quarantine/requestname.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>

namespace mimosahollow::gateway {

namespace json = boost::json;

namespace {

constexpr std::uint32_t defaultOutputTokens = 256;
constexpr std::uint32_t maximumOutputTokensAllowed = 131'072;
// English text has about four bytes for each token; the estimate is corrected when the engine reports its usage.
constexpr std::size_t bytesPerToken = 4;
// Length of the prompt start that decides about prefix-cache affinity; system prompts are usually longer.
constexpr std::size_t prefixBytes = 256;
// Bounds what one call adds to the messages between instances; older messages of a long conversation have been answered before.
constexpr std::size_t maximumPromptParts = 32;
// Engines nest at most a few levels; deep nesting only costs stack.
constexpr std::size_t maximumJsonDepth = 32;
// "base:name@version"; longer names only fill log lines.
constexpr std::size_t maximumModelBytes = 512;

// Fields that are passed on. Anything else that a caller sends stays here, so no form of a key can slip through.
constexpr std::array<std::string_view, 15> forwardedFields{"prompt",
                                                           "messages",
                                                           "max_tokens",
                                                           "max_completion_tokens",
                                                           "stream",
                                                           "temperature",
                                                           "top_p",
                                                           "top_k",
                                                           "stop",
                                                           "seed",
                                                           "n",
                                                           "presence_penalty",
                                                           "frequency_penalty",
                                                           "logprobs",
                                                           "response_format"};

std::variant<std::uint32_t, std::string> outputTokens(const json::object &object)
{
    const json::value *value = object.if_contains("max_tokens");
    if (value == nullptr) {
        value = object.if_contains("max_completion_tokens");
    }
    if (value == nullptr) {
        return defaultOutputTokens;
    }
    const std::int64_t *number = value->if_int64();
    if (number == nullptr || *number < 1 || *number > maximumOutputTokensAllowed) {
        return std::string("max_tokens must be a whole number from 1 to " + std::to_string(maximumOutputTokensAllowed));
    }
    return static_cast<std::uint32_t>(*number);
}

bool isModelText(std::string_view text)
{
    return !text.empty() && text.size() <= maximumModelBytes && std::none_of(text.begin(), text.end(), [](char character) {
        return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
    });
}

/** Only the one option that the gateway knows is passed on. Empty when @p value is not valid. */
std::optional<json::object> streamOptions(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *include = object == nullptr ? nullptr : object->if_contains("include_usage");
    if (object == nullptr || (include != nullptr && !include->is_bool())) {
        return std::nullopt;
    }
    return json::object{{"include_usage", include != nullptr && include->get_bool()}};
}

/** Hashes of the last messages of @p prompt, or of its serialized form @p promptText if it is no list. */
std::vector<std::uint64_t> hashParts(const json::value &prompt, const std::string &promptText)
{
    const auto hash = [](const std::string &text) {
        return XXH3_64bits(text.data(), text.size()) & ~quarantine::requestHashBit;
    };
    const json::array *messages = prompt.if_array();
    if (messages == nullptr) {
        return {hash(promptText)};
    }
    std::vector<std::uint64_t> parts;
    for (std::size_t i = messages->size() - std::min(messages->size(), maximumPromptParts); i < messages->size(); ++i) {
        parts.push_back(hash(json::serialize((*messages)[i])));
    }
    return parts;
}

} // namespace

std::variant<ModelCall, std::string> parseModelCall(ModelEndpoint endpoint, std::string_view body)
{
    json::error_code error;
    json::parse_options limits;
    limits.max_depth = maximumJsonDepth;
    const json::value value = json::parse(body, error, {}, limits);
    if (error) {
        return "body is not valid JSON: " + error.message();
    }
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return std::string("body must be a JSON object");
    }
    const json::value *model = object->if_contains("model");
    if (model == nullptr || !model->is_string() || !isModelText(model->get_string())) {
        return std::string("model must be a string of 1 to 512 characters without control characters");
    }
    const std::string_view promptField = endpoint == ModelEndpoint::ChatCompletions ? "messages" : "prompt";
    const json::value *prompt = object->if_contains(promptField);
    const bool promptFits = prompt != nullptr && (endpoint == ModelEndpoint::ChatCompletions ? prompt->is_array() : prompt->is_string());
    if (!promptFits) {
        return endpoint == ModelEndpoint::ChatCompletions ? std::string("messages must be an array") : std::string("prompt must be a string");
    }
    const auto tokens = outputTokens(*object);
    if (const auto *message = std::get_if<std::string>(&tokens)) {
        return *message;
    }
    const json::value *stream = object->if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        return std::string("stream must be true or false");
    }

    const json::value *options = object->if_contains("stream_options");
    const auto forwardedOptions = options == nullptr || options->is_null() ? std::optional(json::object()) : streamOptions(*options);
    if (!forwardedOptions) {
        return std::string("stream_options must be an object with include_usage true or false");
    }

    const std::string promptText = json::serialize(*prompt);
    json::object forwarded;
    for (const std::string_view field : forwardedFields) {
        if (const json::value *content = object->if_contains(field)) {
            forwarded[field] = *content;
        }
    }
    ModelCall call;
    call.endpoint = endpoint;
    call.model = std::string(model->get_string());
    call.stream = stream != nullptr && stream->get_bool();
    call.promptTokens = static_cast<std::uint32_t>(promptText.size() / bytesPerToken + 1);
    call.maximumOutputTokens = std::get<std::uint32_t>(tokens);
    call.prefixHash = XXH3_64bits(promptText.data(), std::min(promptText.size(), prefixBytes));
    call.promptParts = hashParts(*prompt, promptText);
    if (call.stream && !forwardedOptions->empty()) {
        forwarded["stream_options"] = *forwardedOptions;
    }
    forwarded["max_tokens"] = call.maximumOutputTokens;
    call.upstreamBody = json::serialize(forwarded);
    return call;
}

std::string upstreamBody(const ModelCall &call, std::string_view baseModel, std::string_view adapter)
{
    // The stored text is a non-empty JSON object, so the two fields can be put before its first one.
    const json::object names{{"model", baseModel}, {"adapter", adapter}};
    std::string text = json::serialize(names);
    text.back() = ',';
    text.append(call.upstreamBody, 1);
    return text;
}

} // namespace mimosahollow::gateway
