#include "mimosahollow/hedging/copybudget.h"

#include <algorithm>

namespace mimosahollow::hedging {

namespace {

constexpr double maximumBalance = 3; // an overload after a calm time must not begin with a burst of copies
constexpr double tolerance = 1e-9; // rounding error of the added shares

} // namespace

void countCall(CopyBudget &budget, double share) noexcept
{
    budget.balance = std::min(maximumBalance, budget.balance + share);
}

bool hasCopy(const CopyBudget &budget) noexcept
{
    return budget.balance >= 1 - tolerance;
}

void takeCopy(CopyBudget &budget) noexcept
{
    budget.balance = std::max(0.0, budget.balance - 1);
}

} // namespace mimosahollow::hedging
