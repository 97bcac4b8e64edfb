#include "mimosahollow/serverpace/pacebounds.h"

#include <algorithm>
#include <cmath>

namespace mimosahollow::serverpace {

double boundedPace(double pace) noexcept
{
    return std::isfinite(pace) && pace > 0 ? std::clamp(pace, fastestPace, slowestPace) : 1;
}

} // namespace mimosahollow::serverpace
