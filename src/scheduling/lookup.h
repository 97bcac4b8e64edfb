#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

// Access to the dense tables of a pool. Functions that return a reference grow the table when the id is new.

[[nodiscard]] std::uint32_t findServer(const PoolState &state, ServerId id) noexcept;
std::uint32_t addServer(PoolState &state, ServerId id);
AdapterState &adapterState(PoolState &state, AdapterId id);
OrganisationState &organisationState(PoolState &state, OrganisationId id);

/** True when the server may get new work (P8, P12). */
[[nodiscard]] inline bool isUsable(const PoolState &state, const ServerState &server) noexcept
{
    return server.announced && server.slowStart.warmLimit > 0 && server.isDeclared && server.serviceState == ServiceState::InService && !server.leaving
           && !server.silent && state.domainState == ServiceState::InService;
}

[[nodiscard]] inline std::uint32_t usedSlots(const ServerState &server) noexcept
{
    return server.grants + server.unknownGrants;
}

[[nodiscard]] inline bool hasFreeSlot(const ServerState &server, TimePoint now) noexcept
{
    return usedSlots(server) < server.slowStart.limit && server.grantsAllowedFrom <= now;
}

[[nodiscard]] inline double loadOf(const ServerState &server) noexcept
{
    return static_cast<double>(usedSlots(server)) / server.slowStart.limit;
}

/** Whether the organisation sends more than the pool can serve: its queue is long. */
[[nodiscard]] inline bool hasLongQueue(const PoolState &state, OrganisationId organisation) noexcept
{
    constexpr std::uint32_t longQueueLength = 8; // about the requests that one server runs at a time
    return number(organisation) < state.organisations.size() && state.organisations[number(organisation)].waiting >= longQueueLength;
}

/** Next pseudo-random number of the pool (splitmix64). */
[[nodiscard]] std::uint64_t nextRandom(PoolState &state) noexcept;

/** Raises the popularity of the adapter by one request. */
void recordDemand(PoolState &state, AdapterId adapter, TimePoint now);

/** The scaled value that a demand at @p now adds; divides AdapterState::popularity to get the present popularity. */
[[nodiscard]] double popularityUnit(const PoolState &state, TimePoint now) noexcept;

} // namespace mimosahollow::scheduling
