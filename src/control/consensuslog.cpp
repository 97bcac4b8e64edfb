#include "consensusinternal.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::control {

const Member *findMember(const ConsensusState &state, VoterId id)
{
    const auto found = std::find_if(state.members.begin(), state.members.end(), [id](const Member &member) {
        return member.id == id;
    });
    return found == state.members.end() ? nullptr : &*found;
}

bool isVoter(const ConsensusState &state, VoterId id)
{
    const Member *member = findMember(state, id);
    return member != nullptr && !member->learner;
}

std::size_t majority(const ConsensusState &state)
{
    const auto voters = std::count_if(state.members.begin(), state.members.end(), [](const Member &member) {
        return !member.learner;
    });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

LogIndex lastIndex(const ConsensusState &state) noexcept
{
    return state.logStart + state.log.size();
}

const LogEntry &entryAt(const ConsensusState &state, LogIndex index)
{
    return state.log[index - state.logStart - 1];
}

Term termAt(const ConsensusState &state, LogIndex index) noexcept
{
    if (index == state.logStart) {
        return state.logStartTerm;
    }
    if (index < state.logStart || index > lastIndex(state)) {
        return 0;
    }
    return entryAt(state, index).term;
}

Membership membersAt(const ConsensusState &state, LogIndex index)
{
    for (LogIndex i = std::min(index, lastIndex(state)); i > state.logStart; --i) {
        if (entryAt(state, i).kind == EntryKind::Members) {
            return entryAt(state, i).members;
        }
    }
    return state.logStartMembers;
}

namespace {

/** Sets the current membership from the latest entry in the log that has one. */
void refreshMembership(ConsensusState &state)
{
    state.members = state.logStartMembers;
    state.membersIndex = state.logStart;
    for (LogIndex i = lastIndex(state); i > state.logStart; --i) {
        if (entryAt(state, i).kind == EntryKind::Members) {
            state.members = entryAt(state, i).members;
            state.membersIndex = i;
            return;
        }
    }
}

} // namespace

void send(ConsensusState &state, VoterId to, ConsensusMessage message, ConsensusActions &actions)
{
    SendToVoter outgoing{to, std::move(message)};
    // Messages wait until term and vote are durable: a voter that loses them in a crash could vote twice in one term.
    if (state.voteWrite > state.syncedWrite) {
        if (state.isStorageSuspended) {
            return; // it may take hours; the protocol repeats what gets lost
        }
        state.deferredMessages.push_back({state.voteWrite, std::move(outgoing)});
        return;
    }
    actions.emplace_back(std::move(outgoing));
}

void saveVote(ConsensusState &state, ConsensusActions &actions)
{
    state.voteWrite = ++state.lastWrite;
    state.pendingWrites.push_back({state.lastWrite, 0});
    actions.emplace_back(SaveVote{state.lastWrite, state.term, state.vote});
}

void appendToLog(ConsensusState &state, std::vector<LogEntry> entries, ConsensusActions &actions)
{
    for (const LogEntry &entry : entries) {
        state.log.push_back(entry);
        if (entry.kind == EntryKind::Members) {
            state.members = entry.members;
            state.membersIndex = entry.index;
        }
    }
    state.pendingWrites.push_back({++state.lastWrite, lastIndex(state)});
    actions.emplace_back(AppendLog{state.lastWrite, std::move(entries)});
}

void truncateLog(ConsensusState &state, LogIndex from, ConsensusActions &actions)
{
    state.log.resize(from - state.logStart - 1);
    state.syncedIndex = std::min(state.syncedIndex, from - 1);
    // Pending writes must not report the removed indexes as durable: new entries may take these indexes.
    for (PendingWrite &write : state.pendingWrites) {
        write.lastIndex = std::min(write.lastIndex, from - 1);
    }
    refreshMembership(state);
    state.pendingWrites.push_back({++state.lastWrite, 0});
    actions.emplace_back(TruncateLog{state.lastWrite, from});
}

void applyCommitted(ConsensusState &state, ConsensusActions &actions)
{
    if (state.appliedIndex >= state.commitIndex) {
        return;
    }
    ApplyEntries apply;
    apply.entries.reserve(state.commitIndex - state.appliedIndex);
    while (state.appliedIndex < state.commitIndex) {
        apply.entries.push_back(entryAt(state, ++state.appliedIndex));
    }
    actions.emplace_back(std::move(apply));
}

bool alignWithSnapshot(DurableLog &durable)
{
    if (durable.entries.empty()) {
        return false;
    }
    const LogIndex first = durable.entries.front().index;
    const LogIndex last = durable.entries.back().index;
    const LogIndex start = durable.snapshot.index;
    const bool continues = last >= start && (first > start || durable.entries[start - first].term == durable.snapshot.term);
    if (!continues) {
        durable.entries.clear();
    }
    return !continues;
}

ConsensusState makeConsensus(VoterId self, const ConsensusOptions &options, DurableLog durable, Membership firstMembers, std::uint64_t seed, TimePoint now)
{
    alignWithSnapshot(durable);
    ConsensusState state;
    state.options = options;
    state.self = self;
    state.random.seed(seed);
    state.term = durable.term;
    state.vote = durable.vote;
    state.snapshot = durable.snapshot;
    state.snapshotData = std::move(durable.snapshotData);
    state.logStart = durable.snapshot.index;
    state.logStartTerm = durable.snapshot.term;
    auto firstKept = durable.entries.begin();
    if (!durable.entries.empty() && firstKept->index <= state.logStart) {
        // logStart needs a known term. Index 0, before the first entry of all, has term 0. Before any other first stored entry the term is
        // unknown, so that entry itself becomes logStart.
        if (firstKept->index == 1) {
            state.logStart = 0;
            state.logStartTerm = 0;
        } else {
            state.logStart = firstKept->index;
            state.logStartTerm = firstKept->term;
            ++firstKept;
        }
    }
    state.log.assign(firstKept, durable.entries.end());
    // The membership at logStart may differ from that of the snapshot, but memberships before the snapshot index are never needed.
    state.logStartMembers = durable.snapshot.members.empty() ? std::move(firstMembers) : durable.snapshot.members;
    refreshMembership(state);
    state.commitIndex = durable.snapshot.index;
    state.appliedIndex = durable.snapshot.index;
    state.syncedIndex = lastIndex(state);
    resetElectionDeadline(state, now);
    return state;
}

SnapshotPoint snapshotPoint(const ConsensusState &state, LogIndex index)
{
    return {index, termAt(state, index), membersAt(state, index)};
}

void snapshotTaken(ConsensusState &state, LogIndex index, SharedBytes data, ConsensusActions &actions)
{
    if (index <= state.snapshot.index || index > state.appliedIndex) {
        return;
    }
    state.snapshot = snapshotPoint(state, index);
    state.snapshotData = std::move(data);
    // The stored snapshot makes its entries durable.
    state.syncedIndex = std::max(state.syncedIndex, index);
    const LogIndex start = index > state.options.keptEntries ? index - state.options.keptEntries : 0;
    if (start <= state.logStart) {
        return;
    }
    Membership members = membersAt(state, start);
    state.logStartTerm = termAt(state, start);
    state.log.erase(state.log.begin(), state.log.begin() + static_cast<std::ptrdiff_t>(start - state.logStart));
    state.logStart = start;
    state.logStartMembers = std::move(members);
    state.pendingWrites.push_back({++state.lastWrite, 0});
    actions.emplace_back(CompactLog{state.lastWrite, start});
}

void storageSuspended(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    state.isStorageSuspended = true;
    state.deferredMessages.clear();
    if (state.role != VoterRole::Follower) {
        becomeFollower(state, state.term, VoterId{}, now, actions);
    }
}

void storageResumed(ConsensusState &state, TimePoint now)
{
    state.isStorageSuspended = false;
    resetElectionDeadline(state, now);
}

void logSynced(ConsensusState &state, WriteNumber write, TimePoint now, ConsensusActions &actions)
{
    state.syncedWrite = std::max(state.syncedWrite, write);
    const LogIndex before = state.syncedIndex;
    while (!state.pendingWrites.empty() && state.pendingWrites.front().write <= write) {
        state.syncedIndex = std::max(state.syncedIndex, state.pendingWrites.front().lastIndex);
        state.pendingWrites.pop_front();
    }
    while (!state.deferredMessages.empty() && state.deferredMessages.front().write <= state.syncedWrite) {
        actions.emplace_back(std::move(state.deferredMessages.front().message));
        state.deferredMessages.pop_front();
    }
    countOwnVote(state, now, actions);
    if (state.syncedIndex == before) {
        return;
    }
    if (state.role == VoterRole::Leader) {
        advanceCommit(state, now, actions);
    } else {
        // Round 0 confirms no reads: this is not a reply to a message of the leader.
        reportDurableIndex(state, 0, actions);
    }
}

} // namespace mimosahollow::control
