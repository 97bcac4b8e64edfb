#include "mimosahollow/core/decayingrate.h"

#include <algorithm>
#include <cmath>

namespace mimosahollow {

double rateAt(const DecayingRate &rate, Duration timeConstant, TimePoint now) noexcept
{
    return rate.perSecond * std::exp(-std::max(0.0, toSeconds(now - rate.updatedAt)) / toSeconds(timeConstant));
}

void recordEvents(DecayingRate &rate, double events, Duration timeConstant, TimePoint now) noexcept
{
    rate.perSecond = rateAt(rate, timeConstant, now) + events / toSeconds(timeConstant);
    rate.updatedAt = now;
}

} // namespace mimosahollow
