#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

// Access to the tables of a pool, which are indexed by id. Functions that return a reference grow the table for new ids.

[[nodiscard]] std::uint32_t findServer(const PoolState &state, ServerId id) noexcept;
std::uint32_t addServer(PoolState &state, ServerId id);
AdapterState &adapterState(PoolState &state, AdapterId id);
OrganisationState &organisationState(PoolState &state, OrganisationId id);

/** True when the server may get new work: announced, not silent, and in service like its failure domain (P8, P12). */
[[nodiscard]] inline bool isUsable(const PoolState &state, const ServerState &server) noexcept
{
    return server.announced && server.slowStart.warmLimit > 0 && server.isDeclared && server.serviceState == ServiceState::InService && !server.leaving
           && !server.silent && state.domainState == ServiceState::InService;
}

[[nodiscard]] inline std::uint32_t usedSlots(const ServerState &server) noexcept
{
    return server.grants + server.unknownGrants;
}

/** Whether the server may get another request now: a slot is free, and the limit that it has named allows one. */
[[nodiscard]] inline bool hasFreeSlot(const ServerState &server, TimePoint now) noexcept
{
    return usedSlots(server) < server.slowStart.limit && server.grantsAllowedFrom <= now && callpermits::hasPermit(server.permits, now);
}

[[nodiscard]] inline double loadOf(const ServerState &server) noexcept
{
    return static_cast<double>(usedSlots(server)) / server.slowStart.limit;
}

/** Whether the queue of the organisation is long, that is, it sends more than the pool can serve. */
[[nodiscard]] inline bool hasLongQueue(const PoolState &state, OrganisationId organisation) noexcept
{
    constexpr std::uint32_t longQueueLength = 8; // about the number of requests that one server runs concurrently
    return number(organisation) < state.organisations.size() && state.organisations[number(organisation)].waiting >= longQueueLength;
}

/** Next pseudo-random number of the pool (splitmix64). */
[[nodiscard]] std::uint64_t nextRandom(PoolState &state) noexcept;

/** Adds one request to the popularity of the adapter. */
void recordDemand(PoolState &state, AdapterId adapter, TimePoint now);

/** Scaled value of one request at @p now. AdapterState::popularity divided by it is the decayed popularity. */
[[nodiscard]] double popularityUnit(const PoolState &state, TimePoint now) noexcept;

} // namespace mimosahollow::scheduling
