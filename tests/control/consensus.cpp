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

/** Creates voter 1 as the leader of term 1 with all its writes durable; sets @p now to the time of its election. */
ConsensusState makeLeader(TimePoint &now)
{
    ConsensusState state = makeVoter(one);
    ConsensusActions actions;
    now = start + milliseconds(700); // after the longest election timeout
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

// Guards against waiting for the whole election timeout, 500 ms and more, although the connections to the leader are closed; and
// against an election while other voters still have contact with the leader.
TEST_CASE("a voter that loses the connections to its leader starts an election soon")
{
    constexpr Duration maximumDelay = milliseconds(100);
    ConsensusState state = makeVoter(two);
    ConsensusActions actions;
    TimePoint now = start + milliseconds(100);
    receive(state, one, AppendRequest{1, 0, 0, 0, 1, {}}, now, actions);
    logSynced(state, state.lastWrite, now, actions);
    REQUIRE(state.leader == one);
    actions.clear();

    SECTION("it sends pre-votes to the other voters")
    {
        voterDisconnected(state, one, maximumDelay, now);
        now += maximumDelay;
        tick(state, now, actions);
        REQUIRE(messagesOf<VoteRequest>(actions).size() == 2);
        CHECK(messagesOf<VoteRequest>(actions)[0].preVote);
    }
    SECTION("it starts no election when another voter disconnects")
    {
        voterDisconnected(state, three, maximumDelay, now);
        expediteElection(state, maximumDelay, now);
        now += maximumDelay;
        tick(state, now, actions);
        CHECK(messagesOf<VoteRequest>(actions).empty());
    }
    SECTION("it rejects pre-votes while it has contact with the leader")
    {
        receive(state, three, VoteRequest{2, 0, 0, true}, now, actions);
        REQUIRE(messagesOf<VoteReply>(actions).size() == 1);
        CHECK_FALSE(messagesOf<VoteReply>(actions)[0].granted);
    }
}

// Guards against a voter that loses in a crash a vote or entries that it has already reported to others.
TEST_CASE("messages are sent only after the vote is durable")
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

// Guards against a voter with a bad link that repeatedly deposes a working leader.
TEST_CASE("a voter in contact with a leader grants no vote")
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

    // Guards against a committed entry that is lost in a power failure.
    SECTION("commits only entries that are durable on a majority, counting its own disk")
    {
        const std::vector payloads{payload()};
        REQUIRE(std::get<ProposalAccepted>(propose(state, payloads, now, actions)).index == 2);
        REQUIRE(messagesOf<AppendRequest>(actions).size() == 2);
        receive(state, two, AppendReply{1, state.round, true, 2}, now, actions);
        REQUIRE(state.commitIndex == 1);
        logSynced(state, state.lastWrite, now, actions);
        REQUIRE(state.commitIndex == 2);
    }
    // Guards against an isolated leader that keeps callers waiting and confirms stale reads.
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
    // Guards against a read, such as a lease renewal, that is confirmed by a reply to a message sent before it was requested.
    SECTION("confirms reads only by replies to later messages")
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
    // Guards against memory that grows without bound while no majority answers.
    SECTION("rejects too many or too large proposals")
    {
        const std::vector<SharedBytes> many(state.options.maximumUncommittedEntries + 1, payload());
        REQUIRE(std::get<ProposalRejected>(propose(state, many, now, actions)).error == ProposalError::Overloaded);
        const std::vector<SharedBytes> large{std::make_shared<const Bytes>(state.options.maximumEntryBytes + 1)};
        REQUIRE(std::get<ProposalRejected>(propose(state, large, now, actions)).error == ProposalError::TooLarge);
    }
    // Guards against a member that missed many large entries and never catches up, since they fill the send queue of its link, which is then closed.
    SECTION("sends a silent member no more than its link can queue, and the rest as the member acknowledges it")
    {
        constexpr std::size_t linkQueueBytes = 8UL * 1024 * 1024;
        constexpr LogIndex entries = 20;
        const auto sentTo = [&actions](VoterId to) {
            std::size_t bytes = 0;
            LogIndex newest = 0;
            for (const SendToVoter &sent : actionsOf<SendToVoter>(actions)) {
                if (const auto *request = std::get_if<AppendRequest>(&sent.message); request != nullptr && sent.to == to) {
                    for (const LogEntry &entry : request->entries) {
                        bytes += entry.payload->size();
                        newest = std::max(newest, entry.index);
                    }
                }
            }
            return std::pair(bytes, newest);
        };
        for (LogIndex i = 0; i < entries; ++i) {
            const std::vector<SharedBytes> large{std::make_shared<const Bytes>(state.options.maximumEntryBytes)};
            REQUIRE(std::holds_alternative<ProposalAccepted>(propose(state, large, now, actions)));
        }
        CHECK(sentTo(three).first < linkQueueBytes);
        LogIndex acknowledged = 1;
        for (int round = 0; round < 100 && acknowledged <= entries; ++round) {
            const auto [bytes, newest] = sentTo(two);
            CHECK(bytes < linkQueueBytes);
            REQUIRE(newest > acknowledged);
            acknowledged = newest;
            actions.clear();
            receive(state, two, AppendReply{1, state.round, true, acknowledged}, now, actions);
        }
        CHECK(acknowledged == entries + 1);
    }
    // Guards against members that are added twice, and against the removal of members that do not exist.
    SECTION("checks membership changes")
    {
        REQUIRE(std::get<ProposalRejected>(proposeMember(state, {two, "", false}, now, actions)).error == ProposalError::AlreadyMember);
        REQUIRE(std::get<ProposalRejected>(proposeRemoval(state, VoterId{9}, now, actions)).error == ProposalError::UnknownMember);
    }
}

// Guards against an entry of an earlier term that is committed by its replica count alone and then replaced by another leader.
TEST_CASE("entries of an earlier term are committed by an entry of the current term")
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

// Guards against new entries that are acknowledged as durable when the sync of the entries that they replaced completes late.
TEST_CASE("a late sync of replaced entries does not acknowledge their replacements")
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

// Guards against acknowledged entries that are lost when a delayed snapshot of an earlier index arrives.
TEST_CASE("a delayed snapshot does not remove later entries")
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

// Guards against a log that nobody can continue.
TEST_CASE("the last voter of a log cannot be removed")
{
    ConsensusState state = makeConsensus(one, {}, {}, {{one, "", false}}, 20261204, start);
    ConsensusActions actions;
    const TimePoint now = start + milliseconds(700); // after the longest election timeout
    tick(state, now, actions);
    for (std::uint64_t write = 0; write != state.lastWrite;) {
        write = state.lastWrite;
        logSynced(state, write, now, actions);
    }
    REQUIRE(state.role == VoterRole::Leader);
    const ProposalResult alone = proposeRemoval(state, one, now, actions);
    REQUIRE(std::holds_alternative<ProposalRejected>(alone));
    CHECK(std::get<ProposalRejected>(alone).error == ProposalError::LastVoter);

    SECTION("not even beside a learner, which has no vote")
    {
        REQUIRE(std::holds_alternative<ProposalAccepted>(proposeMember(state, {two, "", true}, now, actions)));
        logSynced(state, state.lastWrite, now, actions);
        const ProposalResult result = proposeRemoval(state, one, now, actions);
        REQUIRE(std::holds_alternative<ProposalRejected>(result));
        CHECK(std::get<ProposalRejected>(result).error == ProposalError::LastVoter);
    }
}
