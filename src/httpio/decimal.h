#pragma once

#include <optional>
#include <string_view>

namespace mimosahollow::httpio {

/** The number in a header field; nothing unless @p text is a finite decimal number of 0 or more, without an exponent. */
[[nodiscard]] std::optional<double> parseDecimal(std::string_view text) noexcept;

} // namespace mimosahollow::httpio
