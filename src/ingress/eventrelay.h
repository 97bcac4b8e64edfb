#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::ingress {

/**
 * State of relaying the server-sent events of one call.
 *
 * Only complete events are forwarded, so that another backend server can resume the stream after the last one.
 */
struct EventRelay
{
    std::string partial; /**< Received part of an incomplete event. */
    std::optional<std::uint64_t> lastId; /**< Id of the newest event that was forwarded or that the caller already has. */
    std::uint64_t forwardedEvents = 0;
};

/** Adds @p bytes to the stream and appends the events that are now complete to @p out, skipping those with an id up to lastId. */
void relayEvents(EventRelay &relay, std::string_view bytes, std::string &out);

} // namespace mimosahollow::ingress
