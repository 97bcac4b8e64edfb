#pragma once

#include "mimosahollow/control/voter.h"
#include "mimosahollow/storage/filesystem.h"

#include <string>
#include <variant>

namespace mimosahollow::coordinator {

/** Who this coordinator is in the replicated log. Lasts as long as its disk: with an empty disk it becomes another voter. */
struct VoterIdentity
{
    control::VoterId id{};
    control::Membership initialMembers; /**< Empty unless it founded the fleet. */
};

/** Reads the identity in @p folder; when there is none, stores @p newIdentity and returns it. An error message otherwise. */
[[nodiscard]] std::variant<VoterIdentity, std::string>
loadOrCreateIdentity(storage::FileSystem &files, const std::string &folder, const VoterIdentity &newIdentity);

} // namespace mimosahollow::coordinator
