#pragma once

#include "mimosahollow/core/ids.h"

#include <string>

namespace mimosahollow::control {

/** A failure domain and its part of every organisation's rate and burst. */
struct FailureDomain
{
    DomainId id{};
    std::string name;
    double share = 0; /**< Part of rates, bursts and budgets; the sum over all failure domains is at most 1. */
    bool outOfService = false; /**< Taken out of service by an operator. */

    friend bool operator==(const FailureDomain &, const FailureDomain &) = default;
};

} // namespace mimosahollow::control
