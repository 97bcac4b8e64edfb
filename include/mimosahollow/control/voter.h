#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::control {

/** Identifies a voter. Set in its settings file and never reused for another machine; 0 means "none". */
enum class VoterId : std::uint32_t {};

/** One member of the consensus group. */
struct Member
{
    VoterId id{};
    std::string address; /**< "IP:port" of its link listener. */
    bool learner = false; /**< Receives the log but does not vote yet. */

    friend bool operator==(const Member &, const Member &) = default;
};

/** All members, in the order in which they joined. */
using Membership = std::vector<Member>;

} // namespace mimosahollow::control
