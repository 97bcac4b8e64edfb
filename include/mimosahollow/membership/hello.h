#pragma once

#include "mimosahollow/membership/instancerecord.h"

#include <cstdint>
#include <string>

namespace mimosahollow::membership {

/** First message in each direction of a connection. */
struct Hello
{
    std::string fleet;
    InstanceRecord instance;
    std::uint16_t minimumVersion = 0; /**< Oldest protocol version that the sender supports. */
    std::uint16_t maximumVersion = 0;

    friend bool operator==(const Hello &, const Hello &) = default;
};

} // namespace mimosahollow::membership
