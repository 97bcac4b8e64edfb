#include "mimosahollow/voterplan/voterplan.h"

#include <algorithm>

namespace mimosahollow::voterplan {

namespace {

const MemberView *findById(std::span<const MemberView> members, control::VoterId id)
{
    const auto found = std::find_if(members.begin(), members.end(), [id](const MemberView &view) {
        return view.member.id == id;
    });
    return found == members.end() ? nullptr : &*found;
}

const MemberView *findByAddress(std::span<const MemberView> members, const std::string &address)
{
    const auto found = std::find_if(members.begin(), members.end(), [&address](const MemberView &view) {
        return view.member.address == address;
    });
    return found == members.end() ? nullptr : &*found;
}

/** The member that has been silent for longest, when that is too long. */
const MemberView *findLost(std::span<const MemberView> members, control::VoterId self, const VoterPlanOptions &options)
{
    const MemberView *lost = nullptr;
    for (const MemberView &view : members) {
        if (view.member.id != self && view.silence > options.replaceAfter && (lost == nullptr || view.silence > lost->silence)) {
            lost = &view;
        }
    }
    return lost;
}

const MemberView &newestOther(std::span<const MemberView> members, control::VoterId self)
{
    return members.back().member.id == self ? members[members.size() - 2] : members.back();
}

std::size_t largestOdd(std::size_t count)
{
    return count % 2 == 1 ? count : count - 1;
}

} // namespace

std::optional<VoterChange>
planChange(std::span<const MemberView> members, std::span<const ReachableCoordinator> reachable, control::VoterId self, const VoterPlanOptions &options)
{
    // One change at a time is finished before the next: a learner is on its way to a vote.
    const auto isLearner = [](const MemberView &view) {
        return view.member.learner;
    };
    const MemberView *lost = findLost(members, self, options);
    if (const auto learner = std::find_if(members.begin(), members.end(), isLearner); learner != members.end()) {
        if (learner->silence > options.replaceAfter) {
            return RemoveMember{learner->member.id};
        }
        return std::nullopt;
    }
    std::vector<const control::Member *> waiting;
    for (const ReachableCoordinator &coordinator : reachable) {
        if (findById(members, coordinator.identity.id) != nullptr) {
            continue;
        }
        // The earlier holder of the address has lost its disk: it can never confirm anything again.
        if (const MemberView *earlier = findByAddress(members, coordinator.identity.address); earlier != nullptr && earlier->member.id != self) {
            if (members.size() > 1) {
                return RemoveMember{earlier->member.id};
            }
            continue;
        }
        waiting.push_back(&coordinator.identity);
    }
    const std::size_t voters = members.size();
    const std::size_t wanted = largestOdd(voters + waiting.size());
    if (voters % 2 == 0 && voters > 2) {
        if (lost != nullptr) {
            return RemoveMember{lost->member.id};
        }
        if (wanted < voters) {
            return RemoveMember{newestOther(members, self).member.id}; // the silent voter has come back
        }
    }
    // The successor of a silent voter comes first. If the voter went first, the loss of another disk would leave too few copies of the log for ever,
    // though the silent voter still holds one.
    const bool isReplacement = lost != nullptr && voters > 1 && !waiting.empty();
    if (voters < wanted || isReplacement) {
        return AddMember{*waiting.front()};
    }
    return std::nullopt;
}

} // namespace mimosahollow::voterplan
