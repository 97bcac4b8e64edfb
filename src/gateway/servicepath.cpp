#include "servicepath.h"

#include <vector>

namespace mimosahollow::gateway {

namespace {

constexpr std::string_view upperHexDigits = "0123456789ABCDEF";

int hexValue(char character) noexcept
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const char lower = static_cast<char>(character | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool isUnreserved(char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9') || character == '-'
           || character == '.' || character == '_' || character == '~';
}

/** Value of the escape at @p at, or -1. */
int escapedByte(std::string_view text, std::size_t at) noexcept
{
    if (at + 2 >= text.size() || hexValue(text[at + 1]) < 0 || hexValue(text[at + 2]) < 0) {
        return -1;
    }
    return hexValue(text[at + 1]) * 16 + hexValue(text[at + 2]);
}

bool isForbidden(int byte) noexcept
{
    return byte < 0x20 || byte == 0x7f || byte == '/' || byte == '\\';
}

/**
 * Whether a server that decodes twice reads something else. Looks at the decoded text: in "%25%32%65" only the first escape
 * remains, and "%252e" would become ".".
 */
bool hasEscapeOfEscape(std::string_view decoded)
{
    for (std::size_t at = decoded.find("%25"); at != std::string_view::npos; at = decoded.find("%25", at + 1)) {
        if (at + 4 < decoded.size() && hexValue(decoded[at + 3]) >= 0 && hexValue(decoded[at + 4]) >= 0) {
            return true;
        }
    }
    return false;
}

/** Decodes what may be decoded and writes the remaining escapes in one form. */
std::optional<std::string> decodeSegment(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (character != '%') {
            const int byte = static_cast<unsigned char>(character);
            if (isForbidden(byte) || byte >= 0x80) {
                return std::nullopt;
            }
            decoded += character;
            continue;
        }
        const int byte = escapedByte(text, at);
        if (byte < 0 || isForbidden(byte)) {
            return std::nullopt;
        }
        at += 2;
        if (isUnreserved(static_cast<char>(byte))) {
            decoded += static_cast<char>(byte);
        } else {
            decoded += '%';
            decoded += upperHexDigits[static_cast<std::size_t>(byte) / 16];
            decoded += upperHexDigits[static_cast<std::size_t>(byte) % 16];
        }
    }
    return hasEscapeOfEscape(decoded) ? std::nullopt : std::optional(std::move(decoded));
}

std::string_view pathOf(std::string_view target)
{
    target = target.substr(0, target.find_first_of("?#"));
    const std::size_t scheme = target.find("://");
    if (!target.starts_with('/') && scheme != std::string_view::npos) {
        const std::size_t slash = target.find('/', scheme + 3);
        return slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
    }
    return target;
}

} // namespace

std::optional<std::string> normalisePath(std::string_view target)
{
    std::string_view path = pathOf(target);
    if (!path.starts_with('/')) {
        return std::nullopt;
    }
    std::vector<std::string> segments;
    bool endsWithSlash = false;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view raw = path.substr(0, path.find('/'));
        path.remove_prefix(raw.size());
        auto segment = decodeSegment(raw);
        if (!segment) {
            return std::nullopt;
        }
        // Some servers ignore parameters after ";" when they resolve "..".
        const std::string_view bare = std::string_view(*segment).substr(0, segment->find(';'));
        const bool dots = bare == "." || bare == "..";
        if (dots && bare.size() != segment->size()) {
            return std::nullopt;
        }
        endsWithSlash = dots || segment->empty();
        if (bare == "..") {
            if (segments.empty()) {
                return std::nullopt;
            }
            segments.pop_back();
        } else if (!dots && !segment->empty()) {
            segments.push_back(std::move(*segment));
        }
    }
    std::string result;
    for (const std::string &segment : segments) {
        result.append("/").append(segment);
    }
    return endsWithSlash || result.empty() ? result + "/" : result;
}

} // namespace mimosahollow::gateway
