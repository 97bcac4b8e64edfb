#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::gateway {

/**
 * Server-sent events of one model call on their way to the caller.
 *
 * Only whole events are passed on, so that the caller never receives half of one before an error event or a resumption.
 */
struct EventStream
{
    std::string served; /**< Name for the "model" field, "base:name@version". */
    std::string partial; /**< Start of an event whose end has not arrived. */
    std::uint32_t tokens = 0; /**< Events with content that were passed on. */
    std::optional<std::uint32_t> usageTokens; /**< Output tokens as counted by the engine. */
    bool ended = false; /**< The end mark was passed on; later bytes are dropped. */
    bool oversized = false; /**< An event exceeds the limit; the stream must be ended. */
};

/** Appends the whole events in the stream and @p bytes to @p out. Returns how many of them carry content. */
std::uint32_t passEvents(EventStream &stream, std::string_view bytes, std::string &out);

/** Output tokens: the engine's own count, or the number of events with content. */
[[nodiscard]] std::uint32_t outputTokens(const EventStream &stream) noexcept;

/** @p body of a whole answer with its "model" field set to @p served; @p usageTokens receives the engine's count. */
[[nodiscard]] std::string rewriteAnswer(std::string body, std::string_view served, std::uint32_t &usageTokens);

} // namespace mimosahollow::gateway
