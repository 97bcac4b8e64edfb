#include "simulation.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace mimosahollow;
using namespace mimosahollow::test;

namespace {

constexpr std::uint64_t firstSeed = 20261204;

std::shared_ptr<const Configuration> bundle(Version version)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->baseModels = {"base"};
    configuration->domains = {{DomainId{1}, "a", 0.5, false}, {DomainId{2}, "b", 0.5, false}};
    configuration->organisations = {{OrganisationId{1}, "one", 100, 1000, 1}};
    return configuration;
}

CommandBody applyBundle(Version expected, const std::string &author)
{
    return ApplyBundle{expected, bundle(expected + 1), author, "approver", {}};
}

CommandBody grantKey(std::uint64_t number)
{
    KeyHash hash{};
    for (std::size_t i = 0; i < 8; ++i) {
        hash[i] = static_cast<std::uint8_t>(number >> (8 * i));
    }
    return GrantKey{"key" + std::to_string(number), "one", hash};
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

/** Runs random faults and client operations for some seconds, then removes all faults so that the fleet can settle. */
class RandomFaultRun
{
public:
    explicit RandomFaultRun(const SimulationOptions &options) : simulation(options), m_options(options)
    {
    }

    void run(unsigned rounds)
    {
        simulation.submit(0, applyBundle(0, "first"));
        for (unsigned round = 0; round < rounds; ++round) {
            // The voters need time for an election between two faults, otherwise nothing is committed.
            if (round % 4 == 0) {
                injectFault();
            }
            for (unsigned client = 1; client <= 6; ++client) {
                submitOperation(client);
            }
            simulation.runFor(milliseconds(20 + simulation.random() % 200));
        }
        simulation.restoreLinks();
        simulation.setFaults(0, 0);
        for (unsigned id = 1; id <= m_options.voters; ++id) {
            simulation.start(static_cast<VoterId>(id));
        }
    }

    /** Runs until all operations are answered and all voters have the same state. Returns false if that takes over 60 s. */
    bool settle(Duration limit = seconds(60))
    {
        return simulation.runUntil(
            [this] {
                return simulation.allDone() && simulation.isSettled();
            },
            limit);
    }

    Simulation simulation;

private:
    VoterId randomVoter()
    {
        return static_cast<VoterId>(1 + simulation.random() % m_options.voters);
    }

    void injectFault()
    {
        switch (simulation.random() % 12) {
        case 0:
            simulation.crash(randomVoter());
            break;
        case 1:
        case 2:
            simulation.crashDuringDiskOperation(randomVoter(), 1 + simulation.random() % 30);
            break;
        case 3: { // one voter isolated
            const VoterId isolated = randomVoter();
            for (unsigned id = 1; id <= m_options.voters; ++id) {
                simulation.cutLink(isolated, static_cast<VoterId>(id));
                simulation.cutLink(static_cast<VoterId>(id), isolated);
            }
            break;
        }
        case 4: // a link that fails in one direction
            simulation.cutLink(randomVoter(), randomVoter());
            break;
        case 5: // power loss of a majority at once
            for (unsigned id = 1; id <= m_options.voters / 2 + 1; ++id) {
                simulation.crash(static_cast<VoterId>(id));
            }
            break;
        case 6:
        case 7:
        case 8:
            simulation.restoreLinks();
            break;
        case 9:
            simulation.fillDisk(randomVoter(), simulation.random() % 300, milliseconds(100 + simulation.random() % 2000));
            break;
        default:
            break;
        }
    }

    void submitOperation(unsigned client)
    {
        auto &last = m_last[client];
        if (last && !simulation.operation(*last).done) {
            return;
        }
        if (last && simulation.operation(*last).isRead) {
            m_version = std::max(m_version, simulation.operation(*last).version);
        }
        switch (simulation.random() % 5) {
        case 0:
            last = simulation.submit(client, applyBundle(m_version, "client" + std::to_string(client)));
            break;
        case 1:
            last = simulation.submit(client, grantKey(++m_keys));
            break;
        case 2:
            last = simulation.submit(client, WithdrawKey{"key" + std::to_string(1 + simulation.random() % (m_keys + 1))});
            break;
        default:
            last = simulation.submitRead(client);
            break;
        }
    }

    SimulationOptions m_options;
    std::map<unsigned, std::optional<std::size_t>> m_last;
    Version m_version = 0;
    std::uint64_t m_keys = 0;
};

void runRandomFaults(unsigned voters)
{
    constexpr unsigned runs = 200;
    LogIndex committed = 0;
    std::uint64_t installed = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + runs; ++seed) {
        CAPTURE(voters, seed);
        SimulationOptions options;
        options.seed = seed;
        options.voters = voters;
        RandomFaultRun faultRun(options);
        faultRun.run(120);
        const bool settled = faultRun.settle();
        faultRun.simulation.checkHistory();
        INFO(joinLines(faultRun.simulation.violations()));
        REQUIRE(faultRun.simulation.violations().empty());
        REQUIRE(settled);
        committed += faultRun.simulation.committed();
        installed += faultRun.simulation.installedSnapshots;
    }
    std::cout << "voters " << voters << ", seeds from " << firstSeed << ": " << runs << " runs, " << committed << " entries committed, " << installed
              << " snapshots installed\n";
    // With fewer entries or no installed snapshots the runs would check too little.
    REQUIRE(committed > runs * 50);
    REQUIRE(installed > 0);
}

} // namespace

