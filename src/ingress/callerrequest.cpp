#include "ingress/callerrequest.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace mimosahollow::ingress {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames{
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};

constexpr std::size_t maximumSharedParts = 32; // bounds what one request can add to the state of the instance

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && rest == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

/** Parses "prompt,output" and returns the sum. The output count is optional. */
std::optional<double> parseTokenCounts(std::string_view text)
{
    const std::size_t comma = text.find(',');
    const auto prompt = parseNumber<std::uint64_t>(text.substr(0, comma));
    const auto output = comma == std::string_view::npos ? std::optional<std::uint64_t>(0) : parseNumber<std::uint64_t>(text.substr(comma + 1));
    if (!prompt || !output) {
        return std::nullopt;
    }
    return static_cast<double>(*prompt) + static_cast<double>(*output);
}

/** Ids in "id:tokens,id:tokens,...", without that of the last part, which belongs to one call or session. */
std::vector<std::string> parseSharedParts(std::string_view text)
{
    std::vector<std::string> ids;
    for (std::size_t comma = text.find(','); comma != std::string_view::npos && ids.size() < maximumSharedParts; comma = text.find(',')) {
        const std::string_view part = text.substr(0, comma);
        ids.emplace_back(part.substr(0, part.find(':')));
        text.remove_prefix(comma + 1);
    }
    return ids;
}

bool matchesHeader(const std::string &name, std::string_view candidate)
{
    return !name.empty() && beast::iequals(name, candidate);
}

/** Whether callers may not set the header: the system sets it itself or does not forward it. */
bool isReservedHeader(std::string_view name, const HeaderNames &names)
{
    if (beast::iequals(name, "Authorization") || beast::iequals(name, "Content-Length") || matchesHeader(names.deadline, name)
        || matchesHeader(names.organisation, name) || matchesHeader(names.expectedServer, name) || matchesHeader(names.expectedVersion, name)
        || matchesHeader(names.priority, name)) {
        return true;
    }
    return std::any_of(names.reserved.begin(), names.reserved.end(), [name](const std::string &reserved) {
        return matchesHeader(reserved, name);
    });
}

void appendHeader(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

CallHead parseCallHead(const CallerRequest &request, const HeaderNames &names)
{
    CallHead head;
    head.id = view(request[names.callId]);
    head.host = view(request[http::field::host]);
    head.host.resize(std::min(head.host.find(':'), head.host.size()));
    head.path = view(request.target());
    head.path.resize(std::min(head.path.find('?'), head.path.size()));
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization = view(request[http::field::authorization]);
    if (authorization.size() > scheme.size() && beast::iequals(authorization.substr(0, scheme.size()), scheme)) {
        head.key = authorization.substr(scheme.size());
    }
    const std::string_view model = view(request[names.model]);
    const std::size_t slash = model.find('/');
    head.model = model.substr(0, slash);
    if (slash != std::string_view::npos) {
        head.adapter = model.substr(slash + 1);
    }
    head.tokens = parseTokenCounts(view(request[names.tokenCounts]));
    head.sharedParts = parseSharedParts(view(request[names.promptParts]));
    head.lastEventId = parseNumber<std::uint64_t>(view(request[names.lastEventId]));
    if (const auto timeout = parseNumber<std::uint32_t>(view(request[names.deadline]))) {
        head.timeout = milliseconds(*timeout);
    }
    return head;
}

bool isHopByHop(std::string_view name, std::string_view connectionHeader)
{
    const auto isSame = [name](std::string_view other) {
        return beast::iequals(name, other);
    };
    if (std::any_of(hopByHopNames.begin(), hopByHopNames.end(), isSame)) {
        return true;
    }
    const http::token_list named(connectionHeader);
    return std::any_of(named.begin(), named.end(), [&isSame](beast::string_view token) {
        return isSame(view(token));
    });
}

std::string makeForwardedHead(const CallerRequest &request, const HeaderNames &names, const ForwardedHeaders &added)
{
    std::string head;
    head.reserve(1024);
    head.append(view(request.method_string())).append(" ").append(view(request.target())).append(" HTTP/1.1\r\n");
    const std::string connectionHeader(view(request[http::field::connection]));
    for (const auto &field : request) {
        const std::string_view name = view(field.name_string());
        const bool isReplaced = added.lastEventId && matchesHeader(names.lastEventId, name);
        if (!isReplaced && !isHopByHop(name, connectionHeader) && !isReservedHeader(name, names)) {
            appendHeader(head, name, view(field.value()));
        }
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(added.remaining).count();
    appendHeader(head, names.deadline, std::to_string(std::max<std::int64_t>(1, remaining)));
    if (!added.organisation.empty()) {
        appendHeader(head, names.organisation, added.organisation);
    }
    appendHeader(head, names.expectedServer, added.expectedServer);
    if (added.expectedVersion != 0) {
        appendHeader(head, names.expectedVersion, std::to_string(added.expectedVersion));
    }
    if (added.priority) {
        appendHeader(head, names.priority, std::to_string(*added.priority));
    }
    if (added.lastEventId) {
        appendHeader(head, names.lastEventId, std::to_string(*added.lastEventId));
    }
    const bool hasBody = !request.body().empty() || request.count(http::field::content_length) > 0 || request.count(http::field::transfer_encoding) > 0;
    if (hasBody) {
        appendHeader(head, "Content-Length", std::to_string(request.body().size()));
    }
    head.append("\r\n");
    return head;
}

} // namespace mimosahollow::ingress
