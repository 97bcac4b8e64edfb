#include "consensusinternal.h"

#include <algorithm>
#include <functional>

namespace mimosahollow::control {

namespace {

/** Time without a reply after which a snapshot chunk is sent again. A reply takes a few milliseconds between failure domains. */
constexpr Duration chunkRetryInterval = milliseconds(500);
/** Payload bytes sent to one member and not yet acknowledged. With one more request they stay below the 8 MiB that a link queues before it is closed. */
constexpr std::size_t maximumInFlightBytes = 4UL * 1024 * 1024;

std::size_t payloadBytes(const LogEntry &entry)
{
    return entry.payload ? entry.payload->size() : 0;
}

std::size_t bytesInFlight(const ConsensusState &state, const MemberProgress &progress)
{
    // A member that has not replied to this leader was sent entries of its term only.
    const LogIndex acknowledged = progress.matchIndex == 0 ? state.termStart - 1 : progress.matchIndex;
    std::size_t bytes = 0;
    for (LogIndex index = std::max(acknowledged, state.logStart) + 1; index < progress.nextIndex; ++index) {
        bytes += payloadBytes(entryAt(state, index));
    }
    return bytes;
}

bool hasMajorityContact(const ConsensusState &state, TimePoint now)
{
    std::size_t reachable = isVoter(state, state.self) ? 1 : 0;
    for (const auto &[id, progress] : state.progress) {
        if (isVoter(state, id) && now - progress.lastReplyAt <= state.options.electionTimeoutMaximum) {
            ++reachable;
        }
    }
    return reachable >= majority(state);
}

void sendChunk(ConsensusState &state, VoterId to, MemberProgress &progress, TimePoint now, ConsensusActions &actions)
{
    const Bytes &data = *progress.snapshotData;
    SnapshotChunk chunk{state.term, state.round, progress.snapshot, data.size(), progress.snapshotOffset, {}};
    const std::uint64_t end = std::min<std::uint64_t>(data.size(), progress.snapshotOffset + state.options.snapshotChunkBytes);
    chunk.data.assign(data.begin() + static_cast<std::ptrdiff_t>(progress.snapshotOffset), data.begin() + static_cast<std::ptrdiff_t>(end));
    progress.chunkSentAt = now;
    send(state, to, std::move(chunk), actions);
}

void startSnapshotTransfer(ConsensusState &state, VoterId to, MemberProgress &progress, TimePoint now, ConsensusActions &actions)
{
    progress.snapshot = state.snapshot;
    progress.snapshotData = state.snapshotData;
    progress.snapshotOffset = 0;
    sendChunk(state, to, progress, now, actions);
}

void endSnapshotTransfer(MemberProgress &progress)
{
    progress.snapshot = {};
    progress.snapshotData.reset();
    progress.snapshotOffset = 0;
}

AppendRequest emptyAppendRequest(const ConsensusState &state, LogIndex previous)
{
    previous = std::max(previous, state.logStart);
    return {state.term, previous, termAt(state, previous), state.commitIndex, state.round, {}};
}

/** Adds entries from index @p next on, up to the size limits but at least one. */
void fillEntries(const ConsensusState &state, LogIndex next, AppendRequest &request)
{
    std::size_t size = 0;
    const LogIndex last = lastIndex(state);
    while (next <= last) {
        const LogEntry &entry = entryAt(state, next);
        size += payloadBytes(entry);
        if (!request.entries.empty() && size > state.options.maximumAppendBytes) {
            return;
        }
        request.entries.push_back(entry);
        ++next;
        if (request.entries.size() >= state.options.maximumInFlightEntries) {
            return;
        }
    }
}

void sendHeartbeat(ConsensusState &state, VoterId to, TimePoint now, ConsensusActions &actions)
{
    MemberProgress &progress = state.progress[to];
    if (progress.snapshot.index != 0) {
        if (now - progress.chunkSentAt >= chunkRetryInterval) {
            sendChunk(state, to, progress, now, actions);
        } else {
            send(state, to, emptyAppendRequest(state, state.logStart), actions);
        }
        return;
    }
    if (progress.nextIndex <= state.logStart) {
        startSnapshotTransfer(state, to, progress, now, actions);
        return;
    }
    // The heartbeat refers to the last entry sent, so the member rejects it if that entry was lost.
    send(state, to, emptyAppendRequest(state, progress.nextIndex - 1), actions);
}

/** Promotes a learner to a voter once all committed entries are durable on it. */
void promoteLearner(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    if (state.membersIndex > state.commitIndex || state.commitIndex < state.termStart) {
        return;
    }
    for (Member &member : state.members) {
        const auto progress = state.progress.find(member.id);
        if (!member.learner || progress == state.progress.end() || progress->second.matchIndex < state.commitIndex) {
            continue;
        }
        LogEntry entry{lastIndex(state) + 1, state.term, EntryKind::Members, nullptr, state.members};
        entry.members[static_cast<std::size_t>(&member - state.members.data())].learner = false;
        appendToLog(state, {std::move(entry)}, actions);
        sendEntriesToAll(state, now, actions);
        return;
    }
}

} // namespace

void updateProgress(ConsensusState &state, TimePoint now)
{
    std::erase_if(state.progress, [&state](const auto &element) {
        return findMember(state, element.first) == nullptr;
    });
    for (const Member &member : state.members) {
        if (member.id != state.self && !state.progress.contains(member.id)) {
            MemberProgress progress;
            progress.nextIndex = lastIndex(state) + 1;
            progress.lastReplyAt = now;
            state.progress.emplace(member.id, std::move(progress));
        }
    }
}

void becomeLeader(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    state.role = VoterRole::Leader;
    state.leader = state.self;
    state.progress.clear();
    updateProgress(state, now);
    state.termStart = lastIndex(state) + 1;
    actions.emplace_back(BecameLeader{state.term});
    appendToLog(state, {LogEntry{state.termStart, state.term, EntryKind::Empty, nullptr, {}}}, actions);
    ++state.round;
    state.nextHeartbeat = now + state.options.heartbeatInterval;
    sendEntriesToAll(state, now, actions);
}

void sendEntries(ConsensusState &state, VoterId to, TimePoint now, ConsensusActions &actions)
{
    MemberProgress &progress = state.progress[to];
    if (progress.snapshot.index != 0 || progress.probing) {
        return;
    }
    const LogIndex last = lastIndex(state);
    while (progress.nextIndex <= last && progress.nextIndex - progress.matchIndex <= state.options.maximumInFlightEntries
           && bytesInFlight(state, progress) < maximumInFlightBytes) {
        if (progress.nextIndex <= state.logStart) {
            startSnapshotTransfer(state, to, progress, now, actions);
            return;
        }
        AppendRequest request = emptyAppendRequest(state, progress.nextIndex - 1);
        fillEntries(state, progress.nextIndex, request);
        const LogIndex sent = request.entries.size();
        send(state, to, std::move(request), actions);
        progress.nextIndex += sent;
    }
}

void sendEntriesToAll(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    updateProgress(state, now);
    for (const auto &element : state.progress) {
        sendEntries(state, element.first, now, actions);
    }
}

void tickLeader(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    if (!hasMajorityContact(state, now)) {
        becomeFollower(state, state.term, VoterId{}, now, actions);
        return;
    }
    if (now < state.nextHeartbeat && !state.roundNeeded) {
        return;
    }
    ++state.round;
    state.roundNeeded = false;
    state.nextHeartbeat = now + state.options.heartbeatInterval;
    updateProgress(state, now);
    for (const auto &element : state.progress) {
        sendHeartbeat(state, element.first, now, actions);
    }
    confirmReads(state, actions);
}

/** Handles the term and round of a reply. Returns the sender's progress; null if this voter does not lead in @p term or the sender is no member. */
static MemberProgress *recordReply(ConsensusState &state, VoterId from, Term term, std::uint64_t round, TimePoint now, ConsensusActions &actions)
{
    if (term > state.term) {
        becomeFollower(state, term, VoterId{}, now, actions);
        return nullptr;
    }
    const auto found = state.progress.find(from);
    if (term < state.term || state.role != VoterRole::Leader || found == state.progress.end()) {
        return nullptr;
    }
    MemberProgress &progress = found->second;
    progress.lastReplyAt = now;
    progress.confirmedRound = std::max(progress.confirmedRound, round);
    return &progress;
}

void receiveAppendReply(ConsensusState &state, VoterId from, const AppendReply &reply, TimePoint now, ConsensusActions &actions)
{
    MemberProgress *sender = recordReply(state, from, reply.term, reply.round, now, actions);
    if (sender == nullptr) {
        return;
    }
    MemberProgress &progress = *sender;
    if (reply.accepted) {
        const bool advanced = reply.matchIndex > progress.matchIndex;
        progress.matchIndex = std::max(progress.matchIndex, reply.matchIndex);
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        if (progress.snapshot.index != 0 && progress.matchIndex >= progress.snapshot.index) {
            endSnapshotTransfer(progress);
        }
        progress.probing = false;
        if (advanced) {
            advanceCommit(state, now, actions);
        }
    } else if (progress.snapshot.index == 0 && reply.matchIndex < progress.nextIndex) {
        // A rejection carries the next index to try as matchIndex. Empty requests probe for it; entries follow once one is accepted.
        progress.nextIndex = std::max(reply.matchIndex, progress.matchIndex + 1);
        progress.probing = true;
        sendHeartbeat(state, from, now, actions);
    }
    confirmReads(state, actions);
    // A committed membership change may have removed this leader or the sender.
    const auto remaining = state.progress.find(from);
    if (state.role != VoterRole::Leader || remaining == state.progress.end()) {
        return;
    }
    sendEntries(state, from, now, actions);
    promoteLearner(state, now, actions);
}

void receiveSnapshotReply(ConsensusState &state, VoterId from, const SnapshotReply &reply, TimePoint now, ConsensusActions &actions)
{
    MemberProgress *sender = recordReply(state, from, reply.term, reply.round, now, actions);
    if (sender == nullptr) {
        return;
    }
    MemberProgress &progress = *sender;
    // Answering a duplicate reply for an earlier offset would send each following chunk twice.
    const bool advancesTransfer = reply.received > progress.snapshotOffset || reply.received == 0;
    if (progress.snapshot.index == reply.index && progress.snapshotData && advancesTransfer && reply.received <= progress.snapshotData->size()) {
        progress.snapshotOffset = reply.received;
        sendChunk(state, from, progress, now, actions);
    }
    confirmReads(state, actions);
}

void advanceCommit(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    std::vector<LogIndex> durable;
    for (const Member &member : state.members) {
        if (member.learner) {
            continue;
        }
        if (member.id == state.self) {
            durable.push_back(state.syncedIndex);
        } else if (const auto progress = state.progress.find(member.id); progress != state.progress.end()) {
            durable.push_back(progress->second.matchIndex);
        } else {
            durable.push_back(0);
        }
    }
    if (durable.empty()) {
        return;
    }
    std::sort(durable.begin(), durable.end(), std::greater<>());
    const LogIndex index = durable[majority(state) - 1];
    // An entry of an earlier term may still be replaced until a later entry of this term is on a majority.
    if (index <= state.commitIndex || termAt(state, index) != state.term) {
        return;
    }
    state.commitIndex = index;
    applyCommitted(state, actions);
    confirmReads(state, actions);
    if (findMember(state, state.self) == nullptr && state.membersIndex <= state.commitIndex) {
        // This leader has been removed: it tells the other members of the commit before it steps down.
        ++state.round;
        for (const auto &element : state.progress) {
            send(state, element.first, emptyAppendRequest(state, std::min(element.second.nextIndex - 1, lastIndex(state))), actions);
        }
        becomeFollower(state, state.term, VoterId{}, now, actions);
    }
}

void confirmReads(ConsensusState &state, ConsensusActions &actions)
{
    while (!state.pendingReads.empty()) {
        const PendingRead &read = state.pendingReads.front();
        std::size_t confirmed = isVoter(state, state.self) ? 1 : 0;
        for (const auto &[id, progress] : state.progress) {
            if (isVoter(state, id) && progress.confirmedRound >= read.round) {
                ++confirmed;
            }
        }
        if (confirmed < majority(state) || state.appliedIndex < read.index || state.round < read.round) {
            return;
        }
        actions.emplace_back(ReadConfirmed{read.readId, state.appliedIndex});
        state.pendingReads.pop_front();
    }
}

void rejectReads(ConsensusState &state, ConsensusActions &actions)
{
    for (const PendingRead &read : state.pendingReads) {
        actions.emplace_back(ReadRejected{read.readId});
    }
    state.pendingReads.clear();
    state.roundNeeded = false;
}

} // namespace mimosahollow::control
