#pragma once

#include "mimosahollow/dispatch/dispatchstate.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mimosahollow::dispatch {

/** Whether @p server may get another call: it has no limit, or this instance holds a permit: of the leader, or its own while none answers. */
[[nodiscard]] bool hasPermit(DispatchState &state, ServerView &server, TimePoint now);

/** Takes the permit of a call that is sent to @p server. */
void takePermit(ServerView &server, TimePoint now);

/** Counts a call of @p service that is sent. */
void recordSend(DispatchState &state, const std::string &service, TimePoint now);

/**
 * Calls of @p service per second that this instance may expect to send: as many as lately, and at least its even share of @p callsPerSecond, the
 * limits of the servers together.
 */
[[nodiscard]] double expectedSendRate(const DispatchState &state, const std::string &service, double callsPerSecond, TimePoint now);

/** Retry delay of a call that would wait for @p wait: refused callers return one after the other, @p sendRate of them per second. */
[[nodiscard]] Duration permitRetryDelay(ServiceLoad &load, double sendRate, Duration wait, TimePoint now);

/** Sets whether no leader answers the reports of this instance, so that it sends its even share of each limit. */
void setLeaderless(DispatchState &state, bool isLeaderless);

/** An answer of @p server names @p callsPerSecond as its limit, or none. Returns whether the limit has changed. */
bool limitStated(DispatchState &state, const std::string &server, std::optional<double> callsPerSecond, TimePoint now);

/** Takes over the limit that the leader knows, 0 if none, unless this instance has heard from the server itself just before. */
void applyLimit(ServerView &server, double callsPerSecond, TimePoint now);

void addPermits(DispatchState &state, const std::string &server, unsigned permits, TimePoint now);

/** Permits to request in the report with @p stamp: one for each call that would have gone to @p server, if no request is unanswered. */
[[nodiscard]] unsigned takePermitWishes(ServerView &server, std::uint64_t stamp, TimePoint now);

/** The leader has answered the reports up to @p stamp. */
void permitWishesAnswered(DispatchState &state, std::uint64_t stamp);

/** Removes permits held for too long; returns their number, which the leader can issue again. */
[[nodiscard]] unsigned takeExpiredPermits(ServerView &server, TimePoint now);

} // namespace mimosahollow::dispatch
