#pragma once

#include "mimosahollow/control/consensusmessages.h"

#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::control {

struct SendToVoter
{
    VoterId to{};
    ConsensusMessage message;
};

// The caller carries out storage writes in the order of their numbers, and calls logSynced() once they are durable.

struct SaveVote
{
    WriteNumber write = 0;
    Term term = 0;
    VoterId vote{}; /**< Candidate voted for in the term; 0 if none. */
};

struct AppendLog
{
    WriteNumber write = 0;
    std::vector<LogEntry> entries;
};

/** Removes the entry at index @c from and all later ones. */
struct TruncateLog
{
    WriteNumber write = 0;
    LogIndex from = 0;
};

/** Allows storage to delete the entries up to and including @c upTo: a durable snapshot contains them. */
struct CompactLog
{
    WriteNumber write = 0;
    LogIndex upTo = 0;
};

/**
 * A complete snapshot has arrived from the leader. The caller verifies it, stores it in place of the whole log, loads the
 * state machine from it and then calls snapshotInstalled(). If the snapshot is damaged, it calls snapshotRejected() instead.
 */
struct InstallSnapshot
{
    WriteNumber write = 0;
    SnapshotPoint point;
    SharedBytes data;
};

/** Committed entries to apply to the state machine, in log order and without gaps. */
struct ApplyEntries
{
    std::vector<LogEntry> entries;
};

struct BecameLeader
{
    Term term = 0;
};

/** This voter led in @c term and no longer does. The outcome of its pending proposals is unknown; clients resend them with the same command id. */
struct LostLeadership
{
    Term term = 0;
};

/** A majority confirmed the leadership after requestRead(), and the entries up to @c index have been applied. */
struct ReadConfirmed
{
    std::uint64_t readId = 0;
    LogIndex index = 0;
};

struct ReadRejected
{
    std::uint64_t readId = 0;
};

using ConsensusAction = std::variant<SendToVoter,
                                     SaveVote,
                                     AppendLog,
                                     TruncateLog,
                                     CompactLog,
                                     InstallSnapshot,
                                     ApplyEntries,
                                     BecameLeader,
                                     LostLeadership,
                                     ReadConfirmed,
                                     ReadRejected>;
using ConsensusActions = std::vector<ConsensusAction>;

} // namespace mimosahollow::control