// Guards against two leaders in one term, committed entries that are lost or changed, and results that are not linearizable.
// Faults: lost, duplicated and reordered messages, partitions, one-way links, crashes, and loss of writes that were not synced.
TEST_CASE("3 voters agree under random faults")
{
    runRandomFaults(3);
}

// Same as above with a majority of three voters.
TEST_CASE("5 voters agree under random faults")
{
    runRandomFaults(5);
}

// Guards against a checker that misses violations: each of these deliberate faults is known to lose data.
TEST_CASE("the checker finds deliberate faults")
{
    SimulationOptions options;
    SECTION("entries acknowledged before they are durable")
    {
        options.acknowledgesEntriesBeforeSync = true;
    }
    SECTION("votes acknowledged before they are durable")
    {
        options.acknowledgesVoteBeforeSync = true;
    }
    unsigned found = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + 60 && found == 0; ++seed) {
        options.seed = seed;
        options.maximumSyncDelay = milliseconds(60);
        RandomFaultRun faultRun(options);
        faultRun.run(120);
        // A fleet that has lost entries may never settle; a minute of that takes four minutes with the address sanitizer.
        faultRun.settle(seconds(2));
        faultRun.simulation.checkHistory();
        found += faultRun.simulation.violations().empty() ? 0 : 1;
    }
    REQUIRE(found > 0);
}

// Guards against changes that are lost in a restart of all voters, and against a retried command that gets another result after it.
TEST_CASE("a fleet restarts after 500 changes")
{
    SimulationOptions options;
    options.seed = firstSeed;
    Simulation simulation(options);
    const auto settled = [&simulation] {
        return simulation.allDone() && simulation.isSettled();
    };
    simulation.submit(1, applyBundle(0, "first"));
    REQUIRE(simulation.runUntil(settled, seconds(20)));
    std::vector<std::size_t> operations;
    for (std::uint64_t i = 1; i <= 500; ++i) {
        operations.push_back(simulation.submit(1, grantKey(i)));
        if (i % 50 == 0) {
            REQUIRE(simulation.runUntil(settled, seconds(20)));
        }
    }
    for (unsigned id = 1; id <= 3; ++id) {
        simulation.crash(static_cast<VoterId>(id), false);
    }
    for (unsigned id = 1; id <= 3; ++id) {
        simulation.start(static_cast<VoterId>(id));
    }
    const auto read = simulation.submitRead(2);
    REQUIRE(simulation.runUntil(settled, seconds(20)));
    REQUIRE(simulation.operation(read).keys.size() == 500);

    SECTION("a retried command gets its original result")
    {
        ControlState &state = simulation.leader()->state;
        for (const std::size_t number : operations) {
            const Operation &operation = simulation.operation(number);
            REQUIRE(apply(state, state.appliedIndex + 1, operation.command) == operation.result);
        }
        REQUIRE(state.configuration.keys.size() == 500);
        REQUIRE_FALSE(firstBrokenRecord(state.audit));
    }
    REQUIRE(joinLines(simulation.violations()).empty());
}

