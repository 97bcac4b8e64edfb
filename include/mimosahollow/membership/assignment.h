#pragma once

#include "mimosahollow/membership/leaderstate.h"

#include <span>
#include <string_view>
#include <vector>

namespace mimosahollow::membership {

enum class AssignmentStep : std::uint8_t {
    Assign, /**< Commit the owner with the fencing number. */
    RequestRelease, /**< Ask the present owner for a graceful handover to the new one. */
};

struct PlannedAssignment
{
    AssignmentStep step = AssignmentStep::Assign;
    PoolId pool{};
    InstanceId owner{};
    FencingNumber fencing = 0; /**< For Assign: the new number. For AskForRelease: the present one. */
};

/** What the leader changes about pool ownership now. Rendezvous hashing with hysteresis. Call it at least every 500 ms. */
[[nodiscard]] std::vector<PlannedAssignment> planAssignments(LeaderState &state, std::span<const PoolAssignment> pools, TimePoint now);

/** Weight of @p instance for @p key in rendezvous hashing; the highest wins. */
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view instance) noexcept;

} // namespace mimosahollow::membership
