#pragma once

#include "mimosahollow/core/time.h"

#include <map>
#include <string>
#include <string_view>

namespace mimosahollow::allowance {

struct WalletOptions
{
    /** Held tokens can be used in the window after the one in which they were granted; the tolerance of 10% of a window of 8 s bounds them. */
    Duration reserve = milliseconds(400);
    Duration lifetime = seconds(2); /**< Unused tokens expire, so that those of a stopped instance are not spent much later. */
    Duration smoothing = seconds(1); /**< Averaging time of the demand. */
};

/** Granted tokens of one organisation at this entry instance. */
struct Purse
{
    double tokens = 0;
    TimePoint granted{};
    double demandPerSecond = 0; /**< Of all calls, also those that were refused. */
    TimePoint measured{};
    double missing = 0; /**< Tokens that waiting calls lack. */
};

struct TokenWallet
{
    WalletOptions options;
    std::map<std::string, Purse, std::less<>> purses;
};

/** Counts a call of @p organisation into its demand. Call once for each call. */
void noteDemand(TokenWallet &wallet, std::string_view organisation, double tokens, TimePoint now);

/** Takes @p tokens for a call. Returns false, and takes nothing, when too few are held. */
[[nodiscard]] bool spend(TokenWallet &wallet, std::string_view organisation, double tokens, TimePoint now);

/** Gives back tokens of a call that has not run. */
void giveBack(TokenWallet &wallet, std::string_view organisation, double tokens);

void deposit(TokenWallet &wallet, std::string_view organisation, double tokens, TimePoint now);

/** Tokens to ask the leader for. */
[[nodiscard]] double wish(const TokenWallet &wallet, const Purse &purse, TimePoint now);

} // namespace mimosahollow::allowance
