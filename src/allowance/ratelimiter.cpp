#include "mimosahollow/allowance/ratelimiter.h"

#include "mimosahollow/catalog/catalog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mimosahollow::allowance {

namespace {

constexpr Duration assumedStep = milliseconds(250); // the step in which entry instances report what they have spent

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

void assumeUnknownUse(RateLimiter &limiter, std::span<const TimePoint> knownSince, TimePoint now)
{
    if (knownSince.empty()) {
        return;
    }
    for (auto &[organisation, account] : limiter.accounts) {
        const double evenly = limit(limiter, account) * toSeconds(assumedStep) / toSeconds(limiter.options.window);
        std::vector<std::pair<Duration, double>> assumed; // by age; added at the end, so as not to count as known
        for (Duration age = limiter.options.window - assumedStep; age >= Duration::zero(); age -= assumedStep) {
            const TimePoint begin = now - age - assumedStep;
            const TimePoint end = begin + assumedStep;
            const auto unknown = std::count_if(knownSince.begin(), knownSince.end(), [begin](TimePoint since) {
                return since > begin;
            });
            double known = 0;
            for (const GrantSum &sum : account.grants) {
                known += sum.begin >= begin && sum.begin < end ? sum.tokens : 0;
            }
            const double share = static_cast<double>(unknown) / static_cast<double>(knownSince.size());
            assumed.emplace_back(age, share * std::max(0.0, evenly - known));
        }
        for (const auto &[age, tokens] : assumed) {
            recordPastUse(limiter, organisation, tokens, age, now);
        }
    }
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
