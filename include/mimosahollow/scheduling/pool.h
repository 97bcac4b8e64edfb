#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/declaration.h"
#include "mimosahollow/scheduling/grantreport.h"
#include "mimosahollow/scheduling/poolstate.h"
#include "mimosahollow/scheduling/poolsummary.h"
#include "mimosahollow/scheduling/release.h"
#include "mimosahollow/scheduling/request.h"
#include "mimosahollow/scheduling/serverevents.h"
#include "mimosahollow/scheduling/takeover.h"

#include <cstdint>

namespace mimosahollow::scheduling {

/** Result of a load or unload order. */
enum class OrderOutcome : std::uint8_t {
    Done,
    Refused, /**< The server did not carry it out. */
    StaleFencing, /**< The server knows a newer owner. */
    NotSent, /**< No byte reached the server. */
    Unknown, /**< It may still take effect. */
};

// Events of the pool owner. Each appends to the actions; the caller carries them out in order.

void announceServer(PoolState &state, const ServerAnnouncement &announcement, TimePoint now, Actions &actions);
void applyReport(PoolState &state, const ServerReport &report, TimePoint now, Actions &actions);

/** Queues a request. A waiting request with the same id is left as it is; a grant with the same id counts as returned. */
void submit(PoolState &state, const AcquireRequest &request, TimePoint now, Actions &actions);

/** Removes a waiting request without an answer. A granted one ends by release(). */
void cancel(PoolState &state, const RequestId &id, TimePoint now, Actions &actions);

/** Returns a grant. Unknown or older grants are ignored. */
void release(PoolState &state, const Release &release, TimePoint now, Actions &actions);

/** Result of Order::order. Numbers of forgotten orders are ignored. */
void orderFinished(PoolState &state, std::uint64_t order, OrderOutcome outcome, TimePoint now, Actions &actions);

void setDeclaration(PoolState &state, const PoolDeclaration &declaration, TimePoint now, Actions &actions);

/** Adds tokens of the fleet-wide load budget. PoolState::loadTokenDemand says how many the pool could use. */
void grantLoadTokens(PoolState &state, double tokens, TimePoint now, Actions &actions);

/** Deadlines, load timeouts, retries, expiry of unknown grants. To be called every 10 to 100 ms. */
void tick(PoolState &state, TimePoint now, Actions &actions);

/** Starts to decide for the pool without the state of the earlier owner. */
void takeOver(PoolState &state, const Takeover &takeover, TimePoint now);

/** An entry instance reports all grants it holds. For an instance that is provably gone, call it with no grants. */
void reconcileGrants(PoolState &state, const GrantReport &report, TimePoint now, Actions &actions);

/** Hands the state over. The former owner is left without servers and requests and grants nothing more. */
[[nodiscard]] PoolState exportState(PoolState &state);

/** Continues with the state of the former owner under a higher fencing number. */
void importState(PoolState &state, PoolState &&handedOver, FencingNumber fencing, TimePoint now, Actions &actions);

[[nodiscard]] PoolSummary summarise(const PoolState &state, TimePoint now);

} // namespace mimosahollow::scheduling
