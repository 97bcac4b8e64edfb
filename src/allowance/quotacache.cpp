#include "mimosahollow/allowance/quotacache.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosahollow::allowance {

namespace {

CachedQuota &quotaOf(QuotaCache &cache, std::string_view organisation)
{
    const auto found = cache.quotas.find(organisation);
    return found != cache.quotas.end() ? found->second : cache.quotas.emplace(organisation, CachedQuota{}).first->second;
}

double demandAt(const QuotaCache &cache, const CachedQuota &quota, TimePoint now)
{
    const double age = std::max(0.0, toSeconds(now - quota.demandUpdatedAt));
    return quota.demandPerSecond * std::exp(-age / toSeconds(cache.options.smoothing));
}

void expire(const QuotaCache &cache, CachedQuota &quota, TimePoint now)
{
    if (now - quota.grantedAt > cache.options.lifetime) {
        quota.expired += quota.tokens;
        quota.tokens = 0;
    }
}

} // namespace

double takeExpired(const QuotaCache &cache, CachedQuota &quota, TimePoint now)
{
    expire(cache, quota, now);
    return std::exchange(quota.expired, 0);
}

void recordDemand(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now)
{
    CachedQuota &quota = quotaOf(cache, organisation);
    quota.demandPerSecond = demandAt(cache, quota, now) + tokens / toSeconds(cache.options.smoothing);
    quota.demandUpdatedAt = now;
}

bool spend(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now)
{
    CachedQuota &quota = quotaOf(cache, organisation);
    expire(cache, quota, now);
    if (quota.tokens < tokens) {
        return false;
    }
    quota.tokens -= tokens;
    while (!quota.spent.empty() && now - quota.spent.front().begin > cache.options.history) {
        quota.spent.pop_front();
    }
    if (quota.spent.empty() || now - quota.spent.back().begin >= cache.options.historyStep) {
        quota.spent.push_back({now, 0});
    }
    quota.spent.back().tokens += tokens;
    return true;
}

void refund(QuotaCache &cache, std::string_view organisation, double tokens)
{
    quotaOf(cache, organisation).tokens += tokens;
}

void addGrant(QuotaCache &cache, std::string_view organisation, double tokens, TimePoint now)
{
    CachedQuota &quota = quotaOf(cache, organisation);
    expire(cache, quota, now);
    quota.tokens += tokens;
    quota.grantedAt = now;
}

std::vector<Spending> spendingHistory(const QuotaCache &cache, const CachedQuota &quota, TimePoint now)
{
    std::vector<Spending> past;
    for (const Spending &spending : quota.spent) {
        if (now - spending.begin <= cache.options.history) {
            past.push_back(spending);
        }
    }
    if (quota.tokens > 0 && now - quota.grantedAt <= cache.options.lifetime) {
        past.push_back({now, quota.tokens});
    }
    return past;
}

double tokensToRequest(const QuotaCache &cache, const CachedQuota &quota, TimePoint now)
{
    const bool isExpired = now - quota.grantedAt > cache.options.lifetime;
    const double held = isExpired ? 0 : quota.tokens;
    const double reserve = demandAt(cache, quota, now) * toSeconds(cache.options.reserve);
    return std::max(0.0, reserve + quota.shortfall - held);
}

} // namespace mimosahollow::allowance
