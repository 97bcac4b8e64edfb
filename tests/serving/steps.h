#pragma once

#include "fleet.h"

#include <catch2/catch.hpp>

namespace mimosahollow::serving {

/** Fills all places of a plain service: its servers bear 4 calls each when cold. */
inline std::vector<RequestId> fillRegistry(Fleet &fleet)
{
    std::vector<RequestId> ids;
    for (int i = 0; i < 8; ++i) {
        ids.push_back(fleet.callPlainService(i % 2 == 0 ? 0 : 2, "/open/x", std::nullopt));
        fleet.advance(milliseconds(300)); // the next summary tells which pool is full
    }
    return ids;
}

inline void requireNoViolations(Fleet &fleet)
{
    fleet.checkEnd();
    for (const std::string &violation : fleet.violations) {
        UNSCOPED_INFO(violation);
    }
    REQUIRE(fleet.violations.empty());
}

} // namespace mimosahollow::serving
