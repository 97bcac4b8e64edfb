#include "mimosahollow/allowance/tokenbank.h"
#include "mimosahollow/allowance/tokenwallet.h"
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
    TokenBank bank;
    configure(bank, catalogOf(rate, burst));
    const double limit = rate * toSeconds(bank.options.window) + burst;
    TimePoint now{};
    std::deque<std::pair<TimePoint, double>> grants;
    double total = 0;
    double worst = 0;
    for (int step = 0; step < 600; ++step) {
        now += milliseconds(50);
        const double granted = grant(bank, "one", 400, now);
        total += granted;
        grants.emplace_back(now, granted);
        while (now - grants.front().first >= bank.options.window) {
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
    TokenWallet wallet;
    deposit(wallet, "one", 9000, now);
    REQUIRE(spend(wallet, "one", 8500, now));
    now += milliseconds(800);

    TokenBank bank;
    configure(bank, catalogOf(1000, 2000));
    bank.opensAt = now + bank.options.handover;
    CHECK(grant(bank, "one", 100, now) == 0);
    for (const Spending &spending : history(wallet, wallet.purses.at("one"), now)) {
        notePast(bank, "one", spending.tokens, now - spending.begin, now);
    }
    now += bank.options.handover;
    CHECK(grant(bank, "one", 10'000, now) <= 1000); // 10,000 less the 8,500 spent and the 500 held
    now += bank.options.window;
    CHECK(grant(bank, "one", 20'000, now) >= 9000);
}

// Load pattern: an organisation at its rate has calls at all entry instances, each left with fewer tokens than a call needs.
TEST_CASE("Tokens that nobody spends go back to the leader")
{
    TimePoint now{seconds(100)};
    TokenBank bank;
    configure(bank, catalogOf(100, 200));
    const double limit = 1000;
    TokenWallet wallet;
    deposit(wallet, "one", grant(bank, "one", limit, now), now);
    REQUIRE(spend(wallet, "one", 400, now));
    REQUIRE(grant(bank, "one", 1, now) == 0);

    now += wallet.options.lifetime + milliseconds(1);
    const double expired = takeExpired(wallet, wallet.purses.at("one"), now);
    CHECK(expired == 600);
    CHECK(takeExpired(wallet, wallet.purses.at("one"), now) == 0);
    takeBack(bank, "one", expired);
    CHECK(grant(bank, "one", limit, now) == 600);
    CHECK_FALSE(spend(wallet, "one", 1, now));
}

// Guards against tokens that are spent long after their grant, or without one.
TEST_CASE("A wallet spends what it was granted, for a time")
{
    const TimePoint start{seconds(1)};
    TokenWallet wallet;
    CHECK_FALSE(spend(wallet, "one", 1, start));
    deposit(wallet, "one", 100, start);
    CHECK(spend(wallet, "one", 60, start));
    CHECK_FALSE(spend(wallet, "one", 60, start));
    giveBack(wallet, "one", 60);
    CHECK(spend(wallet, "one", 60, start));
    CHECK_FALSE(spend(wallet, "one", 10, start + wallet.options.lifetime + milliseconds(1)));

    SECTION("it asks for what its callers use")
    {
        noteDemand(wallet, "one", 1000, start);
        CHECK(wish(wallet, wallet.purses.at("one"), start) > 300);
    }
}
