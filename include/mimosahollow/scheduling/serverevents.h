#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <vector>

namespace mimosahollow::scheduling {

/** Announcement of a backend server: its process, capacity and resident adapters. */
struct ServerAnnouncement
{
    ServerId server{};
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0; /**< Concurrent requests when warm. */
    std::uint32_t adapterSlots = 0;
    std::uint32_t coldLimit = 1; /**< Concurrent requests when cold. */
    bool checksFencing = false; /**< The server rejects orders with an old fencing number. */
    bool leaving = false;
    std::vector<AdapterId> adapters; /**< Resident. */
};

/** Load report of a backend server; may lag by SchedulingSettings::reportLag. */
struct ServerReport
{
    ServerId server{};
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<AdapterId> adapters; /**< Resident. */
};

} // namespace mimosahollow::scheduling
