#pragma once

#include "mimosahollow/dispatch/dispatchstate.h"

#include <cstdint>
#include <map>
#include <string>

namespace mimosahollow::dispatch {

/**
 * Sets the oldest version of each adapter, by "model/adapter", that calls may use. Where it has risen, calls may begin on an older copy for
 * some more seconds if @p isRecent: the instance is certain that the change was acknowledged only just before.
 */
void setRequiredVersions(DispatchState &state, std::map<std::string, std::uint64_t> versions, bool isRecent, TimePoint now);

} // namespace mimosahollow::dispatch
