#pragma once

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/membership/leaderstate.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mimosahollow::coordination {

/** Start-up options of an instance. */
struct Options
{
    std::string name;
    std::string failureDomain;
    std::string linkAddress;
    std::uint64_t incarnation = 0; /**< Grows with each process start. */
    std::vector<std::string> voters; /**< Names; the voter id is the position, counted from 1. */
    membership::LeaseTimes times;
    std::uint64_t seed = 0;
    std::shared_ptr<const control::Configuration> initialBundle; /**< Applied by the first leader of an empty fleet; may be null. */
};

} // namespace mimosahollow::coordination
