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

/** A command of this instance that has no final answer yet. It is sent again, under the same command id, until its deadline. */
struct OutstandingCommand
{
    std::uint64_t ticket = 0;
    control::Command command;
    TimePoint deadline{};
    TimePoint sendAt{};
    bool sent = false;
};

/** A proposal of this leader whose sender waits for the result. */
struct PendingProposal
{
    control::Term term = 0;
    std::string peer;
    std::uint64_t sequence = 0;
};

/** A change that is committed and waits until it is in force everywhere. */
struct UnacknowledgedChange
{
    control::LogIndex index = 0;
    std::string peer;
    std::uint64_t sequence = 0;
    control::CommandResult result;
};

/** The parts that only a voter has. */
struct VoterState
{
    control::ConsensusState consensus;
    control::ControlState control;
    std::optional<membership::LeaderState> leader; /**< Present while this voter leads. */
    std::map<control::LogIndex, PendingProposal> proposals;
    std::deque<UnacknowledgedChange> unacknowledgedChanges;
    std::map<std::uint64_t, TimePoint> reads; /**< Start times of leadership confirmations. */
    std::set<PoolId> pendingAssignments; /**< An assignment is in the log and not yet applied. */
    control::LogIndex snapshotIndex = 0; /**< Newest snapshot made or being made. */
};

/** Control state of one instance in every role. Touched by one thread only; driven by the functions in coordination.h. */
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
    TimePoint upstreamHeardAt{};
    std::uint32_t upstreamFailures = 0;
    std::map<std::uint64_t, OutstandingCommand> commands; /**< By sequence. */
    std::uint64_t nextSequence = 1;
    TimePoint nextHeartbeat{};
    TimePoint nextRenewal{};
    TimePoint nextAssignment{};
    TimePoint nextRegistration{};
    TimePoint reportedFreshUntil{};
    std::map<PoolId, TimePoint> reportedLeaseEnds;
    std::int64_t wallClock = 0; /**< Milliseconds since 1970 at the last tick; only for records. */
    bool leaving = false;
};

} // namespace mimosahollow::coordination
