#include "mimosahollow/admission/retrybudget.h"

#include <algorithm>

namespace mimosahollow::admission {

void countRequest(RetryBudget &budget) noexcept
{
    budget.balance = std::min(budget.reserve, budget.balance + budget.ratio);
}

bool hasRetry(const RetryBudget &budget) noexcept
{
    // Covers the rounding error of ten additions of 0.1.
    constexpr double tolerance = 1e-9;
    return budget.balance >= 1 - tolerance;
}

bool takeRetry(RetryBudget &budget) noexcept
{
    if (!hasRetry(budget)) {
        return false;
    }
    budget.balance = std::max(0.0, budget.balance - 1);
    return true;
}

} // namespace mimosahollow::admission
