#pragma once

#include "mimosahollow/dispatch/call.h"
#include "mimosahollow/dispatch/dispatchstate.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mimosahollow::dispatch {

/** The call is to be sent to this backend server now. */
struct Send
{
    std::string server;
    std::string address;
    std::uint64_t adapterVersion = 0; /**< 0: any version. */
    std::uint64_t born = 0; /**< Start of its incarnation. */
};

/** No backend server can take the call now. Decide again at @c until or when the state has changed, whichever is first. */
struct Wait
{
    RefusalCause cause{};
    TimePoint until{};
};

/** The call cannot be served in time. */
struct Refuse
{
    RefusalCause cause{};
    Duration retryAfter{}; /**< After which a new call may succeed. */
};

using Decision = std::variant<Send, Wait, Refuse>;

/** Place of a call among the calls of its service that wait for permits. */
struct QueuePosition
{
    unsigned ahead = 0; /**< More urgent calls. */
    bool isWaiting = false; /**< An earlier decision let the call wait. */
};

/** Chooses the backend server with the lowest cost for @p call. Counts no call; use callStarted(). */
[[nodiscard]] Decision decide(DispatchState &state, const Call &call, TimePoint now, QueuePosition position = {});

/** Whether @p call may not be sent to any backend server since it, or its prompt, ends those that run it. */
[[nodiscard]] bool isQuarantined(const DispatchState &state, const Call &call);

/** The refusal of such calls. */
[[nodiscard]] Refuse quarantineRefusal();

/** Counts a call sent to @p server. Each call must be followed by one callEnded(). */
void callStarted(DispatchState &state, const std::string &server, TimePoint now);

enum class CallResult : std::uint8_t {
    Answered,
    Failed, /**< The backend server accepted the call and failed. */
    NotRun, /**< The backend server refused the call. */
    Unreachable, /**< No connection could be opened. */
    Abandoned, /**< The caller disconnected. */
};

void callEnded(DispatchState &state, const std::string &server, CallResult result, TimePoint now);

/** Counts the start of @p call towards the demand for its adapter. */
void recordAdapterSend(DispatchState &state, const Call &call, TimePoint now);

/** A call took @p taken at @p server, which ran it or may have. */
void recordCallTime(DispatchState &state, const std::string &server, Duration taken);

/** Applies the record of a backend server. Returns false, without effect, if the known record is as new or newer. */
bool updateServer(DispatchState &state, const registry::ServerRecord &record, TimePoint now);

/** Takes over the calls of other instances, and the limits and paces of backend servers. */
void applyLoad(DispatchState &state, const fleetlink::LoadDigest &digest, TimePoint now);

/** Applies the placement that the leader has sent; updates of an earlier term and of other incarnations are ignored. */
void applyPlacement(DispatchState &state, const fleetlink::PlacementUpdate &update, TimePoint now);

/** Handles the reply of @p server that it does not have the model or adapter of @p call, or that it is another instance. */
void handleMissingModel(DispatchState &state, const std::string &server, const Call &call, TimePoint now);

} // namespace mimosahollow::dispatch
