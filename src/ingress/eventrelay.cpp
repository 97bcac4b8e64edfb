#include "ingress/eventrelay.h"

#include <algorithm>
#include <charconv>

namespace mimosahollow::ingress {

namespace {

/** Length of the first event in @p text including the blank line that terminates it; 0 if it is incomplete. */
std::size_t eventLength(std::string_view text)
{
    std::size_t lineStart = 0;
    while (lineStart < text.size()) {
        const std::size_t end = text.find('\n', lineStart);
        if (end == std::string_view::npos) {
            return 0;
        }
        const std::string_view line = text.substr(lineStart, end - lineStart);
        if (lineStart > 0 && (line.empty() || line == "\r")) {
            return end + 1;
        }
        lineStart = end + 1;
    }
    return 0;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        const std::size_t end = std::min(event.find('\n', lineStart), event.size());
        std::string_view line = event.substr(lineStart, end - lineStart);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            std::uint64_t id = 0;
            const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
            return error == std::errc() ? std::optional(id) : std::nullopt;
        }
        lineStart = end + 1;
    }
    return std::nullopt;
}

} // namespace

void relayEvents(EventRelay &relay, std::string_view bytes, std::string &out)
{
    relay.partial.append(bytes);
    std::string_view rest = relay.partial;
    for (std::size_t length = eventLength(rest); length > 0; length = eventLength(rest)) {
        const std::string_view event = rest.substr(0, length);
        rest.remove_prefix(length);
        const auto id = eventId(event);
        if (id && relay.lastId && *id <= *relay.lastId) {
            continue;
        }
        if (id) {
            relay.lastId = id;
        }
        ++relay.forwardedEvents;
        out.append(event);
    }
    relay.partial.erase(0, relay.partial.size() - rest.size());
}

} // namespace mimosahollow::ingress
