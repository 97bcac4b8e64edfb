#pragma once

#include "mimosahollow/scheduling/poolstate.h"

namespace mimosahollow::scheduling {

// Waiting requests: one list for each adapter, fair between organisations by their virtual counters.

/** Before a request of the organisation is queued or granted: idle time earns no credit. */
void activate(PoolState &state, OrganisationState &organisation) noexcept;

/** Takes a free record and enters it into the index. */
[[nodiscard]] std::uint32_t newRecord(PoolState &state, const AcquireRequest &request, TimePoint now);
void freeRecord(PoolState &state, std::uint32_t record) noexcept;

void enqueue(PoolState &state, std::uint32_t record);
void dequeue(PoolState &state, std::uint32_t record) noexcept;

/** The waiting request that the server should run next, or noIndex. */
[[nodiscard]] std::uint32_t nextForServer(const PoolState &state, const ServerState &server) noexcept;

/** The time that the request needs to run at least, if it produces as much of its maximum output as the shortest ones. */
[[nodiscard]] Duration minimumRunTime(const PoolState &state, const AcquireRequest &request) noexcept;

/** Tokens that a grant of the request is charged with until its release. */
[[nodiscard]] double estimatedTokens(const AcquireRequest &request) noexcept;

} // namespace mimosahollow::scheduling
