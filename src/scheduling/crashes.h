#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/poolstate.h"
#include "mimosahollow/scheduling/release.h"

namespace mimosahollow::scheduling {

[[nodiscard]] bool isQuarantined(const PoolState &state, const AcquireRequest &request);
void refuseQuarantined(const AcquireRequest &request, Actions &actions);

/** Notes what the end of a grant says about the prompt of its request. */
void judgePrompt(PoolState &state, const RequestRecord &record, const Release &release, TimePoint now);

/** The process of @p server has ended; another one announces itself. */
void serverProcessEnded(PoolState &state, const ServerState &server, TimePoint now);

/** Quarantines the prompt parts at which servers end, refuses waiting requests with them, and releases those of long ago. */
void planQuarantine(PoolState &state, TimePoint now, Actions &actions);

} // namespace mimosahollow::scheduling
