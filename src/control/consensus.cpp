#include "mimosahollow/control/consensus.h"

#include "consensusinternal.h"

#include <algorithm>
#include <utility>

namespace mimosahollow::control {

std::string_view toString(ProposalError error) noexcept
{
    switch (error) {
    case ProposalError::NotLeader:
        return "not-leader";
    case ProposalError::TooLarge:
        return "too-large";
    case ProposalError::Overloaded:
        return "overloaded";
    case ProposalError::ChangeInProgress:
        return "change-in-progress";
    case ProposalError::UnknownMember:
        return "unknown-member";
    case ProposalError::AlreadyMember:
        return "already-member";
    case ProposalError::LastVoter:
        return "last-voter";
    }
    return "unknown";
}

void receive(ConsensusState &state, VoterId from, const ConsensusMessage &message, TimePoint now, ConsensusActions &actions)
{
    if (from == state.self || from == VoterId{}) {
        return;
    }
    if (const auto *voteRequest = std::get_if<VoteRequest>(&message)) {
        receiveVoteRequest(state, from, *voteRequest, now, actions);
    } else if (const auto *voteReply = std::get_if<VoteReply>(&message)) {
        receiveVoteReply(state, from, *voteReply, now, actions);
    } else if (const auto *appendRequest = std::get_if<AppendRequest>(&message)) {
        receiveAppendRequest(state, from, *appendRequest, now, actions);
    } else if (const auto *appendReply = std::get_if<AppendReply>(&message)) {
        receiveAppendReply(state, from, *appendReply, now, actions);
    } else if (const auto *chunk = std::get_if<SnapshotChunk>(&message)) {
        receiveSnapshotChunk(state, from, *chunk, now, actions);
    } else if (const auto *snapshotReply = std::get_if<SnapshotReply>(&message)) {
        receiveSnapshotReply(state, from, *snapshotReply, now, actions);
    }
}

void tick(ConsensusState &state, TimePoint now, ConsensusActions &actions)
{
    if (state.role == VoterRole::Leader) {
        tickLeader(state, now, actions);
        return;
    }
    const bool installing = state.incomingSnapshot && state.incomingSnapshot->installing;
    if (now >= state.electionDeadline && isVoter(state, state.self) && !installing && !state.isStorageSuspended) {
        startPreVote(state, now, actions);
    }
}

namespace {

ProposalRejected rejected(const ConsensusState &state, ProposalError error)
{
    return {error, state.leader};
}

ProposalResult appendProposal(ConsensusState &state, std::vector<LogEntry> entries, TimePoint now, ConsensusActions &actions)
{
    appendToLog(state, std::move(entries), actions);
    sendEntriesToAll(state, now, actions);
    return ProposalAccepted{lastIndex(state), state.term};
}

/** Returns the reason why no membership change may start now, if there is one. */
std::optional<ProposalError> membershipChangeError(const ConsensusState &state)
{
    if (state.role != VoterRole::Leader) {
        return ProposalError::NotLeader;
    }
    // Majorities of two memberships that differ by two members need not overlap, so only one change may be uncommitted.
    // An earlier leader may have left an uncommitted change, so an entry of this term must be committed first.
    if (state.membersIndex > state.commitIndex || state.commitIndex < state.termStart) {
        return ProposalError::ChangeInProgress;
    }
    return std::nullopt;
}

ProposalResult appendMembers(ConsensusState &state, Membership members, TimePoint now, ConsensusActions &actions)
{
    return appendProposal(state, {LogEntry{lastIndex(state) + 1, state.term, EntryKind::Members, nullptr, std::move(members)}}, now, actions);
}

} // namespace

ProposalResult propose(ConsensusState &state, std::span<const SharedBytes> payloads, TimePoint now, ConsensusActions &actions)
{
    if (state.role != VoterRole::Leader) {
        return rejected(state, ProposalError::NotLeader);
    }
    const auto tooLarge = [&state](const SharedBytes &payload) {
        return payload->size() > state.options.maximumEntryBytes;
    };
    if (std::any_of(payloads.begin(), payloads.end(), tooLarge)) {
        return rejected(state, ProposalError::TooLarge);
    }
    if (lastIndex(state) - state.commitIndex + payloads.size() > state.options.maximumUncommittedEntries) {
        return rejected(state, ProposalError::Overloaded);
    }
    std::vector<LogEntry> entries;
    entries.reserve(payloads.size());
    LogIndex index = lastIndex(state);
    for (const SharedBytes &payload : payloads) {
        entries.push_back({++index, state.term, EntryKind::Command, payload, {}});
    }
    if (entries.empty()) {
        return ProposalAccepted{index, state.term};
    }
    return appendProposal(state, std::move(entries), now, actions);
}

ProposalResult proposeMember(ConsensusState &state, Member member, TimePoint now, ConsensusActions &actions)
{
    if (const auto error = membershipChangeError(state)) {
        return rejected(state, *error);
    }
    if (findMember(state, member.id) != nullptr) {
        return rejected(state, ProposalError::AlreadyMember);
    }
    member.learner = true;
    Membership members = state.members;
    members.push_back(std::move(member));
    return appendMembers(state, std::move(members), now, actions);
}

ProposalResult proposeRemoval(ConsensusState &state, VoterId member, TimePoint now, ConsensusActions &actions)
{
    if (const auto error = membershipChangeError(state)) {
        return rejected(state, *error);
    }
    const Member *found = findMember(state, member);
    if (found == nullptr) {
        return rejected(state, ProposalError::UnknownMember);
    }
    const bool lastVoter = !found->learner && std::count_if(state.members.begin(), state.members.end(), [](const Member &other) {
                                                  return !other.learner;
                                              }) == 1;
    if (lastVoter) {
        return rejected(state, ProposalError::LastVoter);
    }
    Membership members = state.members;
    std::erase_if(members, [member](const Member &other) {
        return other.id == member;
    });
    return appendMembers(state, std::move(members), now, actions);
}

std::uint64_t requestRead(ConsensusState &state, ConsensusActions &actions)
{
    const std::uint64_t read = ++state.lastReadId;
    if (state.role != VoterRole::Leader) {
        actions.emplace_back(ReadRejected{read});
        return read;
    }
    // Only replies to messages sent from now on confirm the read. It must not be served before the first entry of this term is applied,
    // because until then commitIndex may lack entries that an earlier leader committed.
    state.pendingReads.push_back({read, state.round + 1, std::max(state.commitIndex, state.termStart)});
    state.roundNeeded = true;
    return read;
}

} // namespace mimosahollow::control
