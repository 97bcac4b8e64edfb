#include "mimosahollow/control/consensus.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::control;

namespace {

constexpr TimePoint start{seconds(1000)};
constexpr VoterId one{1};
constexpr VoterId two{2};
constexpr VoterId three{3};

ConsensusState makeVoter(VoterId id)
{
    return makeConsensus(id, {}, {}, {{one, "", false}, {two, "", false}, {three, "", false}}, 20261204, start);
}

template<typename Action>
std::vector<Action> actionsOf(const ConsensusActions &actions)
{
    std::vector<Action> found;
    for (const ConsensusAction &action : actions) {
        if (const auto *wanted = std::get_if<Action>(&action)) {
            found.push_back(*wanted);
        }
    }
    return found;
}

template<typename Message>
std::vector<Message> messagesOf(const ConsensusActions &actions)
{
    std::vector<Message> found;
    for (const SendToVoter &send : actionsOf<SendToVoter>(actions)) {
        if (const auto *wanted = std::get_if<Message>(&send.message)) {
            found.push_back(*wanted);
        }
    }
    return found;
}

SharedBytes payload()
{
    return std::make_shared<const Bytes>(Bytes{1});
}

/** Voter 1 as the leader of term 1 at @p now, with everything durable. */
ConsensusState makeLeader(TimePoint &now)
{
    ConsensusState state = makeVoter(one);
    ConsensusActions actions;
    now = start + milliseconds(700);
    tick(state, now, actions);
    receive(state, two, VoteReply{1, true, true}, now, actions);
    logSynced(state, state.lastWrite, now, actions);
    receive(state, two, VoteReply{1, false, true}, now, actions);
    logSynced(state, state.lastWrite, now, actions);
    receive(state, two, AppendReply{1, state.round, true, 1}, now, actions);
    REQUIRE(state.role == VoterRole::Leader);
    REQUIRE(state.commitIndex == 1);
    return state;
}

} // namespace

// Guards against a time-out of 500 ms and more for an election when the leader's connections are closed; and against an election
// against a leader that others hear.
TEST_CASE("a voter that loses the connections to its leader stands for election soon")
{
    constexpr Duration maximumDelay = milliseconds(100);
    ConsensusState state = makeVoter(two);
    ConsensusActions actions;
    TimePoint now = start + milliseconds(100);
    receive(state, one, AppendRequest{1, 0, 0, 0, 1, {}}, now, actions);
    logSynced(state, state.lastWrite, now, actions);
    REQUIRE(state.leader == one);
    actions.clear();

    SECTION("it asks the others")
    {
        voterDisconnected(state, one, maximumDelay, now);
        now += maximumDelay;
        tick(state, now, actions);
        REQUIRE(messagesOf<VoteRequest>(actions).size() == 2);
        CHECK(messagesOf<VoteRequest>(actions)[0].preVote);
    }
    SECTION("it stays when another voter was lost")
    {
        voterDisconnected(state, three, maximumDelay, now);
        expediteElection(state, maximumDelay, now);
        now += maximumDelay;
        tick(state, now, actions);
        CHECK(messagesOf<VoteRequest>(actions).empty());
    }
    SECTION("it refuses another one's wish while it hears the leader")
    {
        receive(state, three, VoteRequest{2, 0, 0, true}, now, actions);
        REQUIRE(messagesOf<VoteReply>(actions).size() == 1);
        CHECK_FALSE(messagesOf<VoteReply>(actions)[0].granted);
    }
}

