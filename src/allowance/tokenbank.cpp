#include "mimosahollow/allowance/tokenbank.h"

#include "mimosahollow/catalog/catalog.h"

#include <algorithm>

namespace mimosahollow::allowance {

namespace {

double limit(const TokenBank &bank, const BankAccount &account)
{
    return account.ratePerSecond * toSeconds(bank.options.window) + account.burst;
}

void forgetOld(const TokenBank &bank, BankAccount &account, TimePoint now)
{
    while (!account.grants.empty() && now - account.grants.front().begin >= bank.options.window + bank.options.step) {
        account.granted -= account.grants.front().tokens;
        account.grants.pop_front();
    }
    if (account.grants.empty()) {
        account.granted = 0; // no rounding errors are carried on
    }
}

} // namespace

void configure(TokenBank &bank, const catalog::Catalog &catalog)
{
    std::map<std::string, BankAccount, std::less<>> accounts;
    for (const catalog::OrganisationSpec &organisation : catalog.organisations) {
        if (organisation.ratePerSecond <= 0) {
            continue;
        }
        BankAccount account;
        const auto known = bank.accounts.find(organisation.name);
        if (known != bank.accounts.end()) {
            account = std::move(known->second);
        }
        account.ratePerSecond = organisation.ratePerSecond;
        account.burst = organisation.burst;
        accounts.emplace(organisation.name, std::move(account));
    }
    bank.accounts = std::move(accounts);
}

void takeBack(TokenBank &bank, std::string_view organisation, double tokens)
{
    const auto found = bank.accounts.find(organisation);
    if (found == bank.accounts.end()) {
        return;
    }
    BankAccount &account = found->second;
    // From the newest grants: what was granted earlier may leave the window before this return is counted.
    for (auto sum = account.grants.rbegin(); sum != account.grants.rend() && tokens > 0; ++sum) {
        const double part = std::min(tokens, sum->tokens);
        sum->tokens -= part;
        account.granted -= part;
        tokens -= part;
    }
}

void notePast(TokenBank &bank, std::string_view organisation, double tokens, Duration age, TimePoint now)
{
    const auto found = bank.accounts.find(organisation);
    if (found == bank.accounts.end() || age >= bank.options.window) {
        return;
    }
    BankAccount &account = found->second;
    const auto isLater = [begin = now - age](const GrantSum &sum) {
        return sum.begin > begin;
    };
    const auto place = std::find_if(account.grants.begin(), account.grants.end(), isLater);
    account.grants.insert(place, {now - age, tokens});
    account.granted += tokens;
}

double grant(TokenBank &bank, std::string_view organisation, double wish, TimePoint now)
{
    const auto found = bank.accounts.find(organisation);
    if (found == bank.accounts.end() || now < bank.opensAt) {
        return 0;
    }
    BankAccount &account = found->second;
    forgetOld(bank, account, now);
    const double granted = std::clamp(wish, 0.0, std::max(0.0, limit(bank, account) - account.granted));
    if (granted <= 0) {
        return 0;
    }
    if (account.grants.empty() || now - account.grants.back().begin >= bank.options.step) {
        account.grants.push_back({now, 0});
    }
    account.grants.back().tokens += granted;
    account.granted += granted;
    return granted;
}

} // namespace mimosahollow::allowance
