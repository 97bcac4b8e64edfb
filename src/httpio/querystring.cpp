#include "httpio/querystring.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>

namespace mimosahollow::httpio {

namespace {

constexpr std::string_view plainCharacters = "-._~/:"; // beside letters and digits, of those that RFC 3986 allows in a query

std::string decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        std::uint8_t value = 0;
        const char *digits = text.data() + at + 1;
        const bool isEscaped = text[at] == '%' && at + 2 < text.size() && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
        decoded += isEscaped ? static_cast<char>(value) : text[at];
        at += isEscaped ? 2 : 0;
    }
    return decoded;
}

void appendEncoded(std::string &out, std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || plainCharacters.find(character) != std::string_view::npos) {
            out += character;
        } else {
            out += {'%', digits[byte >> 4U], digits[byte & 15U]};
        }
    }
}

} // namespace

QueryFields parseQuery(std::string_view target)
{
    QueryFields fields;
    const std::size_t begin = target.find('?');
    std::string_view rest = begin == std::string_view::npos ? std::string_view() : target.substr(begin + 1);
    while (!rest.empty()) {
        const std::string_view field = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals != std::string_view::npos) {
            fields[decode(field.substr(0, equals))] = decode(field.substr(equals + 1));
        }
    }
    return fields;
}

std::string formatQuery(const QueryFields &fields)
{
    std::string query;
    for (const auto &[name, value] : fields) {
        query += query.empty() ? '?' : '&';
        appendEncoded(query, name);
        query += '=';
        appendEncoded(query, value);
    }
    return query;
}

} // namespace mimosahollow::httpio
