#pragma once

#include "mimosahollow/core/time.h"

#include <optional>
#include <string_view>

namespace mimosahollow::httpio {

/** Longest time that the header field is taken to mean; a longer one counts as this. */
constexpr Duration maximumRetryAfter = seconds(300);

/** The time that the value @p text of a Retry-After header gives in seconds; nothing unless it is a decimal number of 0 or more. */
[[nodiscard]] std::optional<Duration> parseRetryAfter(std::string_view text) noexcept;

} // namespace mimosahollow::httpio
