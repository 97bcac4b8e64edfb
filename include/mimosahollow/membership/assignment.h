#pragma once

#include "mimosahollow/membership/leaderstate.h"

#include <span>
#include <string_view>
#include <vector>

namespace mimosahollow::membership {

enum class AssignmentAction : std::uint8_t {
    Assign, /**< Commit a new owner with a new fencing number. */
    RequestRelease, /**< Ask the current owner to release the pool for a graceful handover. */
};

struct PlannedAssignment
{
    AssignmentAction action = AssignmentAction::Assign;
    PoolId pool{};
    InstanceId owner{};
    FencingNumber fencing = 0; /**< For Assign: the new number. For RequestRelease: the current one. */
};

/** Plans the ownership changes that are due, by rendezvous hashing with hysteresis. Call it at least every 500 ms. */
[[nodiscard]] std::vector<PlannedAssignment> planAssignments(LeaderState &state, std::span<const PoolAssignment> pools, TimePoint now);

/** Rendezvous hashing weight of @p instance for @p key; the instance with the highest weight is chosen. */
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view instance) noexcept;

} // namespace mimosahollow::membership
