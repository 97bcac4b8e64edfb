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
    state.leaderHeard = now;
    resetElectionDeadline(state, now);
    return true;
}

void reportDurable(ConsensusState &state, std::uint64_t round, ConsensusActions &actions)
{
    if (state.leader == VoterId{} || state.leader == state.self) {
        return;
    }
    send(state, state.leader, AppendReply{state.term, round, true, std::min(state.matchedIndex, state.syncedIndex)}, actions);
}

namespace {

/** Next index that the leader should try after a mismatch at @p previous: skips the whole term that does not match. */
LogIndex retryIndex(const ConsensusState &state, LogIndex previous)
{
    if (previous > lastIndex(state)) {
        return lastIndex(state) + 1;
    }
    const Term wrong = termAt(state, previous);
    LogIndex retry = previous;
    while (retry > state.commitIndex + 1 && termAt(state, retry - 1) == wrong) {
        --retry;
    }
    return std::max(retry, state.commitIndex + 1);
}

void takeEntries(ConsensusState &state, const AppendRequest &request, ConsensusActions &actions)
{
    std::vector<LogEntry> added;
    for (const LogEntry &entry : request.entries) {
        if (entry.index <= state.logStart || (added.empty() && termAt(state, entry.index) == entry.term)) {
            continue;
        }
        if (added.empty() && entry.index <= lastIndex(state)) {
            truncateLog(state, entry.index, actions);
        }
        added.push_back(entry);
    }
    if (!added.empty()) {
        appendToLog(state, std::move(added), actions);
    }
}

} // namespace

void receiveAppendRequest(ConsensusState &state, VoterId from, const AppendRequest &request, TimePoint now, ConsensusActions &actions)
{
    if (!acceptLeader(state, from, request.term, request.round, now, actions)) {
        return;
    }
    if (state.incoming && state.incoming->installing) {
        // Confirms the leader without a claim about the log, which is being replaced.
        send(state, from, AppendReply{state.term, request.round, true, 0}, actions);
        return;
    }
    // Entries up to logStart are committed and thus match.
    const bool matches =
        request.previousIndex < state.logStart || (request.previousIndex <= lastIndex(state) && termAt(state, request.previousIndex) == request.previousTerm);
    if (!matches) {
        send(state, from, AppendReply{state.term, request.round, false, retryIndex(state, request.previousIndex)}, actions);
        return;
    }
    takeEntries(state, request, actions);
    const LogIndex end = request.previousIndex + request.entries.size();
    state.matchedIndex = std::max({state.matchedIndex, end, state.commitIndex});
    state.commitIndex = std::max(state.commitIndex, std::min(request.commitIndex, end));
    applyCommitted(state, actions);
    reportDurable(state, request.round, actions);
}

namespace {

/** The log already has the entry of the snapshot: entries behind it may have been acknowledged and must stay. */
bool alreadyHas(ConsensusState &state, const SnapshotPoint &point, ConsensusActions &actions)
{
    const bool inLog = point.index > state.logStart && point.index <= lastIndex(state) && termAt(state, point.index) == point.term;
    if (point.index > state.commitIndex && !inLog) {
        return false;
    }
    state.commitIndex = std::max(state.commitIndex, point.index);
    state.matchedIndex = std::max(state.matchedIndex, state.commitIndex);
    applyCommitted(state, actions);
    return true;
}

} // namespace

void receiveSnapshotChunk(ConsensusState &state, VoterId from, const SnapshotChunk &chunk, TimePoint now, ConsensusActions &actions)
{
    if (!acceptLeader(state, from, chunk.term, chunk.round, now, actions)) {
        return;
    }
    if (state.incoming && state.incoming->installing) {
        send(state, from, AppendReply{state.term, chunk.round, true, 0}, actions);
        return;
    }
    if (alreadyHas(state, chunk.point, actions)) {
        state.incoming.reset();
        reportDurable(state, chunk.round, actions);
        return;
    }
    if (chunk.size > state.options.snapshotBytes || chunk.data.size() > chunk.size) {
        return;
    }
    const bool sameSnapshot = state.incoming && state.incoming->from == from && state.incoming->point.index == chunk.point.index
                              && state.incoming->point.term == chunk.point.term && state.incoming->size == chunk.size;
    if (!sameSnapshot) {
        state.incoming = IncomingSnapshot{from, chunk.point, chunk.size, {}, false, 0};
    }
    IncomingSnapshot &incoming = *state.incoming;
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
    if (!state.incoming || !state.incoming->installing || state.incoming->point.index != index) {
        return;
    }
    state.snapshot = std::move(state.incoming->point);
    state.snapshotData = std::make_shared<const Bytes>(std::move(state.incoming->data));
    const std::uint64_t round = state.incoming->round;
    state.incoming.reset();
    state.log.clear();
    state.logStart = index;
    state.logStartTerm = state.snapshot.term;
    state.startMembers = state.snapshot.members;
    state.members = state.snapshot.members;
    state.membersIndex = index;
    state.commitIndex = index;
    state.appliedIndex = index;
    state.syncedIndex = index;
    state.matchedIndex = index;
    for (PendingWrite &write : state.pendingWrites) {
        write.lastIndex = 0;
    }
    resetElectionDeadline(state, now);
    if (state.role == VoterRole::Follower) {
        reportDurable(state, round, actions);
    }
}

void snapshotRefused(ConsensusState &state)
{
    state.incoming.reset();
}

} // namespace mimosahollow::control
