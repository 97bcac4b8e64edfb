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
    /** Held tokens can be used in the window after the one in which they were granted; the tolerance of 10% of a window of 8 s bounds them. */
    Duration reserve = milliseconds(400);
    Duration history = seconds(8); /**< For how long spending is remembered, for a new leader; the window of the bank. */
    Duration historyStep = milliseconds(250); /**< Spending is remembered in sums of this length. */
    Duration lifetime = seconds(1); /**< Unused tokens expire, so that those of a stopped instance are not spent much later. */
    Duration smoothing = seconds(1); /**< Averaging time of the demand. */
};

/** Tokens spent within one step of the history. */
struct Spending
{
    TimePoint begin{};
    double tokens = 0;
};

/** Granted tokens of one organisation at this entry instance. */
struct CachedQuota
{
    double tokens = 0;
    TimePoint grantedAt{};
    double demandPerSecond = 0; /**< Of all calls, also those that were refused. */
    TimePoint demandUpdatedAt{};
    std::deque<Spending> spent; /**< Newest last. */
    double expired = 0; /**< Unspent tokens for the leader to take back. */
    double shortfall = 0; /**< Tokens that waiting calls lack. */
};

struct QuotaCache
{
    QuotaCacheOptions options;
    std::map<std::string, CachedQuota, std::less<>> quotas;
};

/** Counts a call of @p organisation into its demand. Call once for each call. */
void recordDemand(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now);

/** Takes @p tokens for a call. Returns false, and takes nothing, when too few are held. */
[[nodiscard]] bool spend(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now);

/** Gives back tokens of a call that has not run. */
void refund(QuotaCache &cache, std::string_view organisation, double tokens);

void addGrant(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now);

/** Ends tokens that were held for too long. Returns what the leader is to take back. */
[[nodiscard]] double takeExpired(const QuotaCache &cache, CachedQuota &quota, TimePoint now);

/** What @p purse has spent within the history, and holds, for a leader that does not know it. */
[[nodiscard]] std::vector<Spending> spendingHistory(const QuotaCache &cache, const CachedQuota &quota, TimePoint now);

/** Tokens to ask the leader for. */
[[nodiscard]] double tokensToRequest(const QuotaCache &cache, const CachedQuota &quota, TimePoint now);

} // namespace mimosahollow::allowance