// Guards against a voter that forgets in a crash what it told others.
TEST_CASE("messages wait for the durable vote")
{
    ConsensusState state = makeVoter(two);
    ConsensusActions actions;
    receive(state, one, VoteRequest{1, 0, 0, false}, start, actions);
    REQUIRE(actionsOf<SaveVote>(actions).back().vote == one);
    REQUIRE(messagesOf<VoteReply>(actions).empty());
    actions.clear();
    logSynced(state, state.lastWrite, start, actions);
    REQUIRE(messagesOf<VoteReply>(actions).at(0).granted);

    SECTION("one vote in a term")
    {
        actions.clear();
        receive(state, three, VoteRequest{1, 0, 0, false}, start, actions);
        REQUIRE_FALSE(messagesOf<VoteReply>(actions).at(0).granted);
    }
    SECTION("entries are reported once they are durable")
    {
        actions.clear();
        receive(state, one, AppendRequest{1, 0, 0, 0, 1, {{1, 1, EntryKind::Empty, nullptr, {}}}}, start, actions);
        REQUIRE(messagesOf<AppendReply>(actions).at(0).matchIndex == 0);
        actions.clear();
        logSynced(state, state.lastWrite, start, actions);
        REQUIRE(messagesOf<AppendReply>(actions).at(0).matchIndex == 1);
    }
}

// Guards against a voter with a bad link that deposes a working leader again and again.
TEST_CASE("no vote while a leader is heard")
{
    ConsensusState state = makeVoter(two);
    ConsensusActions actions;
    receive(state, one, AppendRequest{1, 0, 0, 0, 1, {}}, start, actions);
    logSynced(state, state.lastWrite, start, actions);
    actions.clear();
    receive(state, three, VoteRequest{9, 5, 5, true}, start + milliseconds(299), actions);
    receive(state, three, VoteRequest{9, 5, 5, false}, start + milliseconds(299), actions);
    REQUIRE(messagesOf<VoteReply>(actions).size() == 2);
    REQUIRE_FALSE(messagesOf<VoteReply>(actions)[0].granted);
    REQUIRE(state.term == 1);
    actions.clear();
    receive(state, three, VoteRequest{9, 5, 5, true}, start + milliseconds(300), actions);
    REQUIRE(messagesOf<VoteReply>(actions).at(0).granted);
    REQUIRE(state.term == 1);
}

TEST_CASE("a leader")
{
    TimePoint now{};
    ConsensusState state = makeLeader(now);
    ConsensusActions actions;

    // Guards against a commit that a power loss takes back.
    SECTION("counts only what is durable, its own entries included")
    {
        const std::vector payloads{payload()};
        REQUIRE(std::get<ProposalAccepted>(propose(state, payloads, now, actions)).index == 2);
        REQUIRE(messagesOf<AppendRequest>(actions).size() == 2);
        receive(state, two, AppendReply{1, state.round, true, 2}, now, actions);
        REQUIRE(state.commitIndex == 1);
        logSynced(state, state.lastWrite, now, actions);
        REQUIRE(state.commitIndex == 2);
    }
    // Guards against an isolated leader that keeps callers waiting and confirms old data.
    SECTION("steps down without a majority")
    {
        const auto read = requestRead(state, actions);
        for (int i = 0; i < 70; ++i) {
            now += milliseconds(10);
            tick(state, now, actions);
        }
        REQUIRE(state.role != VoterRole::Leader);
        REQUIRE(actionsOf<LostLeadership>(actions).size() == 1);
        REQUIRE(actionsOf<ReadRejected>(actions).at(0).readId == read);
        REQUIRE(std::get<ProposalRejected>(propose(state, {}, now, actions)).error == ProposalError::NotLeader);
    }
    // Guards against a renewal that rests on a reply from before the request.
    SECTION("confirms reads only by later replies")
    {
        const std::uint64_t before = state.round;
        const auto read = requestRead(state, actions);
        receive(state, two, AppendReply{1, before, true, 1}, now, actions);
        REQUIRE(actionsOf<ReadConfirmed>(actions).empty());
        tick(state, now, actions);
        REQUIRE(messagesOf<AppendRequest>(actions).back().round == before + 1);
        receive(state, two, AppendReply{1, before + 1, true, 1}, now, actions);
        REQUIRE(actionsOf<ReadConfirmed>(actions).at(0).readId == read);
    }
    // Guards against memory that grows while no majority answers.
    SECTION("rejects what it cannot hold")
    {
        const std::vector<SharedBytes> many(state.options.maximumUncommittedEntries + 1, payload());
        REQUIRE(std::get<ProposalRejected>(propose(state, many, now, actions)).error == ProposalError::Overloaded);
        const std::vector<SharedBytes> large{std::make_shared<const Bytes>(state.options.maximumEntryBytes + 1)};
        REQUIRE(std::get<ProposalRejected>(propose(state, large, now, actions)).error == ProposalError::TooLarge);
    }
    // Guards against a membership without voters, and members that are added twice.
    SECTION("checks membership changes")
    {
        REQUIRE(std::get<ProposalRejected>(proposeMember(state, {two, "", false}, now, actions)).error == ProposalError::AlreadyMember);
        REQUIRE(std::get<ProposalRejected>(proposeRemoval(state, VoterId{9}, now, actions)).error == ProposalError::UnknownMember);
    }
}

