#pragma once

#include "mimosahollow/control/voter.h"
#include "mimosahollow/core/time.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace mimosahollow::voterplan {

struct VoterPlanOptions
{
    /** A voter that is silent for so long gives its place to a coordinator that waits for one; above a restart of a process. */
    Duration replaceAfter = milliseconds(2500);
};

/** A coordinator that the leader can reach now. */
struct ReachableCoordinator
{
    control::Member identity;
};

/** A member of the replicated log as the leader sees it. */
struct MemberView
{
    control::Member member;
    Duration silence{}; /**< Since its last reply; 0 for the leader itself. */
};

struct AddMember
{
    control::Member member;
};

struct RemoveMember
{
    control::VoterId id{};
};

using VoterChange = std::variant<AddMember, RemoveMember>;

/**
 * Next single change of the membership, if one is due.
 *
 * Answers these patterns: a machine that comes back with an empty disk under its old address, a machine that left for good while
 * a successor waits, and more machines than voters. The number of voters is odd between changes: a fourth voter raises the majority without
 * bearing one more loss. While a silent voter is replaced there is one more.
 */
[[nodiscard]] std::optional<VoterChange>
planChange(std::span<const MemberView> members, std::span<const ReachableCoordinator> reachable, control::VoterId self, const VoterPlanOptions &options);

} // namespace mimosahollow::voterplan
