#pragma once

#include "mimosahollow/control/consensusstate.h"
#include "mimosahollow/control/controlstate.h"
#include "mimosahollow/coordination/options.h"
#include "mimosahollow/membership/feed.h"
#include "mimosahollow/membership/poolholder.h"
#include "mimosahollow/membership/renewalstate.h"
#include "mimosahollow/membership/view.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace mimosahollow::coordination {

/** A command of this instance without a final reply. It is sent again, with the same command id, until its deadline. */
struct OutstandingCommand
{
    std::uint64_t ticket = 0;
    control::Command command;
    TimePoint deadline{};
    TimePoint sendAt{}; /**< Time of the next attempt. */
    bool sent = false; /**< Sent or proposed at least once. */
};

/** A proposal of this leader whose sender waits for the result; keyed by log index. */
struct PendingProposal
{
    control::Term term = 0;
    std::string peer;
    std::uint64_t sequence = 0;
};

/** A committed change that is acknowledged once every instance has applied it or has an expired freshness lease. */
struct UnacknowledgedChange
{
    control::LogIndex index = 0;
    std::string peer;
    std::uint64_t sequence = 0;
    control::CommandResult result;
};

/** State that only voters have. */
struct VoterState
{
    control::ConsensusState consensus;
    control::ControlState control;
    std::optional<membership::LeaderState> leader; /**< Present while this voter leads. */
    std::map<control::LogIndex, PendingProposal> proposals;
    std::deque<UnacknowledgedChange> unacknowledgedChanges;
    std::map<std::uint64_t, TimePoint> reads; /**< Start times of linearizable reads in progress, by read number. */
    std::set<PoolId> pendingAssignments; /**< Pools whose assignment is proposed and not yet applied. */
    control::LogIndex snapshotIndex = 0; /**< Log index of the newest snapshot taken or being written. */
};

/** Control state of one instance in any role. Used by one thread only, through the functions in coordination.h. */
struct CoordinationState
{
    Options options;
    std::mt19937_64 random;
    std::shared_ptr<const control::Configuration> configuration;
    InstanceId self{};
    DomainId home{};
    membership::View view;
    membership::RenewalState renewal;
    membership::PoolHolder holder;
    membership::Feed feed;
    membership::FeedReader reader;
    std::optional<VoterState> voter;
    std::set<std::string> peersUp;
    std::string upstream; /**< Peer that this instance subscribes to. */
    TimePoint upstreamHeardAt{}; /**< Last update or lease renewal from it; heartbeats do not count. */
    std::uint32_t upstreamFailures = 0; /**< Lost or silent upstreams so far; selects the next voter to try. */
    std::map<std::uint64_t, OutstandingCommand> commands; /**< By sequence. */
    std::uint64_t nextSequence = 1;
    TimePoint nextHeartbeat{};
    TimePoint nextRenewal{};
    TimePoint nextAssignment{};
    TimePoint nextRegistration{};
    TimePoint reportedFreshUntil{}; /**< Of the last FreshnessChanged. */
    std::map<PoolId, TimePoint> reportedLeaseEnds; /**< Of the last LeaseChanged of each pool. */
    std::int64_t wallClock = 0; /**< Milliseconds since 1970 at the last tick; used only for the times in records. */
    bool leaving = false;
};

} // namespace mimosahollow::coordination
