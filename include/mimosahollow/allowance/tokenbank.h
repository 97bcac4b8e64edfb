#pragma once

#include "mimosahollow/core/time.h"

#include <map>
#include <string>
#include <string_view>

namespace mimosahollow::catalog {
struct Catalog;
}

namespace mimosahollow::allowance {

/** Tokens that one organisation has not been granted yet. */
struct BankAccount
{
    double ratePerSecond = 0;
    double burst = 0;
    double tokens = 0;
    TimePoint updated{};
};

/** The leader's token buckets, one for each organisation with a rate. Grants of all entry instances come from them. */
struct TokenBank
{
    std::map<std::string, BankAccount, std::less<>> accounts;
};

/** Takes over the rates of @p catalog. A new account starts empty: an earlier leader may have granted its burst just now. */
void configure(TokenBank &bank, const catalog::Catalog &catalog, TimePoint now);

/** Grants up to @p wish tokens. Returns 0 for an organisation without an account. */
[[nodiscard]] double grant(TokenBank &bank, std::string_view organisation, double wish, TimePoint now);

} // namespace mimosahollow::allowance