// Guards against data loss when a voter fails right after a failed voter was replaced: the new member must have all entries.
TEST_CASE("a second voter fails after the first was replaced")
{
    SimulationOptions options;
    options.seed = GENERATE(range(firstSeed, firstSeed + 20));
    CAPTURE(options.seed);
    Simulation simulation(options);
    const auto settled = [&simulation] {
        return simulation.allDone() && simulation.isSettled();
    };
    simulation.submit(1, applyBundle(0, "first"));
    REQUIRE(simulation.runUntil(settled, seconds(20)));
    for (std::uint64_t i = 1; i <= 100; ++i) {
        simulation.submit(1, grantKey(i));
    }
    REQUIRE(simulation.runUntil(settled, seconds(20)));
    simulation.crash(VoterId{1}, false);
    REQUIRE(simulation.runUntil(
        [&simulation] {
            return simulation.leader() != nullptr && simulation.leader()->consensus.commitIndex >= simulation.leader()->consensus.termStart;
        },
        seconds(20)));

    simulation.addNode(VoterId{4});
    simulation.start(VoterId{4});
    const auto addVoter4 = [](ConsensusState &state, TimePoint now, ConsensusActions &actions) {
        return proposeMember(state, {VoterId{4}, "10.0.0.4:7000", false}, now, actions);
    };
    REQUIRE(std::holds_alternative<ProposalAccepted>(simulation.change(addVoter4)));
    REQUIRE(std::get<ProposalRejected>(simulation.change(addVoter4)).error == ProposalError::ChangeInProgress);
    const auto voter4IsPromoted = [&simulation] {
        const auto *leader = simulation.leader();
        return leader != nullptr && leader->consensus.membersIndex <= leader->consensus.commitIndex && leader->consensus.members.size() == 4
               && !leader->consensus.members.back().learner;
    };
    REQUIRE(simulation.runUntil(voter4IsPromoted, seconds(20)));
    const auto removeVoter1 = [](ConsensusState &state, TimePoint now, ConsensusActions &actions) {
        return proposeRemoval(state, VoterId{1}, now, actions);
    };
    REQUIRE(std::holds_alternative<ProposalAccepted>(simulation.change(removeVoter1)));
    REQUIRE(simulation.runUntil(
        [&simulation] {
            const auto *leader = simulation.leader();
            return leader != nullptr && leader->consensus.members.size() == 3 && leader->consensus.membersIndex <= leader->consensus.commitIndex;
        },
        seconds(20)));
    simulation.crash(GENERATE(VoterId{2}, VoterId{3}), false);
    const auto read = simulation.submitRead(2);
    REQUIRE(simulation.runUntil(
        [&simulation] {
            return simulation.allDone();
        },
        seconds(20)));
    REQUIRE(simulation.operation(read).keys.size() == 100);
    simulation.checkHistory();
    REQUIRE(joinLines(simulation.violations()).empty());
}

// Guards against two bundles that are accepted for the same version, and against a conflict message that does not name the author
// of the accepted bundle.
TEST_CASE("concurrent bundles for one version: exactly one is accepted")
{
    SimulationOptions options;
    options.seed = GENERATE(range(firstSeed, firstSeed + 20));
    CAPTURE(options.seed);
    Simulation simulation(options);
    std::vector<std::size_t> operations;
    for (unsigned client = 1; client <= 5; ++client) {
        operations.push_back(simulation.submit(client, applyBundle(0, "author" + std::to_string(client))));
    }
    REQUIRE(simulation.runUntil(
        [&simulation] {
            return simulation.allDone();
        },
        seconds(20)));
    std::string winner;
    for (const std::size_t number : operations) {
        const Operation &operation = simulation.operation(number);
        if (operation.result.outcome == CommandOutcome::Accepted) {
            REQUIRE(winner.empty());
            winner = std::get<ApplyBundle>(operation.command.body).author;
        }
    }
    REQUIRE_FALSE(winner.empty());
    for (const std::size_t number : operations) {
        const CommandResult &result = simulation.operation(number).result;
        REQUIRE((result.outcome == CommandOutcome::Accepted || result.message.find("by " + winner + " with hash 00") != std::string::npos));
    }
}

