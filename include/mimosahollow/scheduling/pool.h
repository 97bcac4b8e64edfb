#pragma once

#include "mimosahollow/scheduling/actions.h"
#include "mimosahollow/scheduling/declaration.h"
#include "mimosahollow/scheduling/grantreport.h"
#include "mimosahollow/scheduling/limitstatement.h"
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
    Refused, /**< The server rejected the order. */
    StaleFencing, /**< The server has seen a higher fencing number. */
    NotSent, /**< Nothing was sent to the server. */
    Unknown, /**< The order may still take effect. */
};

// Events handled by the pool owner. Each function appends to actions; the caller carries them out in order.

void announceServer(PoolState &state, const ServerAnnouncement &announcement, TimePoint now, Actions &actions);
void applyReport(PoolState &state, const ServerReport &report, TimePoint now, Actions &actions);

/** Grants, queues or refuses a request. Ignored while a request with the same id waits; ends a grant with the same id. */
void submit(PoolState &state, const AcquireRequest &request, TimePoint now, Actions &actions);

/** Removes a waiting request; no action answers it. A granted request ends with release(). */
void cancel(PoolState &state, const RequestId &id, TimePoint now, Actions &actions);

/** Ends a grant. Unknown grants and earlier grants of the same request are ignored. */
void release(PoolState &state, const Release &release, TimePoint now, Actions &actions);

/** Applies the limit that a server has named in an answer. Statements of unknown grants and of earlier processes of the server are ignored. */
void applyLimit(PoolState &state, const LimitStatement &statement, TimePoint now, Actions &actions);

/** Applies the result of an order. @p order is Order::order; numbers that no slot refers to are ignored. */
void orderFinished(PoolState &state, std::uint64_t order, OrderOutcome outcome, TimePoint now, Actions &actions);

void setDeclaration(PoolState &state, const PoolDeclaration &declaration, TimePoint now, Actions &actions);

/** Adds tokens of the fleet-wide load budget; PoolState::loadTokenDemand is the number that the pool could use. */
void grantLoadTokens(PoolState &state, double tokens, TimePoint now, Actions &actions);

/** Handles deadlines, load timeouts, retries and the expiry of unknown grants. Call it every 10 to 100 ms. */
void tick(PoolState &state, TimePoint now, Actions &actions);

/** Starts ownership without the grants, queues and orders of the earlier owner. */
void takeOver(PoolState &state, const Takeover &takeover, TimePoint now);

/** Adopts the grants that an entry instance holds. For an instance that is known to have ended, call it with no grants. */
void reconcileGrants(PoolState &state, const GrantReport &report, TimePoint now, Actions &actions);

/** Moves the state out for a handover. The remaining state has no servers and no requests, so it issues no grants. */
[[nodiscard]] PoolState exportState(PoolState &state);

/** Continues with the state from exportState() of the former owner. @p fencing is above that of the former owner. */
void importState(PoolState &state, PoolState &&handedOver, FencingNumber fencing, TimePoint now, Actions &actions);

/** Takes over what the owner of another pool of the same kind has seen. */
void applyCrashEvidence(PoolState &state, const CrashEvidence &evidence);

[[nodiscard]] PoolSummary summarise(const PoolState &state, TimePoint now);

} // namespace mimosahollow::scheduling
