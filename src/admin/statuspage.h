#pragma once

#include <string_view>

namespace mimosahollow::admin {

/** Read-only HTML page that shows the JSON of /admin/v1/status. */
[[nodiscard]] std::string_view statusPage() noexcept;

} // namespace mimosahollow::admin
