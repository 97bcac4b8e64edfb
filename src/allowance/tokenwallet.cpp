#include "mimosahollow/allowance/tokenwallet.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosahollow::allowance {

namespace {

Purse &purseOf(TokenWallet &wallet, std::string_view organisation)
{
    const auto found = wallet.purses.find(organisation);
    return found != wallet.purses.end() ? found->second : wallet.purses.emplace(organisation, Purse{}).first->second;
}

double decayed(const TokenWallet &wallet, const Purse &purse, TimePoint now)
{
    const double age = std::max(0.0, toSeconds(now - purse.measured));
    return purse.demandPerSecond * std::exp(-age / toSeconds(wallet.options.smoothing));
}

void expire(const TokenWallet &wallet, Purse &purse, TimePoint now)
{
    if (now - purse.granted > wallet.options.lifetime) {
        purse.expired += purse.tokens;
        purse.tokens = 0;
    }
}

} // namespace

double takeExpired(const TokenWallet &wallet, Purse &purse, TimePoint now)
{
    expire(wallet, purse, now);
    return std::exchange(purse.expired, 0);
}

void noteDemand(TokenWallet &wallet, std::string_view organisation, double tokens, TimePoint now)
{
    Purse &purse = purseOf(wallet, organisation);
    purse.demandPerSecond = decayed(wallet, purse, now) + tokens / toSeconds(wallet.options.smoothing);
    purse.measured = now;
}

bool spend(TokenWallet &wallet, std::string_view organisation, double tokens, TimePoint now)
{
    Purse &purse = purseOf(wallet, organisation);
    expire(wallet, purse, now);
    if (purse.tokens < tokens) {
        return false;
    }
    purse.tokens -= tokens;
    while (!purse.spent.empty() && now - purse.spent.front().begin > wallet.options.history) {
        purse.spent.pop_front();
    }
    if (purse.spent.empty() || now - purse.spent.back().begin >= wallet.options.historyStep) {
        purse.spent.push_back({now, 0});
    }
    purse.spent.back().tokens += tokens;
    return true;
}

void giveBack(TokenWallet &wallet, std::string_view organisation, double tokens)
{
    purseOf(wallet, organisation).tokens += tokens;
}

void deposit(TokenWallet &wallet, std::string_view organisation, double tokens, TimePoint now)
{
    Purse &purse = purseOf(wallet, organisation);
    expire(wallet, purse, now);
    purse.tokens += tokens;
    purse.granted = now;
}

std::vector<Spending> history(const TokenWallet &wallet, const Purse &purse, TimePoint now)
{
    std::vector<Spending> past;
    for (const Spending &spending : purse.spent) {
        if (now - spending.begin <= wallet.options.history) {
            past.push_back(spending);
        }
    }
    if (purse.tokens > 0 && now - purse.granted <= wallet.options.lifetime) {
        past.push_back({now, purse.tokens});
    }
    return past;
}

double wish(const TokenWallet &wallet, const Purse &purse, TimePoint now)
{
    const bool isExpired = now - purse.granted > wallet.options.lifetime;
    const double held = isExpired ? 0 : purse.tokens;
    const double reserve = decayed(wallet, purse, now) * toSeconds(wallet.options.reserve);
    return std::max(0.0, reserve + purse.missing - held);
}

} // namespace mimosahollow::allowance
