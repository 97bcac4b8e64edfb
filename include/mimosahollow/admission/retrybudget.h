#pragma once

namespace mimosahollow::admission {

/** Retries that a quiet period may save up; a larger reserve allows a burst of retries at the start of an outage. */
inline constexpr double retryReserve = 10;

/** Bounds retries to a part of the requests, so that retries cannot multiply the load of an outage. */
struct RetryBudget
{
    double ratio = 0.1; /**< Retries allowed for each request. */
    double balance = 1; /**< Retries allowed now. */
    double reserve = retryReserve; /**< Largest balance. */
};

void countRequest(RetryBudget &budget) noexcept;

/** Takes one retry from the budget; false when it is used up. */
[[nodiscard]] bool takeRetry(RetryBudget &budget) noexcept;

} // namespace mimosahollow::admission
