#include "consensusinternal.h"

#include <algorithm>

namespace mimosahollow::control {

void resetElectionDeadline(ConsensusState &state, TimePoint now)
{
    const Duration spread = state.options.electionTimeoutMaximum - state.options.electionTimeoutMinimum;
    std::uniform_int_distribution<Duration::rep> random(0, spread.count());
    state.electionDeadline = now + state.options.electionTimeoutMinimum + Duration(random(state.random));
}

void becomeFollower(ConsensusState &state, Term term, VoterId leader, TimePoint now, ConsensusActions &actions)
{
    const bool wasLeader = state.role == VoterRole::Leader;
    const Term oldTerm = state.term;
    state.role = VoterRole::Follower;
    state.leader = leader;
    state.votes.clear();
    if (term > state.term) {
        state.term = term;
        state.vote = VoterId{};
        state.leaderMatchIndex = 0;
        saveVote(state, actions);
    }
    if (wasLeader) {
        state.progress.clear();
        rejectReads(state, actions);
        actions.emplace_back(LostLeadership{oldTerm});
    }
    resetElectionDeadline(state, now);
}

namespace {

bool isUpToDate(const ConsensusState &state, const VoteRequest &request)
{
    const LogIndex last = lastIndex(state);
    const Term lastTerm = termAt(state, last);
    return request.lastTerm > lastTerm || (request.lastTerm == lastTerm && request.lastIndex >= last);
}

/** Returns true for the leader itself too: a leader that loses its majority steps down on its own. */
bool hasLeaderContact(const ConsensusState &state, TimePoint now)
{
    return state.role == VoterRole::Leader || (state.leader != VoterId{} && now - state.lastLeaderContact < state.options.electionTimeoutMinimum);
}

void requestVotes(ConsensusState &state, bool preVote, ConsensusActions &actions)
{
    const LogIndex last = lastIndex(state);
    const VoteRequest request{preVote ? state.term + 1 : state.term, last, termAt(state, last), preVote};
    for (const Member &member : state.members) {
        if (!member.learner && member.id != state.self) {
            send(state, member.id, request, actions);
        }
    }
}

void startElection(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    state.role = VoterRole::Candidate;
    ++state.term;
    state.vote = state.self;
    state.leaderMatchIndex = 0;
    state.votes.clear();
    saveVote(state, actions);
    resetElectionDeadline(state, now);
    requestVotes(state, false, actions);
}

} // namespace

void startPreVote(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    state.role = VoterRole::PreCandidate;
    state.leader = VoterId{};
    state.votes = {state.self};
    resetElectionDeadline(state, now);
    if (state.votes.size() >= majority(state)) {
        startElection(state, now, actions);
        return;
    }
    requestVotes(state, true, actions);
}

void countOwnVote(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    if (state.role != VoterRole::Candidate || state.voteWrite > state.syncedWrite || !isVoter(state, state.self)) {
        return;
    }
    state.votes.insert(state.self);
    if (state.votes.size() >= majority(state)) {
        becomeLeader(state, now, actions);
    }
}

void receiveVoteRequest(ConsensusState &state, VoterId from, const VoteRequest &request, TimePoint now, ConsensusActions &actions)
{
    if (hasLeaderContact(state, now)) {
        // A voter that lost contact must not depose a leader that still has contact with a majority.
        send(state, from, VoteReply{state.term, request.preVote, false}, actions);
        return;
    }
    if (request.preVote) {
        const bool granted = request.term > state.term && isUpToDate(state, request);
        send(state, from, VoteReply{granted ? request.term : state.term, true, granted}, actions);
        return;
    }
    if (request.term > state.term) {
        becomeFollower(state, request.term, VoterId{}, now, actions);
    }
    const bool mayVote = request.term == state.term && (state.vote == VoterId{} || state.vote == from);
    const bool granted = mayVote && isUpToDate(state, request);
    if (granted && state.vote != from) {
        state.vote = from;
        saveVote(state, actions);
    }
    if (granted) {
        resetElectionDeadline(state, now);
    }
    send(state, from, VoteReply{state.term, false, granted}, actions);
}

void receiveVoteReply(ConsensusState &state, VoterId from, const VoteReply &reply, TimePoint now, ConsensusActions &actions)
{
    // A granted pre-vote carries the term of an election that has not started, so it does not show a newer term.
    const bool grantedPreVote = reply.preVote && reply.granted;
    if (reply.term > state.term && !grantedPreVote) {
        becomeFollower(state, reply.term, VoterId{}, now, actions);
        return;
    }
    if (!reply.granted || !isVoter(state, from)) {
        return;
    }
    if (state.role == VoterRole::PreCandidate && reply.preVote && reply.term == state.term + 1) {
        state.votes.insert(from);
        if (state.votes.size() >= majority(state)) {
            startElection(state, now, actions);
        }
    } else if (state.role == VoterRole::Candidate && !reply.preVote && reply.term == state.term) {
        state.votes.insert(from);
        if (state.votes.size() >= majority(state)) {
            becomeLeader(state, now, actions);
        }
    }
}

void expediteElection(ConsensusState &state, Duration maximumDelay, TimePoint now)
{
    if (state.role == VoterRole::Leader || hasLeaderContact(state, now)) {
        return;
    }
    // The lower bound lets one voter complete its pre-vote before the next one starts.
    std::uniform_int_distribution<Duration::rep> random(maximumDelay.count() / 5, maximumDelay.count());
    state.electionDeadline = std::min(state.electionDeadline, now + Duration(random(state.random)));
}

void voterDisconnected(ConsensusState &state, VoterId voter, Duration maximumDelay, TimePoint now)
{
    if (voter == VoterId{} || state.leader != voter || state.role != VoterRole::Follower) {
        return;
    }
    // This cannot depose a leader whose other connections work: voters that still have contact with it reject the pre-vote.
    state.lastLeaderContact = {};
    expediteElection(state, maximumDelay, now);
}

} // namespace mimosahollow::control
