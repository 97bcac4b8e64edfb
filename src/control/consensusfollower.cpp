#include "consensusinternal.h"

#include <algorithm>

namespace mimosahollow::control {

bool acceptLeader(ConsensusState &state, VoterId from, Term term, std::uint64_t round, TimePoint now, ConsensusActions &actions)
{
    if (term < state.term) {
        send(state, from, AppendReply{state.term, round, false, lastIndex(state) + 1}, actions);
        return false;
    }
    if (term > state.term || state.role != VoterRole::Follower) {
        becomeFollower(state, term, from, now, actions);
    }
    state.leader = from;
    state.lastLeaderContact = now;
    resetElectionDeadline(state, now);
    return true;
}

void reportDurableIndex(ConsensusState &state, std::uint64_t round, ConsensusActions &actions)
{
    if (state.leader == VoterId{} || state.leader == state.self) {
        return;
    }
    send(state, state.leader, AppendReply{state.term, round, true, std::min(state.leaderMatchIndex, state.syncedIndex)}, actions);
}

namespace {

/** Returns the next index for the leader to try after a mismatch at @p previous. Skips all entries of the mismatched term. */
LogIndex retryIndex(const ConsensusState &state, LogIndex previous)
{
    if (previous > lastIndex(state)) {
        return lastIndex(state) + 1;
    }
    const Term mismatchedTerm = termAt(state, previous);
    LogIndex retry = previous;
    while (retry > state.commitIndex + 1 && termAt(state, retry - 1) == mismatchedTerm) {
        --retry;
    }
    return std::max(retry, state.commitIndex + 1);
}

void appendMissingEntries(ConsensusState &state, const AppendRequest &request, ConsensusActions &actions)
{
    std::vector<LogEntry> newEntries;
    for (const LogEntry &entry : request.entries) {
        if (entry.index <= state.logStart || (newEntries.empty() && termAt(state, entry.index) == entry.term)) {
            continue;
        }
        if (newEntries.empty() && entry.index <= lastIndex(state)) {
            truncateLog(state, entry.index, actions);
        }
        newEntries.push_back(entry);
    }
    if (!newEntries.empty()) {
        appendToLog(state, std::move(newEntries), actions);
    }
}

} // namespace

void receiveAppendRequest(ConsensusState &state, VoterId from, const AppendRequest &request, TimePoint now, ConsensusActions &actions)
{
    if (!acceptLeader(state, from, request.term, request.round, now, actions)) {
        return;
    }
    if (state.incomingSnapshot && state.incomingSnapshot->installing) {
        // Confirms the leader but no entries: the log is being replaced by the snapshot.
        send(state, from, AppendReply{state.term, request.round, true, 0}, actions);
        return;
    }
    // Entries up to logStart are committed, so they match the leader's log.
    const bool matches =
        request.previousIndex < state.logStart || (request.previousIndex <= lastIndex(state) && termAt(state, request.previousIndex) == request.previousTerm);
    if (!matches) {
        send(state, from, AppendReply{state.term, request.round, false, retryIndex(state, request.previousIndex)}, actions);
        return;
    }
    appendMissingEntries(state, request, actions);
    const LogIndex end = request.previousIndex + request.entries.size();
    state.leaderMatchIndex = std::max({state.leaderMatchIndex, end, state.commitIndex});
    state.commitIndex = std::max(state.commitIndex, std::min(request.commitIndex, end));
    applyCommitted(state, actions);
    reportDurableIndex(state, request.round, actions);
}

namespace {

/**
 * Returns true if the log already contains the last entry of the snapshot, which is then committed. The snapshot must not
 * replace the log in that case, because later entries may have been acknowledged.
 */
bool logCoversSnapshot(ConsensusState &state, const SnapshotPoint &point, ConsensusActions &actions)
{
    const bool inLog = point.index > state.logStart && point.index <= lastIndex(state) && termAt(state, point.index) == point.term;
    if (point.index > state.commitIndex && !inLog) {
        return false;
    }
    state.commitIndex = std::max(state.commitIndex, point.index);
    state.leaderMatchIndex = std::max(state.leaderMatchIndex, state.commitIndex);
    applyCommitted(state, actions);
    return true;
}

} // namespace

void receiveSnapshotChunk(ConsensusState &state, VoterId from, const SnapshotChunk &chunk, TimePoint now, ConsensusActions &actions)
{
    if (!acceptLeader(state, from, chunk.term, chunk.round, now, actions)) {
        return;
    }
    if (state.incomingSnapshot && state.incomingSnapshot->installing) {
        send(state, from, AppendReply{state.term, chunk.round, true, 0}, actions);
        return;
    }
    if (logCoversSnapshot(state, chunk.point, actions)) {
        state.incomingSnapshot.reset();
        reportDurableIndex(state, chunk.round, actions);
        return;
    }
    if (chunk.size > state.options.maximumSnapshotBytes || chunk.data.size() > chunk.size) {
        return;
    }
    const bool sameSnapshot = state.incomingSnapshot && state.incomingSnapshot->from == from && state.incomingSnapshot->point.index == chunk.point.index
                              && state.incomingSnapshot->point.term == chunk.point.term && state.incomingSnapshot->size == chunk.size;
    if (!sameSnapshot) {
        state.incomingSnapshot = IncomingSnapshot{from, chunk.point, chunk.size, {}, false, 0};
    }
    IncomingSnapshot &incoming = *state.incomingSnapshot;
    incoming.round = chunk.round;
    if (chunk.offset == incoming.data.size() && chunk.data.size() <= incoming.size - incoming.data.size()) {
        incoming.data.insert(incoming.data.end(), chunk.data.begin(), chunk.data.end());
    }
    if (incoming.data.size() < incoming.size) {
        send(state, from, SnapshotReply{state.term, chunk.round, chunk.point.index, incoming.data.size()}, actions);
        return;
    }
    incoming.installing = true;
    state.pendingWrites.push_back({++state.lastWrite, 0});
    actions.emplace_back(InstallSnapshot{state.lastWrite, incoming.point, std::make_shared<const Bytes>(incoming.data)});
}

void snapshotInstalled(ConsensusState &state, LogIndex index, TimePoint now, ConsensusActions &actions)
{
    if (!state.incomingSnapshot || !state.incomingSnapshot->installing || state.incomingSnapshot->point.index != index) {
        return;
    }
    state.snapshot = std::move(state.incomingSnapshot->point);
    state.snapshotData = std::make_shared<const Bytes>(std::move(state.incomingSnapshot->data));
    const std::uint64_t round = state.incomingSnapshot->round;
    state.incomingSnapshot.reset();
    state.log.clear();
    state.logStart = index;
    state.logStartTerm = state.snapshot.term;
    state.logStartMembers = state.snapshot.members;
    state.members = state.snapshot.members;
    state.membersIndex = index;
    state.commitIndex = index;
    state.appliedIndex = index;
    state.syncedIndex = index;
    state.leaderMatchIndex = index;
    // Pending writes of the replaced log must not report its indexes as durable.
    for (PendingWrite &write : state.pendingWrites) {
        write.lastIndex = 0;
    }
    resetElectionDeadline(state, now);
    if (state.role == VoterRole::Follower) {
        reportDurableIndex(state, round, actions);
    }
}

void snapshotRejected(ConsensusState &state)
{
    state.incomingSnapshot.reset();
}

} // namespace mimosahollow::control
