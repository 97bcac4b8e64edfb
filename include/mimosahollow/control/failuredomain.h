#pragma once

#include "mimosahollow/core/ids.h"

#include <string>

namespace mimosahollow::control {

/** A failure domain and its share of every organisation's rate limit. */
struct FailureDomain
{
    DomainId id{};
    std::string name;
    double share = 0; /**< Fraction of rates, bursts and budgets; the shares of all failure domains add up to at most 1. */
    bool outOfService = false; /**< Set by the bundle or by an operator. */

    friend bool operator==(const FailureDomain &, const FailureDomain &) = default;
};

} // namespace mimosahollow::control
