#pragma once

#include "mimosahollow/dispatch/dispatchstate.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mimosahollow::dispatch {

/**
 * An answer of the incarnation @p born of @p server says that it leaves: it gets no further call. Only a new incarnation of the server ends that.
 * Returns whether it was not known.
 */
bool leavingStated(DispatchState &state, const std::string &server, std::uint64_t born);

/** The incarnation @p born of @p server wants no calls for @p silence. Returns whether it ends later than one that the server asked for before. */
bool silenceRequested(DispatchState &state, const std::string &server, std::uint64_t born, Duration silence, TimePoint now);

enum class LoadNotice : std::uint8_t {
    Applied,
    Ignored, /**< Missing or malformed; changes nothing. */
    IgnoredFirst, /**< The same, for the first time since this incarnation is known. */
};

/** An answer of the incarnation @p born of @p server states its load; nothing if the statement is malformed. */
LoadNotice loadStated(DispatchState &state, const std::string &server, std::uint64_t born, const std::optional<serverpace::StatedLoad> &load, TimePoint now);

/** An answer of the incarnation @p born of @p server states no load, although an earlier one did. */
LoadNotice loadNotStated(DispatchState &state, const std::string &server, std::uint64_t born);

/** A call was sent to @p server at @p sentAt. Must be followed by one answerEnded() with the same time. */
void answerAwaited(DispatchState &state, const std::string &server, TimePoint sentAt);

/** The first event or the answer of the call has arrived, if @p isSound, or its attempt has ended without. */
void answerEnded(DispatchState &state, const std::string &server, TimePoint sentAt, bool isSound, TimePoint now);

} // namespace mimosahollow::dispatch
