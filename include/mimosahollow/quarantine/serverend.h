#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::quarantine {

/** The end of one incarnation of a backend server, as one entry instance saw it. */
struct ServerEnd
{
    std::string server;
    std::uint64_t born = 0; /**< Incarnation. */
    std::vector<std::string> parts; /**< Names and shared prompt parts of the requests that it may have just begun to answer. */

    friend bool operator==(const ServerEnd &, const ServerEnd &) = default;
};

} // namespace mimosahollow::quarantine
