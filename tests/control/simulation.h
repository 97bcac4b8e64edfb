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
    double loss = 0.02; /**< Probability that a message is lost. */
    double duplication = 0.02; /**< Probability that a message is delivered twice. */
    Duration maximumMessageDelay = milliseconds(8); /**< Each message gets a random delay up to this, so messages are reordered. */
    Duration maximumSyncDelay = milliseconds(4);
    LogIndex snapshotInterval = 25; /**< Applied entries between two snapshots. */
    bool acknowledgesEntriesBeforeSync = false; /**< Deliberate fault: log entries are reported durable before they are. */
    bool acknowledgesVoteBeforeSync = false; /**< Deliberate fault: the vote is reported durable before it is. */
};

/** A command or read of a client, and its result. */
struct Operation
{
    unsigned client = 0;
    bool isRead = false;
    Command command;
    TimePoint invoked{};
    TimePoint answered{};
    bool done = false;
    LogIndex index = 0; /**< Log index at which the operation takes effect. */
    CommandResult result;
    std::map<std::string, bool> keys; /**< Reads only: names of the API keys in the configuration. */
    Version version = 0; /**< Reads only: version of the configuration. */
};

/**
 * Discrete-event simulation of voters with simulated disks, network and clients. The seed determines the whole run.
 */
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
        std::uint64_t incarnation = 0; /**< Changes at each start and crash; events of an earlier incarnation are dropped. */
        std::vector<storage::StorageWrite> unflushedWrites;
        bool flushScheduled = false;
        std::vector<storage::StorageWrite> refusedWrites; /**< Wait for room on the disk. */
        LogIndex lastSnapshotIndex = 0;
        std::map<LogIndex, std::pair<Term, std::size_t>> proposals; /**< By log index: term of the entry and number of the operation that waits for it. */
        std::map<std::uint64_t, std::size_t> reads; /**< By read id: number of the operation that waits for it. */
        Membership firstMembers;
    };

    explicit Simulation(const SimulationOptions &options);

    void runFor(Duration duration);
    /** Runs until @p condition holds. Returns false if it does not within @p limit of simulated time. */
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    void crash(VoterId id, bool restarts = true);
    /** Lets the voter crash in the middle of a disk operation, the one @p steps operations from now. */
    void crashDuringDiskOperation(VoterId id, std::uint64_t steps);
    /** The disk takes @p bytes more, and nothing after them for @p duration. */
    void fillDisk(VoterId id, std::size_t bytes, Duration duration);
    void start(VoterId id);
    Node &addNode(VoterId id);
    void cutLink(VoterId from, VoterId to);
    void restoreLinks();
    void setFaults(double loss, double duplication);

    /** Sends a command of @p client to random voters, always with the same command id, until it gets an answer. Returns the operation's number. */
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
    /** Returns true if there is a leader and every running member has applied all committed entries and has no others. */
    [[nodiscard]] bool isSettled();
    /** Calls @p proposal on the current leader. */
    ProposalResult change(const std::function<ProposalResult(ConsensusState &, TimePoint, ConsensusActions &)> &proposal);

    /** Checks that the results seen by the clients are linearizable: replays the log sequentially and compares the results and their order in time. */
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
    void finishFlush(Node &node, std::vector<storage::StorageWrite> writes, const std::optional<storage::StorageError> &error);
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

    std::map<Term, VoterId> m_leaders; /**< Leader elected in each term. */
    std::map<LogIndex, std::pair<Term, Bytes>> m_committed; /**< Term and content of each entry that a voter has applied. */
    std::map<LogIndex, Bytes> m_states; /**< Encoded state after every few entries; must be the same on every voter. */
    std::map<CommandId, LogIndex> m_firstIndex; /**< Index of the first entry of each command; later ones are retries. */
    std::vector<std::string> m_violations;
};

} // namespace mimosahollow::test
