#include "mimosahollow/allowance/ratelimiter.h"

#include "mimosahollow/catalog/catalog.h"

#include <algorithm>

namespace mimosahollow::allowance {

namespace {

double limit(const RateLimiter &limiter, const RateLimitAccount &account)
{
    return account.ratePerSecond * toSeconds(limiter.options.window) + account.burst;
}

void dropExpiredGrants(const RateLimiter &limiter, RateLimitAccount &account, TimePoint now)
{
    while (!account.grants.empty() && now - account.grants.front().begin >= limiter.options.window + limiter.options.step) {
        account.granted -= account.grants.front().tokens;
        account.grants.pop_front();
    }
    if (account.grants.empty()) {
        account.granted = 0; // clears accumulated rounding errors
    }
}

} // namespace

void configure(RateLimiter &limiter, const catalog::Catalog &catalog)
{
    std::map<std::string, RateLimitAccount, std::less<>> accounts;
    for (const catalog::OrganisationSpec &organisation : catalog.organisations) {
        if (organisation.ratePerSecond <= 0) {
            continue;
        }
        RateLimitAccount account;
        const auto known = limiter.accounts.find(organisation.name);
        if (known != limiter.accounts.end()) {
            account = std::move(known->second);
        }
        account.ratePerSecond = organisation.ratePerSecond;
        account.burst = organisation.burst;
        accounts.emplace(organisation.name, std::move(account));
    }
    limiter.accounts = std::move(accounts);
}

void returnTokens(RateLimiter &limiter, std::string_view organisation, double tokens)
{
    const auto found = limiter.accounts.find(organisation);
    if (found == limiter.accounts.end()) {
        return;
    }
    RateLimitAccount &account = found->second;
    // Subtracts from the latest grants, since earlier ones may leave the window before this return is processed.
    for (auto sum = account.grants.rbegin(); sum != account.grants.rend() && tokens > 0; ++sum) {
        const double part = std::min(tokens, sum->tokens);
        sum->tokens -= part;
        account.granted -= part;
        tokens -= part;
    }
}

void recordPastUse(RateLimiter &limiter, std::string_view organisation, double tokens, Duration age, TimePoint now)
{
    const auto found = limiter.accounts.find(organisation);
    if (found == limiter.accounts.end() || age >= limiter.options.window) {
        return;
    }
    RateLimitAccount &account = found->second;
    const auto isLater = [begin = now - age](const GrantSum &sum) {
        return sum.begin > begin;
    };
    const auto place = std::find_if(account.grants.begin(), account.grants.end(), isLater);
    account.grants.insert(place, {now - age, tokens});
    account.granted += tokens;
}

double grant(RateLimiter &limiter, std::string_view organisation, double requested, TimePoint now)
{
    const auto found = limiter.accounts.find(organisation);
    if (found == limiter.accounts.end() || now < limiter.grantsStartAt) {
        return 0;
    }
    RateLimitAccount &account = found->second;
    dropExpiredGrants(limiter, account, now);
    const double granted = std::clamp(requested, 0.0, std::max(0.0, limit(limiter, account) - account.granted));
    if (granted <= 0) {
        return 0;
    }
    if (account.grants.empty() || now - account.grants.back().begin >= limiter.options.step) {
        account.grants.push_back({now, 0});
    }
    account.grants.back().tokens += granted;
    account.granted += granted;
    return granted;
}

} // namespace mimosahollow::allowance
