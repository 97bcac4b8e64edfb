#include "mimosahollow/voterplan/voterplan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mimosahollow;
using namespace mimosahollow::voterplan;

namespace {

control::Member member(std::uint32_t id, std::string address, bool learner = false)
{
    return {static_cast<control::VoterId>(id), std::move(address), learner};
}

constexpr control::VoterId self{1};

std::uint32_t removedId(const std::optional<VoterChange> &change)
{
    const auto *remove = change ? std::get_if<RemoveMember>(&*change) : nullptr;
    return remove == nullptr ? 0 : static_cast<std::uint32_t>(remove->id);
}

std::uint32_t addedId(const std::optional<VoterChange> &change)
{
    const auto *add = change ? std::get_if<AddMember>(&*change) : nullptr;
    return add == nullptr ? 0 : static_cast<std::uint32_t>(add->member.id);
}

} // namespace

// Guards against a fleet that a second loss stops, because the place of the first one was not filled.
TEST_CASE("The membership follows the machines")
{
    const VoterPlanOptions options;
    std::vector<MemberView> members{{member(1, "a:1"), {}}, {member(2, "b:1"), {}}, {member(3, "c:1"), {}}};
    std::vector<ReachableCoordinator> reachable{{member(2, "b:1")}, {member(3, "c:1")}};

    SECTION("nothing changes while all is well")
    {
        CHECK_FALSE(planChange(members, reachable, self, options));
    }
    SECTION("a machine that lost its disk comes back as another voter: the earlier one goes first")
    {
        reachable[1] = {member(9, "c:1")};
        members[2].silence = seconds(1);
        CHECK(removedId(planChange(members, reachable, self, options)) == 3);
        members.pop_back();
        CHECK(addedId(planChange(members, reachable, self, options)) == 9);
    }
    SECTION("a fourth coordinator waits for a place")
    {
        reachable.push_back({member(4, "d:1")});
        CHECK_FALSE(planChange(members, reachable, self, options));
        members[1].silence = options.replaceAfter + milliseconds(1);
        reachable.erase(reachable.begin()); // a machine that is gone has no link
        CHECK(addedId(planChange(members, reachable, self, options)) == 4);
        members.push_back({member(4, "d:1", true), {}});
        CHECK_FALSE(planChange(members, reachable, self, options)); // the successor gets its vote first
        members.back().member.learner = false;
        CHECK(removedId(planChange(members, reachable, self, options)) == 2);
        members.erase(members.begin() + 1);
        CHECK_FALSE(planChange(members, reachable, self, options));
    }
    SECTION("a silent voter comes back while its successor is added: the successor waits again")
    {
        members.push_back({member(4, "d:1"), {}});
        reachable.push_back({member(4, "d:1")});
        CHECK(removedId(planChange(members, reachable, self, options)) == 4);
        CHECK(removedId(planChange(members, reachable, control::VoterId{4}, options)) == 3);
        members.pop_back();
        CHECK_FALSE(planChange(members, reachable, self, options));
    }
    SECTION("a silent voter stays when nobody can take its place")
    {
        members[1].silence = seconds(60);
        CHECK_FALSE(planChange(members, reachable, self, options));
    }
    SECTION("five coordinators make five voters, one change at a time")
    {
        reachable.push_back({member(4, "d:1")});
        reachable.push_back({member(5, "e:1")});
        CHECK(addedId(planChange(members, reachable, self, options)) == 4);
        members.push_back({member(4, "d:1", true), {}});
        CHECK_FALSE(planChange(members, reachable, self, options));
        members.back().member.learner = false;
        CHECK(addedId(planChange(members, reachable, self, options)) == 5);
    }
    SECTION("a learner that falls silent gives its place back")
    {
        members.push_back({member(4, "d:1", true), options.replaceAfter + milliseconds(1)});
        CHECK(removedId(planChange(members, reachable, self, options)) == 4);
    }
}

// Guards against a log that ends for good: a voter was removed while it was silent, and another one lost its disk before the successor had joined.
TEST_CASE("A voter that is silent and another one that loses its disk leave a majority of the members, at any moment of the replacement")
{
    const VoterPlanOptions options;
    std::vector<MemberView> members{{member(1, "a:1"), {}}, {member(2, "b:1"), options.replaceAfter * 2}, {member(3, "c:1"), {}}};
    const std::vector<ReachableCoordinator> reachable{{member(3, "c:1")}, {member(4, "d:1")}};
    for (unsigned step = 0; step < 6; ++step) {
        INFO("step " << step);
        const auto voters = std::count_if(members.begin(), members.end(), [](const MemberView &view) {
            return !view.member.learner;
        });
        CHECK(voters - 1 > voters / 2); // all but the one without its disk
        const auto change = planChange(members, reachable, self, options);
        if (const std::uint32_t added = addedId(change); added != 0) {
            members.push_back({member(added, "d:1", true), {}});
        } else if (const std::uint32_t removed = removedId(change); removed != 0) {
            std::erase_if(members, [removed](const MemberView &view) {
                return view.member.id == static_cast<control::VoterId>(removed);
            });
        } else {
            members.back().member.learner = false; // the learner has caught up
        }
    }
    CHECK(members.size() == 3);
    CHECK(members.back().member.id == control::VoterId{4});
}
