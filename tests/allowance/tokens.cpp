#include "mimosahollow/allowance/quotacache.h"
#include "mimosahollow/allowance/ratelimiter.h"
#include "mimosahollow/catalog/catalog.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace mimosahollow;
using namespace mimosahollow::allowance;

namespace {

catalog::Catalog catalogOf(double rate, double burst)
{
    catalog::Catalog catalog;
    catalog.organisations = {{"one", {"key"}, 0, true, 1, rate, burst}};
    return catalog;
}

} // namespace

// Load pattern: one organisation asks for several times its rate for half a minute.
TEST_CASE("An organisation over its rate gets all that every window allows, and no more")
{
    constexpr double rate = 1000;
    constexpr double burst = 2000;
    RateLimiter limiter;
    configure(limiter, catalogOf(rate, burst));
    const double limit = rate * toSeconds(limiter.options.window) + burst;
    TimePoint now{};
    std::deque<std::pair<TimePoint, double>> grants;
    double total = 0;
    double worst = 0;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(50);
        const double granted = grant(limiter, "one", 400, now);
        total += granted;
        grants.emplace_back(now, granted);
        while (now - grants.front().first >= limiter.options.window) {
            grants.pop_front();
        }
        double sum = 0;
        for (const auto &[time, tokens] : grants) {
            sum += tokens;
        }
        worst = std::max(worst, sum);
    }
    CHECK(worst <= limit * 1.0001);
    // A bucket that has run empty would give 30 s x 1000 + 2000.
    CHECK(total >= 30 * limit / 8.5);
}

// Load pattern: a burst of one organisation spends its limit, and the leader is lost in the same second.
TEST_CASE("A new leader does not grant again what entry instances have spent")
{
    TimePoint now{seconds(100)};
    QuotaCache cache;
    addGrant(cache, "one", 9000, now);
    REQUIRE(spend(cache, "one", 8500, now));
    now += milliseconds(800);

    RateLimiter limiter;
    configure(limiter, catalogOf(1000, 2000));
    limiter.grantsStartAt = now + limiter.options.takeoverDelay;
    CHECK(grant(limiter, "one", 100, now) == 0);
    for (const Spending &spending : spendingHistory(cache, cache.quotas.at("one"), now)) {
        recordPastUse(limiter, "one", spending.tokens, now - spending.begin, now);
    }
    now += limiter.options.takeoverDelay;
    CHECK(grant(limiter, "one", 10'000, now) <= 1000); // 10,000 less the 8,500 spent and the 500 held
    now += limiter.options.window;
    CHECK(grant(limiter, "one", 20'000, now) >= 9000);
}

// Load pattern: an organisation at its rate has calls at all entry instances, each left with fewer tokens than a call needs.
TEST_CASE("Tokens that nobody spends go back to the leader")
{
    TimePoint now{seconds(100)};
    RateLimiter limiter;
    configure(limiter, catalogOf(100, 200));
    const double limit = 1000;
    QuotaCache cache;
    addGrant(cache, "one", grant(limiter, "one", limit, now), now);
    REQUIRE(spend(cache, "one", 400, now));
    REQUIRE(grant(limiter, "one", 1, now) == 0);

    now += cache.options.lifetime + milliseconds(1);
    const double expired = takeExpired(cache, cache.quotas.at("one"), now);
    CHECK(expired == 600);
    CHECK(takeExpired(cache, cache.quotas.at("one"), now) == 0);
    returnTokens(limiter, "one", expired);
    CHECK(grant(limiter, "one", limit, now) == 600);
    CHECK_FALSE(spend(cache, "one", 1, now));
}

// Guards against tokens that are spent long after their grant, or without one.
TEST_CASE("A wallet spends what it was granted, for a time")
{
    const TimePoint start{seconds(1)};
    QuotaCache cache;
    CHECK_FALSE(spend(cache, "one", 1, start));
    addGrant(cache, "one", 100, start);
    CHECK(spend(cache, "one", 60, start));
    CHECK_FALSE(spend(cache, "one", 60, start));
    refund(cache, "one", 60);
    CHECK(spend(cache, "one", 60, start));
    CHECK_FALSE(spend(cache, "one", 10, start + cache.options.lifetime + milliseconds(1)));

    SECTION("it asks for what its callers use")
    {
        recordDemand(cache, "one", 1000, start);
        CHECK(tokensToRequest(cache, cache.quotas.at("one"), start) > 300);
    }
}
