#pragma once

namespace mimosahollow::hedging {

/** Limits second copies to a share of the calls of one service. */
struct CopyBudget
{
    double balance = 0; /**< Copies that may be sent now. It starts empty, so that copies never exceed the share of the calls so far. */
};

/** Adds what one call allows, with @p share copies per call. */
void countCall(CopyBudget &budget, double share) noexcept;

[[nodiscard]] bool hasCopy(const CopyBudget &budget) noexcept;

/** Takes one copy, which hasCopy() has allowed. */
void takeCopy(CopyBudget &budget) noexcept;

} // namespace mimosahollow::hedging
