#pragma once

#include "mimosahollow/control/consensus.h"
#include "mimosahollow/coordination/actions.h"
#include "mimosahollow/coordination/coordinationstate.h"
#include "mimosahollow/membership/instancerecord.h"

#include <span>

namespace mimosahollow::coordination {

/** Creates the state of an instance that is not a voter. */
[[nodiscard]] CoordinationState makeNonVoter(const Options &options, TimePoint now);

/**
 * Whether a voter may vote with the content of its storage. A voter with an empty disk may have lost votes and acknowledged log
 * entries, so it may vote only when the operator declares the fleet new (@p isNewFleet) or when it is the only voter.
 */
[[nodiscard]] bool mayVote(const control::DurableLog &durable, const Options &options, bool isNewFleet) noexcept;

/** Restores the state of a voter from its storage. Returns an error message for a damaged snapshot. */
[[nodiscard]] std::variant<CoordinationState, std::string> makeVoter(const Options &options, control::DurableLog durable, TimePoint now);

// Event handlers. Each appends actions, which the caller executes in order.

void peerUp(CoordinationState &state, const membership::InstanceRecord &peer, TimePoint now, Actions &actions);
void peerDown(CoordinationState &state, const std::string &peer, TimePoint now, Actions &actions);
void receive(CoordinationState &state, const std::string &peer, Message message, TimePoint now, Actions &actions);

void storageSynced(CoordinationState &state, control::WriteNumber write, TimePoint now, Actions &actions);
/** Storage refuses writes, or has failed: this voter doesn't lead until storageResumed(). */
void storageSuspended(CoordinationState &state, TimePoint now, Actions &actions);
void storageResumed(CoordinationState &state, TimePoint now);
void snapshotStored(CoordinationState &state, control::LogIndex index, bool replacesLog, control::SharedBytes data, TimePoint now, Actions &actions);

/** Submits a command to be committed. Reports CommandDone with @p ticket within @p timeout. */
void submit(CoordinationState &state, std::uint64_t ticket, control::Command command, Duration timeout, TimePoint now, Actions &actions);

/** Releases the pools and removes the registration of this instance before a graceful stop. */
void leave(CoordinationState &state, TimePoint now, Actions &actions);

/** Must be called about every 10 ms. @p wallClock is in milliseconds since 1970 and used only for the times in records. */
void tick(CoordinationState &state, TimePoint now, std::int64_t wallClock, Actions &actions);

/** Pool id that stands for the token buckets of @p domain in leases. */
[[nodiscard]] PoolId bucketPool(DomainId domain) noexcept;

} // namespace mimosahollow::coordination
