#pragma once

#include "fleet.h"

#include <catch2/catch.hpp>

namespace mimosahollow::serving {

/** Fills all slots of the plain service: each of its two servers takes 4 calls while cold. */
inline std::vector<RequestId> fillRegistry(Fleet &fleet)
{
    std::vector<RequestId> ids;
    for (int i = 0; i < 8; ++i) {
        ids.push_back(fleet.callPlainService(i % 2 == 0 ? 0 : 2, "/open/x", std::nullopt));
        fleet.advance(milliseconds(300)); // until the next summaries show which pool is full
    }
    return ids;
}

/** Requires that the simulation saw no violation. All calls must have ended. */
inline void requireNoViolations(Fleet &fleet)
{
    fleet.checkEnd();
    for (const std::string &violation : fleet.violations) {
        UNSCOPED_INFO(violation);
    }
    REQUIRE(fleet.violations.empty());
}

} // namespace mimosahollow::serving
