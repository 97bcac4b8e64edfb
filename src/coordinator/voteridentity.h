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
    control::Membership firstMembers; /**< Empty unless it founded the fleet. */
};

/** Reads the identity in @p folder; when there is none, stores @p fresh and returns it. An error message otherwise. */
[[nodiscard]] std::variant<VoterIdentity, std::string> loadIdentity(storage::FileSystem &files, const std::string &folder, const VoterIdentity &fresh);

} // namespace mimosahollow::coordinator
