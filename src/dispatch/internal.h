#pragma once

#include "mimosahollow/dispatch/dispatch.h"
#include "mimosahollow/staleload/serveroption.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mimosahollow::dispatch {

constexpr Duration shortRetry = milliseconds(250); // a few service times of a plain service
constexpr Duration adapterRetry = milliseconds(800); // three adapter loads from the weight store
constexpr Duration longRetry = milliseconds(1000); // no usable backend server, or limits that last for seconds

constexpr Duration lateLoadLimit = milliseconds(1000); // a copy reported missing this long after its expected time is removed

/** Copy that can serve a call, on a backend server. */
struct Candidate
{
    ServerView *server = nullptr;
    std::uint64_t version = 0; /**< That the server is told to use; 0: any, or not known. */
    TimePoint readyAt{};
    bool isOlder = false; /**< Older than required, and still allowed. */
};

/** Version of its adapter that a call needs. */
struct NeededVersion
{
    std::uint64_t required = 0; /**< Oldest version; 0: any. */
    std::uint64_t oldestAccepted = 0; /**< Copies from this version on are accepted where no other can take the call. */
};

// Which backend servers may get a call, and at what cost (candidates.cpp).

/** Why @p server may not receive @p call, regardless of its load, its adapters and its silence; empty if it may. */
[[nodiscard]] std::string_view whyUnusable(const DispatchState &state, const ServerView &server, const Call &call, TimePoint now);
/** Maximum number of concurrent calls sent to @p server. */
[[nodiscard]] unsigned capacity(const DispatchState &state, const ServerView &server, bool isEngine);
/** Whether this instance may send another call to a cold server within its share of the cold call rate. */
[[nodiscard]] bool acceptsColdCall(DispatchState &state, ServerView &server, const catalog::ServiceSpec &service, TimePoint now);
/** Finds the copy of the adapter or base model that @p call needs on @p server; nullopt if there is none of an accepted version. */
[[nodiscard]] std::optional<Candidate> findCopy(ServerView &server, const Call &call, const NeededVersion &needed);
[[nodiscard]] NeededVersion neededVersion(const DispatchState &state, const Call &call, TimePoint now);
/** Time that work takes on @p server, 1 for the median of its service. */
[[nodiscard]] double currentPace(const DispatchState &state, const ServerView &server, TimePoint now);
/** What became of the counts in the newest load digest, at the servers of @p service. */
[[nodiscard]] staleload::CountAge countAge(const DispatchState &state, const std::string &service, TimePoint now);
/** Cost of sending a call to @p server, in batches. Of the other calls there, those count that were counted and still run. */
[[nodiscard]] staleload::ServerOption cost(DispatchState &state, const ServerView &server, const staleload::CountAge &age, TimePoint now);
/** Calls that the other instances have sent to servers with @p slots slots since the newest load digest, all of which can take @p call. */
[[nodiscard]] double expectedArrivals(const DispatchState &state, const Call &call, unsigned slots, const staleload::CountAge &age, TimePoint now);

/** What the reviews of all servers for one call share. */
struct ReviewBasis
{
    const catalog::ServiceSpec *service = nullptr;
    NeededVersion version;
    staleload::CountAge age;
};
/** What a usable server that is not silent can do for a call. */
struct Review
{
    std::optional<RefusalCause> obstacle; /**< Why it cannot take the call now. */
    Candidate copy;
    staleload::ServerOption option; /**< Set if it can take the call, or could with a permit. */
};
[[nodiscard]] ReviewBasis reviewBasis(const DispatchState &state, const Call &call, const catalog::ServiceSpec &service, TimePoint now);
[[nodiscard]] Review review(DispatchState &state, ServerView &server, const Call &call, const ReviewBasis &basis, TimePoint now);

// How long a call waits that no backend server can take now (waiting.cpp).

/** Whether a call is refused since those before it use the permits for @p wait. */
[[nodiscard]] bool isTooLateForPermits(const DispatchState &state, const Call &call, QueuePosition position, Duration wait, TimePoint now);
/** Lets a call wait for the end of a silence after which it can still be served, and otherwise refuses it at once. */
[[nodiscard]] Decision waitForSilence(const DispatchState &state, const Call &call, TimePoint end, TimePoint now);
/** Lets a call without a usable backend server wait, or refuses it after its wait limit. */
[[nodiscard]] Decision waitOrRefuse(const DispatchState &state, const Call &call, RefusalCause cause, TimePoint readyAt, TimePoint now);

} // namespace mimosahollow::dispatch
