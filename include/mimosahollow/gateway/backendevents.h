#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::gateway {

/** A backend server says that it is there. Repeated about once a second. */
struct BackendAnnouncement
{
    std::string name;
    std::string address; /**< "IP:port". */
    std::string failureDomain;
    std::string kind; /**< Base model or plain service. */
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0; /**< Calls that it can run at one time when warm. */
    std::uint32_t adapterSlots = 0;
    std::uint32_t coldLimit = 1; /**< Calls that it bears when freshly started. */
    bool checksFencing = false;
    bool leaving = false;
    std::vector<std::string> adapters; /**< Resident adapters, "name@version". */
};

/** Lagging load report of a backend server. */
struct BackendReport
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<std::string> adapters;
};

/** An answer of a backend server names a limit, or none any more. */
struct BackendLimit
{
    RequestId id; /**< Of the call that is answered. */
    std::uint64_t grant = 0;
    double callsPerSecond = 0; /**< From all instances together; 0: none. */
};

} // namespace mimosahollow::gateway
