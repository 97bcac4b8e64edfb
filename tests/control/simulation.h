#pragma once

#include "mimosahollow/control/consensus.h"
#include "mimosahollow/control/controlstate.h"
#include "mimosahollow/control/snapshot.h"
#include "mimosahollow/link/controlcodec.h"
#include "mimosahollow/storage/logstore.h"

#include "support/memoryfilesystem.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace mimosahollow::test {

using namespace control;

struct SimulationOptions
{
    std::uint64_t seed = 1;
    unsigned voters = 3;
    double loss = 0.02; /**< Part of the messages that get lost. */
    double duplication = 0.02;
    Duration maximumMessageDelay = milliseconds(8); /**< Of a message; different delays reorder. */
    Duration maximumSyncDelay = milliseconds(4);
    LogIndex snapshotInterval = 25; /**< Entries between snapshots. */
    bool acknowledgesEntriesBeforeSync = false; /**< The deliberate fault that the checker must find. */
    bool acknowledgesVoteBeforeSync = false; /**< Another one: the vote is reported durable before it is. */
};

/** What a client asked for and what became of it. */
struct Operation
{
    unsigned client = 0;
    bool isRead = false;
    Command command;
    TimePoint invoked{};
    TimePoint answered{};
    bool done = false;
    LogIndex index = 0; /**< Place in the order of the log. */
    CommandResult result;
    std::map<std::string, bool> keys; /**< For reads: keys in force. */
    Version version = 0; /**< For reads: version in force. */
};

/** Voters on fake disks, a fake network and clients, driven by a queue of events. Everything follows from the seed. */
class Simulation
{
public:
    struct Node
    {
        VoterId id{};
        MemoryFileSystem files;
        std::unique_ptr<storage::LogStore> store;
        ConsensusState consensus;
        ControlState state;
        bool running = false;
        std::uint64_t incarnation = 0; /**< Counts restarts; events of an earlier life are dropped. */
        std::vector<storage::StorageWrite> unflushedWrites;
        bool flushScheduled = false;
        LogIndex lastSnapshotIndex = 0;
        std::map<LogIndex, std::pair<Term, std::size_t>> proposals; /**< Operations waiting for their entry. */
        std::map<std::uint64_t, std::size_t> reads;
        Membership firstMembers;
    };

    explicit Simulation(const SimulationOptions &options);

    void runFor(Duration duration);
    /** Runs until @p condition holds; false when it does not within @p limit. */
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    void crash(VoterId id, bool restarts = true);
    /** Crashes in the middle of the @p steps th next operation on the disk. */
    void crashDuringDiskOperation(VoterId id, std::uint64_t steps);
    void start(VoterId id);
    Node &addNode(VoterId id);
    void cutLink(VoterId from, VoterId to);
    void restoreLinks();
    void setFaults(double loss, double duplication);

    /** The client asks @p target or, after no answer, others, under the same command id. */
    std::size_t submit(unsigned client, CommandBody body);
    std::size_t submitRead(unsigned client);
    [[nodiscard]] const Operation &operation(std::size_t number) const
    {
        return m_operations[number];
    }
    [[nodiscard]] bool allDone() const;

    [[nodiscard]] Node *leader();
    [[nodiscard]] Node &node(VoterId id)
    {
        return *m_nodes.at(id);
    }
    /** Every running voter has applied the same entries, and a leader exists. */
    [[nodiscard]] bool isSettled();
    ProposalResult change(const std::function<ProposalResult(ConsensusState &, TimePoint, ConsensusActions &)> &proposal);

    /** Checks the history of the clients against a sequential run in the order of the log. */
    void checkHistory();

    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    [[nodiscard]] LogIndex committed() const
    {
        return m_committed.empty() ? 0 : m_committed.rbegin()->first;
    }
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    std::mt19937_64 random;
    std::uint64_t installedSnapshots = 0;

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void schedule(Duration delay, std::function<void()> run);
    void scheduleFor(Node &node, Duration delay, std::function<void(Node &)> run);
    void tickNode(Node &node);
    void process(Node &node, ConsensusActions actions);
    void sendMessage(const Node &node, const SendToVoter &action);
    void applyEntries(Node &node, const std::vector<LogEntry> &entries);
    void finishProposals(Node &node, LogIndex index, Term term, const CommandResult &result);
    void install(Node &node, const InstallSnapshot &action);
    void scheduleFlush(Node &node);
    void flush(Node &node);
    void attempt(std::size_t number, unsigned tries);
    void answer(std::size_t number, const std::function<void(Operation &)> &fill);
    void checkLeader(Node &node, Term term);
    void violation(std::string text);
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] Duration delay(Duration longest);

    SimulationOptions m_options;
    TimePoint m_now{seconds(1000)};
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<Event> m_events;
    std::map<VoterId, std::unique_ptr<Node>> m_nodes;
    std::map<std::pair<VoterId, VoterId>, bool> m_cutLinks;
    std::vector<Operation> m_operations;
    std::uint64_t m_lastCommand = 0;

    std::map<Term, VoterId> m_leaders;
    std::map<LogIndex, std::pair<Term, Bytes>> m_committed;
    std::map<LogIndex, Bytes> m_states; /**< Encoded state after some entries; the same on every voter. */
    std::map<CommandId, LogIndex> m_firstIndex;
    std::vector<std::string> m_violations;
};

} // namespace mimosahollow::test
