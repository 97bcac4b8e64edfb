#include "mimosahollow/allowance/tokenbank.h"

#include "mimosahollow/catalog/catalog.h"

#include <algorithm>

namespace mimosahollow::allowance {

namespace {

void refill(BankAccount &account, TimePoint now)
{
    const double seconds = std::max(0.0, toSeconds(now - account.updated));
    account.tokens = std::min(account.burst, account.tokens + seconds * account.ratePerSecond);
    account.updated = now;
}

} // namespace

void configure(TokenBank &bank, const catalog::Catalog &catalog, TimePoint now)
{
    std::map<std::string, BankAccount, std::less<>> accounts;
    for (const catalog::OrganisationSpec &organisation : catalog.organisations) {
        if (organisation.ratePerSecond <= 0) {
            continue;
        }
        BankAccount account{0, 0, 0, now};
        if (const auto known = bank.accounts.find(organisation.name); known != bank.accounts.end()) {
            account = known->second;
            refill(account, now);
        }
        account.ratePerSecond = organisation.ratePerSecond;
        account.burst = organisation.burst;
        account.tokens = std::min(account.tokens, account.burst);
        accounts.emplace(organisation.name, account);
    }
    bank.accounts = std::move(accounts);
}

double grant(TokenBank &bank, std::string_view organisation, double wish, TimePoint now)
{
    const auto found = bank.accounts.find(organisation);
    if (found == bank.accounts.end()) {
        return 0;
    }
    BankAccount &account = found->second;
    refill(account, now);
    const double granted = std::clamp(wish, 0.0, account.tokens);
    account.tokens -= granted;
    return granted;
}

} // namespace mimosahollow::allowance
