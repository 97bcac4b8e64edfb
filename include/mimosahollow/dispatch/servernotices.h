#pragma once

#include "mimosahollow/dispatch/dispatchstate.h"

#include <cstdint>
#include <string>

namespace mimosahollow::dispatch {

/**
 * An answer of the incarnation @p born of @p server says that it leaves: it gets no further call. Only a new incarnation of the server ends that.
 * Returns whether it was not known.
 */
bool leavingStated(DispatchState &state, const std::string &server, std::uint64_t born);

/** The incarnation @p born of @p server wants no calls for @p silence. Returns whether it ends later than one that the server asked for before. */
bool silenceRequested(DispatchState &state, const std::string &server, std::uint64_t born, Duration silence, TimePoint now);

} // namespace mimosahollow::dispatch
