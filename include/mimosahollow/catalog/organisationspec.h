#pragma once

#include <string>
#include <vector>

namespace mimosahollow::catalog {

/** An organisation, its keys and its rate. */
struct OrganisationSpec
{
    std::string name;
    std::vector<std::string> keys;
    int priority = -1; /**< Goes before the priority of the route; -1: not set. */
    bool countsTokens = false; /**< Rate and burst are in tokens, not in calls. */
    double plainTokens = 1; /**< Charge of a call that names no token counts. */
    double ratePerSecond = 0; /**< 0: no limit. */
    double burst = 0;
};

} // namespace mimosahollow::catalog
