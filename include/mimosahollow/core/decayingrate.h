#pragma once

#include "mimosahollow/core/time.h"

namespace mimosahollow {

/** Events per second, as an exponential average. */
struct DecayingRate
{
    double perSecond = 0; /**< At @c updatedAt. */
    TimePoint updatedAt{};
};

/** Events per second at @p now; older ones count less by the factor e for each @p timeConstant. */
[[nodiscard]] double rateAt(const DecayingRate &rate, Duration timeConstant, TimePoint now) noexcept;

void recordEvents(DecayingRate &rate, double events, Duration timeConstant, TimePoint now) noexcept;

} // namespace mimosahollow