// Guards against an entry of an earlier term that counts as committed and is then replaced by another leader.
TEST_CASE("an earlier term is committed by an entry of the present one")
{
    DurableLog durable;
    durable.term = 2;
    durable.entries = {{1, 1, EntryKind::Command, payload(), {}}, {2, 1, EntryKind::Command, payload(), {}}};
    ConsensusState state = makeConsensus(one, {}, durable, {{one, "", false}, {two, "", false}, {three, "", false}}, 20261204, start);
    ConsensusActions actions;
    const TimePoint now = start + milliseconds(700);
    tick(state, now, actions);
    receive(state, two, VoteReply{3, true, true}, now, actions);
    logSynced(state, state.lastWrite, now, actions);
    receive(state, two, VoteReply{3, false, true}, now, actions);
    logSynced(state, state.lastWrite, now, actions);
    REQUIRE(state.role == VoterRole::Leader);
    receive(state, two, AppendReply{3, state.round, true, 2}, now, actions);
    REQUIRE(state.commitIndex == 0);
    receive(state, two, AppendReply{3, state.round, true, 3}, now, actions);
    REQUIRE(state.commitIndex == 3);
}

// Guards against an acknowledgement of new entries by the late report about the ones that they replaced.
TEST_CASE("a report about replaced entries does not count")
{
    ConsensusState state = makeVoter(two);
    ConsensusActions actions;
    std::vector<LogEntry> entries{{1, 1, EntryKind::Empty, nullptr, {}}, {2, 1, EntryKind::Command, payload(), {}}, {3, 1, EntryKind::Command, payload(), {}}};
    receive(state, one, AppendRequest{1, 0, 0, 0, 1, entries}, start, actions);
    const WriteNumber replaced = state.lastWrite;
    receive(state, three, AppendRequest{2, 1, 1, 0, 1, {{2, 2, EntryKind::Empty, nullptr, {}}}}, start, actions);
    REQUIRE(actionsOf<TruncateLog>(actions).at(0).from == 2);
    actions.clear();
    logSynced(state, state.voteWrite, start, actions);
    REQUIRE(state.voteWrite > replaced);
    REQUIRE(state.syncedIndex == 1);
    for (const AppendReply &reply : messagesOf<AppendReply>(actions)) {
        REQUIRE(reply.matchIndex <= 1);
    }
    logSynced(state, state.lastWrite, start, actions);
    REQUIRE(messagesOf<AppendReply>(actions).back().matchIndex == 2);
}

// Guards against entries that were acknowledged and vanish when a late snapshot arrives.
TEST_CASE("a late snapshot keeps the log behind it")
{
    ConsensusState state = makeVoter(two);
    ConsensusActions actions;
    std::vector<LogEntry> entries;
    for (LogIndex i = 1; i <= 5; ++i) {
        entries.push_back({i, 1, EntryKind::Command, payload(), {}});
    }
    receive(state, one, AppendRequest{1, 0, 0, 0, 1, entries}, start, actions);
    logSynced(state, state.lastWrite, start, actions);
    actions.clear();
    receive(state, one, SnapshotChunk{1, 1, {3, 1, {}}, 10, 0, Bytes(10)}, start, actions);
    REQUIRE(actionsOf<InstallSnapshot>(actions).empty());
    REQUIRE(lastIndex(state) == 5);
    REQUIRE(state.commitIndex == 3);
    REQUIRE(messagesOf<AppendReply>(actions).at(0).matchIndex == 5);
}
