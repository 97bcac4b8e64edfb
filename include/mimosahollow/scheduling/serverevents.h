#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** A declared backend server says that it is there. */
struct ServerAnnouncement
{
    ServerId server{};
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0; /**< Requests that it runs at one time when warm. */
    std::uint32_t adapterSlots = 0;
    std::uint32_t coldLimit = 1;
    bool checksFencing = false;
    bool leaving = false;
    std::vector<AdapterId> adapters; /**< Resident. */
};

/** Lagging load report of a backend server. */
struct ServerReport
{
    ServerId server{};
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<AdapterId> adapters;
};

} // namespace mimosahollow::scheduling
