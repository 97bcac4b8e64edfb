#pragma once

#include "mimosahollow/admission/tokens.h"

#include <algorithm>

namespace mimosahollow::tests {

/** Checks the rate limit (P6) over all windows of a history: spending <= rate x length + burst. Refunds are negative spending. */
struct RateChecker
{
    double rate = 0;
    double burst = 0;
    double excess = 0; /**< Maximum of spending minus rate x length over the windows that end now. */
    double worst = 0; /**< Largest excess so far; the limit (P6) holds while it is at most the burst. */
    TimePoint last{};

    void add(TimePoint now, double amount)
    {
        excess = std::max(0.0, excess - rate * toSeconds(now - last)) + amount;
        worst = std::max(worst, excess);
        last = now;
    }

    [[nodiscard]] bool holds() const
    {
        // The tolerance covers rounding of floating point sums; it is far below one token.
        return worst <= burst + 1e-3;
    }
};

} // namespace mimosahollow::tests
