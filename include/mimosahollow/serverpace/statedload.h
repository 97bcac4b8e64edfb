#pragma once

#include <optional>

namespace mimosahollow::serverpace {

/** What a backend server says of its load in an answer. */
struct StatedLoad
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0; /**< At least 1. */
    std::optional<double> pace; /**< Time that work takes there at the moment, 1 as usual. */
};

} // namespace mimosahollow::serverpace
