#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::gateway {

/**
 * Path of a request target in the one form that is matched against routes and forwarded.
 *
 * Resolves "." and "..", joins slashes, decodes escaped unreserved characters and drops the query. Empty when the path
 * climbs above its root, or holds what a backend server could read as another path: escaped slashes, backslashes,
 * control characters and escapes of escapes.
 */
[[nodiscard]] std::optional<std::string> normalisePath(std::string_view target);

} // namespace mimosahollow::gateway
