#pragma once

#include "mimosahollow/dispatch/call.h"
#include "mimosahollow/dispatch/dispatchstate.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mimosahollow::dispatch {

/** Send the call to this backend server now. */
struct Send
{
    std::string server;
    std::string address;
    std::uint64_t adapterVersion = 0; /**< 0: any. */
};

/** Nothing can take the call now; ask again at @c until at the latest, or when something has changed. */
struct Wait
{
    RefusalCause cause{};
    TimePoint until{};
};

/** The call cannot be served in time. */
struct Refuse
{
    RefusalCause cause{};
    Duration retryAfter{};
};

using Decision = std::variant<Send, Wait, Refuse>;

/** Chooses a backend server for @p call. */
[[nodiscard]] Decision decide(DispatchState &state, const Call &call, TimePoint now);

/** A call is sent to @p server; call callEnded() when it is over. */
void callStarted(DispatchState &state, const std::string &server, TimePoint now);

enum class CallResult : std::uint8_t {
    Answered,
    Failed, /**< The backend server failed the call. */
    NotRun, /**< It refused the call. */
    Unreachable, /**< No connection could be opened. */
    Abandoned, /**< The caller left. */
};

void callEnded(DispatchState &state, const std::string &server, CallResult result, TimePoint now);

/** Takes over a record of a backend server. Returns whether it is newer than the known one. */
bool updateServer(DispatchState &state, const registry::ServerRecord &record, TimePoint now);
void applyPlacement(DispatchState &state, const fleetlink::PlacementUpdate &update, TimePoint now);
/** @p server says that it does not hold what @p call needs, or that it is another instance. */
void handleMissingModel(DispatchState &state, const std::string &server, const Call &call, TimePoint now);

} // namespace mimosahollow::dispatch
