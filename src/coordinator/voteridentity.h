#pragma once

#include "mimosahollow/control/voter.h"
#include "mimosahollow/storage/filesystem.h"

#include <string>
#include <variant>

namespace mimosahollow::coordinator {

/** Identity of a coordinator in the replicated log. Bound to its disk: with an empty disk it joins as a new voter. */
struct VoterIdentity
{
    control::VoterId id{};
    control::Membership initialMembers; /**< Empty unless this coordinator is an initial voter of the fleet. */
};

/** Reads the identity in @p folder; if there is none, stores and returns @p newIdentity. Returns an error message on failure. */
[[nodiscard]] std::variant<VoterIdentity, std::string>
loadOrCreateIdentity(storage::FileSystem &files, const std::string &folder, const VoterIdentity &newIdentity);

} // namespace mimosahollow::coordinator
