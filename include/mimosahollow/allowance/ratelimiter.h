#pragma once

#include "mimosahollow/core/time.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace mimosahollow::catalog {
struct Catalog;
}

namespace mimosahollow::allowance {

struct RateLimiterOptions
{
    Duration window = seconds(8); /**< Sliding window; within it an organisation is granted at most rate x window + burst. */
    /** A new leader grants nothing for this time, so that entry instances can report what they have spent; covers several report intervals. */
    Duration takeoverDelay = milliseconds(700);
    Duration step = milliseconds(100); /**< Grants within one step are recorded as one sum, which stays in the window for up to one step longer. */
};

/** Tokens granted within one step. */
struct GrantSum
{
    TimePoint begin{};
    double tokens = 0;
};

/** Rate, burst and the grants of the last window of one organisation. */
struct RateLimitAccount
{
    double ratePerSecond = 0;
    double burst = 0;
    double granted = 0; /**< Sum of `grants`. */
    std::deque<GrantSum> grants;
};

/**
 * Sliding-window rate limiter of the leader, with one account for each organisation that has a rate. All entry instances obtain
 * their grants from it.
 *
 * Under sustained overload a sliding window grants the full limit in every window, whereas a token bucket that has run empty
 * grants the burst only once.
 */
struct RateLimiter
{
    RateLimiterOptions options;
    TimePoint grantsStartAt{}; /**< No grants before this time. */
    std::map<std::string, RateLimitAccount, std::less<>> accounts;
};

/** Applies the rates and bursts of @p catalog. Grants of organisations that keep a rate are retained. */
void configure(RateLimiter &limiter, const catalog::Catalog &catalog);

/** Credits tokens that an entry instance returns unspent. */
void returnTokens(RateLimiter &limiter, std::string_view organisation, double tokens);

/** Counts @p tokens that an earlier leader granted and an entry instance spent @p age ago or still holds. */
void recordPastUse(RateLimiter &limiter, std::string_view organisation, double tokens, Duration age, TimePoint now);

/**
 * Counts what entry instances may have spent before they started, when nobody remembers it. @p knownSince has, for each entry instance, the time since
 * when it knows its spending. For the time before, its share of the limit counts as spent evenly, unless the known use was higher anyway.
 */
void assumeUnknownUse(RateLimiter &limiter, std::span<const TimePoint> knownSince, TimePoint now);

/** Grants up to @p requested tokens and returns the amount. Returns 0 for an organisation without an account. */
[[nodiscard]] double grant(RateLimiter &limiter, std::string_view organisation, double requested, TimePoint now);

} // namespace mimosahollow::allowance
