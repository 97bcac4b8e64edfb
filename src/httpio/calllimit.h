#pragma once

#include <optional>
#include <string_view>

namespace mimosahollow::httpio {

/** The limit in calls per second that the header field @p text of a backend server names; nothing unless it is a finite decimal number of 0 or more. */
[[nodiscard]] std::optional<double> parseCallLimit(std::string_view text) noexcept;

} // namespace mimosahollow::httpio
