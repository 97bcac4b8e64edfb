#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::ingress {

/**
 * Server-sent events of one call on their way to the caller.
 *
 * Only whole events are passed on: another backend server can then continue after the last one.
 */
struct EventRelay
{
    std::string partial; /**< Start of an event whose end has not arrived. */
    std::optional<std::uint64_t> lastId; /**< Of the newest event that was passed on, or that the caller has. */
    std::uint64_t events = 0; /**< Passed on. */
};

/** Appends to @p out the whole events in the stream and @p bytes. Events up to lastId, which the caller has, are left out. */
void relayEvents(EventRelay &relay, std::string_view bytes, std::string &out);

} // namespace mimosahollow::ingress
