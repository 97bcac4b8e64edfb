#pragma once

#include "mimosahollow/admission/tokens.h"

#include <algorithm>

namespace mimosahollow::tests {

/** Checks P6 in every window of a history: spending <= rate x length + burst. A credited refund is negative spending. */
struct RateChecker
{
    double rate = 0;
    double burst = 0;
    double excess = 0; /**< Largest spending of a window that ends now, minus rate x length. */
    double worst = 0; /**< Largest excess so far; P6 holds while it is at most the burst. */
    TimePoint last{};

    void add(TimePoint now, double amount)
    {
        excess = std::max(0.0, excess - rate * toSeconds(now - last)) + amount;
        worst = std::max(worst, excess);
        last = now;
    }

    [[nodiscard]] bool holds() const
    {
        // Sums of floating point amounts; far below one token.
        return worst <= burst + 1e-3;
    }
};

} // namespace mimosahollow::tests
