#include "serverload.h"

#include "decimal.h"

#include <array>
#include <charconv>

namespace mimosahollow::httpio {

namespace {

constexpr std::size_t longestText = 64; // four figures of seven digits
constexpr unsigned largestCount = 1'000'000;
constexpr std::size_t countFields = 3;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

std::optional<unsigned> parseCount(std::string_view text)
{
    unsigned value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isValid = error == std::errc() && rest == text.data() + text.size() && value <= largestCount;
    return isValid ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<serverpace::StatedLoad> parseServerLoad(std::string_view text) noexcept
{
    if (text.size() > longestText) {
        return std::nullopt;
    }
    std::array<std::string_view, countFields + 1> fields;
    std::size_t count = 0;
    for (bool isLast = false; !isLast;) {
        if (count == fields.size()) {
            return std::nullopt;
        }
        const std::size_t comma = text.find(',');
        isLast = comma == std::string_view::npos;
        fields.at(count++) = trimmed(text.substr(0, comma));
        text.remove_prefix(isLast ? text.size() : comma + 1);
    }
    const auto running = parseCount(fields[0]);
    const auto waiting = parseCount(fields[1]);
    const auto slots = parseCount(fields[2]);
    if (count < countFields || !running || !waiting || !slots || *slots == 0) {
        return std::nullopt;
    }
    serverpace::StatedLoad load{*running, *waiting, *slots, std::nullopt};
    if (count > countFields) {
        const auto hundredths = parseDecimal(fields[3]);
        if (!hundredths || *hundredths <= 0 || *hundredths > largestCount) {
            return std::nullopt;
        }
        load.pace = *hundredths / 100;
    }
    return load;
}

} // namespace mimosahollow::httpio
