#pragma once

#include "mimosahollow/scheduling/poolstate.h"

#include <functional>
#include <vector>

namespace mimosahollow::scheduling {

// Waiting requests: one list per adapter. The organisation with the lowest virtual time (servedTokens) goes first.

/** Adjusts the virtual times of an idle organisation before its next request, so that idle time earns no credit. */
void activate(PoolState &state, OrganisationState &organisation) noexcept;

/** Takes a free record for the request and adds it to the index. */
[[nodiscard]] std::uint32_t newRecord(PoolState &state, const AcquireRequest &request, TimePoint now);
void freeRecord(PoolState &state, std::uint32_t record) noexcept;

void enqueue(PoolState &state, std::uint32_t record);
void dequeue(PoolState &state, std::uint32_t record) noexcept;

/** Record of the waiting request that the server should run next, or noIndex. */
[[nodiscard]] std::uint32_t nextForServer(const PoolState &state, const ServerState &server) noexcept;

/**
 * Goes through the waiting requests in the order in which they would start if any server could run each. @p starts decides for each of them; the
 * tokens of those that start count for the order of the following ones. Returns the records of the others, in that order.
 */
[[nodiscard]] std::vector<std::uint32_t> simulateStarts(const PoolState &state, const std::function<bool(const AcquireRequest &)> &starts);

/** Estimated lower bound of the run time, from fast requests relative to their maximum output. */
[[nodiscard]] Duration minimumRunTime(const PoolState &state, const AcquireRequest &request) noexcept;

/** Tokens charged to the organisation from the grant to the release. */
[[nodiscard]] double estimatedTokens(const AcquireRequest &request) noexcept;

} // namespace mimosahollow::scheduling
