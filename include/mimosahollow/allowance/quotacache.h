#pragma once

#include "mimosahollow/core/time.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::allowance {

struct QuotaCacheOptions
{
    /**
     * The cache holds enough tokens for the expected demand of this duration. They may be spent in a later window than the one in which
     * they were granted, so the duration is limited by the tolerated excess of 10% of a window of 8 s.
     */
    Duration reserve = milliseconds(400);
    Duration history = seconds(8); /**< For how long spending is kept, to be reported to a new leader; equals the window of the rate limiter. */
    Duration historyStep = milliseconds(250); /**< Spending within one step is recorded as one sum. */
    Duration lifetime = seconds(1); /**< Unused tokens expire after this time, so that a paused instance does not spend them much later. */
    Duration smoothing = seconds(1); /**< Time constant of the demand estimate. */
};

/** Tokens spent within one step of the history. */
struct Spending
{
    TimePoint begin{};
    double tokens = 0;
};

/** Tokens of one organisation that this entry instance holds. */
struct CachedQuota
{
    double tokens = 0;
    TimePoint grantedAt{};
    double demandPerSecond = 0; /**< Includes calls that were refused. */
    TimePoint demandUpdatedAt{};
    std::deque<Spending> spent; /**< Newest last. */
    double expired = 0; /**< Expired tokens that have not been returned to the leader yet. */
    double shortfall = 0; /**< Tokens that waiting calls still need. */
};

/** Tokens that this entry instance obtained from the leader's rate limiter, by organisation. Admits calls without a round trip. */
struct QuotaCache
{
    QuotaCacheOptions options;
    std::map<std::string, CachedQuota, std::less<>> quotas;
};

/** Adds a call to the demand estimate of @p organisation; once for each call. */
void recordDemand(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now);

/** Spends @p tokens for a call. Returns false and spends nothing when fewer are held. */
[[nodiscard]] bool spend(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now);

/** Puts the tokens of a call that has not run back into the cache. */
void refund(QuotaCache &cache, std::string_view organisation, double tokens);

/** Adds tokens granted by the leader; the lifetime of all held tokens starts again at @p now. */
void addGrant(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now);

/** Expires tokens held beyond their lifetime. Returns the amount to return to the leader; each amount is reported once. */
[[nodiscard]] double takeExpired(const QuotaCache &cache, CachedQuota &quota, TimePoint now);

/** Tokens spent within QuotaCacheOptions::history and those still held, for a new leader, which has no record of them. */
[[nodiscard]] std::vector<Spending> spendingHistory(const QuotaCache &cache, const CachedQuota &quota, TimePoint now);

/** Tokens to request from the leader: the reserve and the shortfall, less the tokens held. */
[[nodiscard]] double tokensToRequest(const QuotaCache &cache, const CachedQuota &quota, TimePoint now);

} // namespace mimosahollow::allowance
