#pragma once

#include "mimosahollow/core/time.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace mimosahollow::catalog {
struct Catalog;
}

namespace mimosahollow::allowance {

struct RateLimiterOptions
{
    Duration window = seconds(8); /**< In any span of this length, an organisation gets its rate times the span, and its burst. */
    /** A new leader grants nothing before: the entry instances tell it meanwhile what they have spent. Several reports long. */
    Duration takeoverDelay = milliseconds(700);
    Duration step = milliseconds(100); /**< Grants are kept in sums of this length; each adds to the span that they count in. */
};

/** Tokens granted within one step. */
struct GrantSum
{
    TimePoint begin{};
    double tokens = 0;
};

/** What one organisation was granted within the last window. */
struct RateLimitAccount
{
    double ratePerSecond = 0;
    double burst = 0;
    double granted = 0; /**< Sum of the grants below. */
    std::deque<GrantSum> grants;
};

/**
 * The leader's accounts, one for each organisation with a rate. Grants of all entry instances come from them.
 *
 * Answers an organisation that asks for more than its rate for long: a sliding window gives it all that it may have, where a
 * bucket that has run empty gives the burst only once.
 */
struct RateLimiter
{
    RateLimiterOptions options;
    TimePoint grantsStartAt{}; /**< Nothing is granted before. */
    std::map<std::string, RateLimitAccount, std::less<>> accounts;
};

/** Takes over the rates of @p catalog. */
void configure(RateLimiter &limiter, const catalog::Catalog &catalog);

/** An entry instance returns tokens that it has not spent. */
void returnTokens(RateLimiter &limiter, std::string_view organisation, double tokens);

/** An entry instance has spent @p tokens of a grant of an earlier leader, @p age ago, or holds them still. */
void recordPastUse(RateLimiter &limiter, std::string_view organisation, double tokens, Duration age, TimePoint now);

/** Grants up to @p wish tokens. Returns 0 for an organisation without an account. */
[[nodiscard]] double grant(RateLimiter &limiter, std::string_view organisation, double requested, TimePoint now);

} // namespace mimosahollow::allowance
