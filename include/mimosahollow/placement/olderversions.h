#pragma once

#include "mimosahollow/core/time.h"

#include <cstdint>

namespace mimosahollow::placement {

/**
 * For which calls may begin on copies of an older version after an instance has learned of a new one. The platform allows 5 s from the
 * acknowledgement; the rest is for the delay before the instance learns of it, and for the call's way.
 */
constexpr Duration olderVersionTime = seconds(3);

/** Versions of an adapter that calls may use although a newer one is required. */
struct OlderVersions
{
    std::uint64_t oldest = 0; /**< Versions that are older still had been replaced before. */
    TimePoint until{};
};

} // namespace mimosahollow::placement
