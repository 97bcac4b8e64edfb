#pragma once

namespace mimosahollow::admission {

/** Retries that can accumulate while few are used. Limits the burst of retries at the start of an outage. */
inline constexpr double retryReserve = 10;

/** Limits retries to a fraction of the requests, so that they cannot multiply the load during an outage. */
struct RetryBudget
{
    double ratio = 0.1; /**< Retries added to the balance by each request. */
    double balance = 1; /**< Retries that may be taken now. */
    double reserve = retryReserve; /**< Upper limit of the balance. */
};

/** Adds the retries that one request allows. */
void countRequest(RetryBudget &budget) noexcept;

/** Whether takeRetry() would succeed. */
[[nodiscard]] bool hasRetry(const RetryBudget &budget) noexcept;

/** Takes one retry from the budget. Returns false when the budget is exhausted. */
[[nodiscard]] bool takeRetry(RetryBudget &budget) noexcept;

} // namespace mimosahollow::admission
