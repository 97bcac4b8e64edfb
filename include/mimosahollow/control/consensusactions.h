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

// Writes to storage are carried out in the order of their numbers. logSynced() reports them once they are durable.

struct SaveVote
{
    WriteNumber write = 0;
    Term term = 0;
    VoterId vote{}; /**< 0 when no vote was given in the term. */
};

struct AppendLog
{
    WriteNumber write = 0;
    std::vector<LogEntry> entries;
};

/** Removes the entries from @c from on. */
struct TruncateLog
{
    WriteNumber write = 0;
    LogIndex from = 0;
};

/** The entries up to @c upTo are no longer needed: a durable snapshot contains them. */
struct CompactLog
{
    WriteNumber write = 0;
    LogIndex upTo = 0;
};

/**
 * A complete snapshot has arrived from the leader. The driver verifies it and stores it (replacing the whole log), loads the
 * state machine from it and then calls snapshotInstalled(), or snapshotRejected() when it is damaged.
 */
struct InstallSnapshot
{
    WriteNumber write = 0;
    SnapshotPoint point;
    SharedBytes data;
};

/** Committed entries for the state machine, in order and without gaps. */
struct ApplyEntries
{
    std::vector<LogEntry> entries;
};

struct BecameLeader
{
    Term term = 0;
};

/** Outstanding proposals of this leader have an unknown result; their senders resend them under the same command id. */
struct LostLeadership
{
    Term term = 0;
};

/** Leadership was confirmed by a majority after requestRead(); entries up to @c index were applied. */
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
