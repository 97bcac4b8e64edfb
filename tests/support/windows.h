#pragma once

#include "mimosahollow/core/time.h"

#include <algorithm>
#include <span>

namespace mimosahollow::tests {

/** Largest number of @p times, in ascending order, in any window of length @p window that begins with one of them at @p from or later. */
inline std::size_t mostInWindow(std::span<const TimePoint> times, Duration window, TimePoint from = TimePoint::min())
{
    std::size_t most = 0;
    for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end(); ++first) {
        most = std::max(most, static_cast<std::size_t>(std::upper_bound(first, times.end(), *first + window) - first));
    }
    return most;
}

} // namespace mimosahollow::tests
