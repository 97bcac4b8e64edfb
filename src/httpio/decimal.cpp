#include "decimal.h"

#include <charconv>
#include <cmath>

namespace mimosahollow::httpio {

std::optional<double> parseDecimal(std::string_view text) noexcept
{
    double value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isValid = error == std::errc() && rest == text.data() + text.size() && std::isfinite(value) && value >= 0;
    return isValid ? std::optional(value) : std::nullopt;
}

} // namespace mimosahollow::httpio
