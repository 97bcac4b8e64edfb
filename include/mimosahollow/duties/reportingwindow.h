#pragma once

#include <cstdint>

namespace mimosahollow::duties {

/** Reporting window with @p milliseconds of Unix time in it; windows last @p length milliseconds, and window k begins k lengths after the start of 1970. */
[[nodiscard]] constexpr std::uint64_t windowAt(std::int64_t milliseconds, std::int64_t length) noexcept
{
    return milliseconds < 0 ? 0 : static_cast<std::uint64_t>(milliseconds / length);
}

/** Unix time in milliseconds at which @p window ends. */
[[nodiscard]] constexpr std::int64_t windowEnd(std::uint64_t window, std::int64_t length) noexcept
{
    return (static_cast<std::int64_t>(window) + 1) * length;
}

} // namespace mimosahollow::duties