// Guards against a voter that is out for good after its disk was full for a while, so that the second such disk leaves no majority.
TEST_CASE("disks that are full one after the other stop no changes")
{
    SimulationOptions options;
    options.seed = firstSeed;
    INFO("seed " << options.seed);
    Simulation simulation(options);
    std::uint64_t keys = 0;
    const auto commitWithin = [&](Duration limit) {
        const std::size_t operation = simulation.submit(1, grantKey(++keys));
        return simulation.runUntil(
            [&] {
                return simulation.operation(operation).done;
            },
            limit);
    };
    simulation.submit(0, applyBundle(0, "first"));
    REQUIRE(commitWithin(seconds(5)));
    for (unsigned round = 0; round < 9; ++round) {
        // The leader each third time, since it is the one that has to give up.
        const VoterId full = round % 3 == 0 && simulation.leader() != nullptr ? simulation.leader()->id : static_cast<VoterId>(1 + round % 3);
        CAPTURE(round, static_cast<unsigned>(full));
        simulation.fillDisk(full, round * 37, seconds(4));
        REQUIRE(commitWithin(seconds(3)));
        REQUIRE(commitWithin(seconds(1)));
        REQUIRE((simulation.leader() == nullptr || simulation.leader()->id != full));
        simulation.runFor(seconds(5));
        REQUIRE_FALSE(simulation.node(full).consensus.isStorageSuspended);
        REQUIRE(simulation.runUntil(
            [&] {
                return simulation.isSettled();
            },
            seconds(5)));
    }
    simulation.checkHistory();
    INFO(joinLines(simulation.violations()));
    REQUIRE(simulation.violations().empty());
}

// Guards against an acknowledgement, a vote or a leadership that rests on a record which the disk has refused.
TEST_CASE("a leader whose disk refuses a write gives up at once and acknowledges nothing that is not durable")
{
    ConsensusOptions options;
    const Membership members{{VoterId{1}, "10.0.0.1:7000", false}, {VoterId{2}, "10.0.0.2:7000", false}, {VoterId{3}, "10.0.0.3:7000", false}};
    const TimePoint start{seconds(1000)};
    TimePoint now = start;
    ConsensusActions actions;
    ConsensusState state = makeConsensus(VoterId{1}, options, {}, members, firstSeed, now);
    const auto sent = [&actions](auto isWanted) {
        return std::count_if(actions.begin(), actions.end(), [&](const ConsensusAction &action) {
            const auto *message = std::get_if<SendToVoter>(&action);
            return message != nullptr && isWanted(message->message);
        });
    };
    const auto isAnyMessage = [](const ConsensusMessage &) {
        return true;
    };
    now += options.electionTimeoutMaximum;
    tick(state, now, actions);
    receive(state, VoterId{2}, VoteReply{1, true, true}, now, actions);
    logSynced(state, state.lastWrite, now, actions);
    receive(state, VoterId{2}, VoteReply{1, false, true}, now, actions);
    REQUIRE(state.role == VoterRole::Leader);
    logSynced(state, state.lastWrite, now, actions);
    receive(state, VoterId{2}, AppendReply{1, 1, true, 1}, now, actions);
    const auto payload = std::make_shared<const Bytes>(Bytes(10, 1));
    static_cast<void>(propose(state, std::span(&payload, 1), now, actions));
    const WriteNumber refused = state.lastWrite;
    actions.clear();
    storageSuspended(state, now, actions);
    REQUIRE(state.role == VoterRole::Follower);
    REQUIRE(std::any_of(actions.begin(), actions.end(), [](const ConsensusAction &action) {
        return std::holds_alternative<LostLeadership>(action);
    }));

    SECTION("it doesn't stand for election until its disk has room")
    {
        actions.clear();
        now += 10 * options.electionTimeoutMaximum;
        tick(state, now, actions);
        REQUIRE(actions.empty());
        logSynced(state, refused, now, actions);
        storageResumed(state, now);
        now += options.electionTimeoutMaximum;
        tick(state, now, actions);
        REQUIRE(state.role == VoterRole::PreCandidate);
    }
    SECTION("it confirms a leader of its term, but only the entries that are durable")
    {
        actions.clear();
        // Voter 2 has the entry and leads in a later term, which can't be made durable here.
        receive(state, VoterId{2}, AppendRequest{2, 2, 1, 1, 1, {LogEntry{3, 2, EntryKind::Empty, nullptr, {}}}}, now, actions);
        REQUIRE(sent(isAnyMessage) == 0);
        REQUIRE(state.deferredMessages.empty());
        logSynced(state, state.lastWrite, now, actions);
        storageResumed(state, now);
        REQUIRE(sent([](const ConsensusMessage &message) {
                    const auto *reply = std::get_if<AppendReply>(&message);
                    return reply != nullptr && reply->accepted && reply->matchIndex == 3;
                })
                == 1);
    }
    SECTION("it gives no vote that is not durable")
    {
        actions.clear();
        now += options.electionTimeoutMaximum;
        receive(state, VoterId{3}, VoteRequest{2, 5, 1, false}, now, actions);
        REQUIRE(sent(isAnyMessage) == 0);
        REQUIRE(state.vote == VoterId{3});
    }
}
