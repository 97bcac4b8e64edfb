#include "retryafter.h"

#include "decimal.h"

#include <algorithm>

namespace mimosahollow::httpio {

std::optional<Duration> parseRetryAfter(std::string_view text) noexcept
{
    const auto value = parseDecimal(text);
    return value ? std::optional(fromSeconds(std::min(*value, toSeconds(maximumRetryAfter)))) : std::nullopt;
}

} // namespace mimosahollow::httpio
