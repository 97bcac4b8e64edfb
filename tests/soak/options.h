#pragma once

#include <cstdint>
#include <string>

namespace mimosahollow::soak {

struct Options
{
    std::uint64_t seed = 1;
    double seconds = 30; /**< Of traffic, before the closing restart of all processes. */
    unsigned coordinators = 3;
    unsigned entries = 6;
    unsigned engines = 9;
    unsigned plainServers = 4;
    unsigned callers = 60; /**< Each keeps one connection and sends one call after the other. */
    std::string binary; /**< The program under test. */
    std::string folder; /**< Settings, disks and logs; kept if given. */
    std::string record; /**< File for a line of each call; empty: none. */
};

} // namespace mimosahollow::soak
