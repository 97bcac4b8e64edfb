#include "eventstream.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mimosahollow::gateway {

namespace json = boost::json;

namespace {

// One token with log probabilities is a few KiB; a longer event would only hold memory.
constexpr std::size_t maximumEventBytes = 1U << 20U;
constexpr std::string_view dataPrefix = "data:";
constexpr std::string_view endMark = "[DONE]";

/** End of the event that starts at @p from (after its blank line), or npos. */
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (text.substr(at + 1).starts_with('\n')) {
            return at + 2;
        }
        if (text.substr(at + 1).starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

/** Content of the first data line of @p event. */
std::optional<std::string_view> dataOf(std::string_view event)
{
    std::size_t from = 0;
    while (from < event.size()) {
        const std::size_t end = std::min(event.find('\n', from), event.size());
        std::string_view line = event.substr(from, end - from);
        from = end + 1;
        if (line.starts_with(dataPrefix)) {
            line.remove_prefix(dataPrefix.size());
            const std::size_t first = line.find_first_not_of(' ');
            const std::size_t last = line.find_last_not_of(" \r");
            return first == std::string_view::npos || last == std::string_view::npos ? std::string_view{} : line.substr(first, last - first + 1);
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> usageOf(const json::value &value)
{
    json::error_code error;
    const auto *tokens = value.find_pointer("/usage/completion_tokens", error);
    if (tokens == nullptr || !tokens->is_int64() || tokens->get_int64() < 0 || tokens->get_int64() > UINT32_MAX) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(tokens->get_int64());
}

bool hasContent(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *choices = object == nullptr ? nullptr : object->if_contains("choices");
    return choices == nullptr || !choices->is_array() || !choices->get_array().empty();
}

/** Passes one event on. Returns whether it carries content. */
bool passEvent(EventStream &stream, std::string_view event, std::string &out)
{
    const auto data = dataOf(event);
    if (!data) {
        out.append(event); // a comment that keeps the connection open
        return false;
    }
    if (*data == endMark) {
        stream.ended = true;
        out.append(event);
        return false;
    }
    // Parsing every event would cost more than carrying it. Quotes inside JSON strings are escaped, so that an unescaped match is a member.
    const std::string wanted = "\"model\":\"" + stream.served + "\"";
    const bool modelFits = stream.served.empty() || data->find(wanted) != std::string_view::npos;
    if (modelFits && data->find("\"usage\"") == std::string_view::npos && data->find("\"choices\":[]") == std::string_view::npos) {
        out.append(event);
        return true;
    }
    json::error_code error;
    json::value value = json::parse(json::string_view(data->data(), data->size()), error);
    if (error || !value.is_object()) {
        out.append(event);
        return true;
    }
    if (const auto tokens = usageOf(value)) {
        stream.usageTokens = tokens;
    }
    if (modelFits) {
        out.append(event);
    } else {
        value.get_object()["model"] = stream.served;
        out.append("data: ").append(json::serialize(value)).append("\n\n");
    }
    return hasContent(value);
}

} // namespace

std::uint32_t passEvents(EventStream &stream, std::string_view bytes, std::string &out)
{
    if (stream.ended) {
        return 0;
    }
    std::string joined;
    if (!stream.partial.empty()) {
        joined = std::move(stream.partial);
        stream.partial.clear();
        joined.append(bytes);
        bytes = joined;
    }
    std::uint32_t passed = 0;
    std::size_t from = 0;
    for (std::size_t end = eventEnd(bytes, from); end != std::string_view::npos && !stream.ended; end = eventEnd(bytes, from)) {
        passed += passEvent(stream, bytes.substr(from, end - from), out) ? 1 : 0;
        from = end;
    }
    if (!stream.ended) {
        stream.partial = bytes.substr(from);
        stream.oversized = stream.partial.size() > maximumEventBytes;
    }
    stream.tokens += passed;
    return passed;
}

std::uint32_t outputTokens(const EventStream &stream) noexcept
{
    return stream.usageTokens.value_or(stream.tokens);
}

std::string rewriteAnswer(std::string body, std::string_view served, std::uint32_t &usageTokens)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return body;
    }
    usageTokens = usageOf(value).value_or(0);
    json::object &object = value.get_object();
    const json::value *model = object.if_contains("model");
    if (served.empty() || model == nullptr || (model->is_string() && std::string_view(model->get_string()) == served)) {
        return body;
    }
    object["model"] = served;
    return json::serialize(value);
}

} // namespace mimosahollow::gateway
