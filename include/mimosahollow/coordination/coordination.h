#pragma once

#include "mimosahollow/control/consensus.h"
#include "mimosahollow/coordination/actions.h"
#include "mimosahollow/coordination/coordinationstate.h"
#include "mimosahollow/membership/instancerecord.h"

#include <span>

namespace mimosahollow::coordination {

/** State of an instance that is no voter. */
[[nodiscard]] CoordinationState makeNonVoter(const Options &options, TimePoint now);

/**
 * Whether a voter may vote with what its storage holds. One with an empty disk may have forgotten votes and confirmed entries,
 * so it may not, unless the operator says that the fleet is new, or it is the only voter.
 */
[[nodiscard]] bool mayVote(const control::DurableLog &durable, const Options &options, bool isNewFleet) noexcept;

/** State of a voter that continues from what its storage holds. Returns an error message for a damaged snapshot. */
[[nodiscard]] std::variant<CoordinationState, std::string> makeVoter(const Options &options, control::DurableLog durable, TimePoint now);

// Events. Each appends to the actions, which the caller carries out in order.

void peerUp(CoordinationState &state, const membership::InstanceRecord &peer, TimePoint now, Actions &actions);
void peerDown(CoordinationState &state, const std::string &peer, TimePoint now, Actions &actions);
void receive(CoordinationState &state, const std::string &peer, Message message, TimePoint now, Actions &actions);

void storageSynced(CoordinationState &state, control::WriteNumber write, TimePoint now, Actions &actions);
void snapshotStored(CoordinationState &state, control::LogIndex index, bool replacesLog, control::SharedBytes data, TimePoint now, Actions &actions);

/** Takes a command that is to be committed; CommandDone with @p ticket ends it at the latest after @p timeout. */
void submit(CoordinationState &state, std::uint64_t ticket, control::Command command, Duration timeout, TimePoint now, Actions &actions);

/** Gives up pools and the registration before a graceful stop. */
void leave(CoordinationState &state, TimePoint now, Actions &actions);

/** To be called about every 10 ms. @p wallClock is in milliseconds since 1970 and only used for records. */
void tick(CoordinationState &state, TimePoint now, std::int64_t wallClock, Actions &actions);

/** Id under which the token buckets of @p domain are leased. */
[[nodiscard]] PoolId bucketPool(DomainId domain) noexcept;

} // namespace mimosahollow::coordination
