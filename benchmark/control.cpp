#include "mimosahollow/control/consensus.h"
#include "mimosahollow/control/controlstate.h"
#include "mimosahollow/control/snapshot.h"
#include "mimosahollow/link/controlcodec.h"
#include "mimosahollow/storage/logwriter.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <future>
#include <iostream>
#include <malloc.h>
#include <map>
#include <thread>

// Control state on real files: acknowledged changes with three voters, recovery, and the memory of a follower.
// Usage: benchmark_control [FOLDER]; the folder decides which disk is measured.

using namespace mimosahollow;
using namespace mimosahollow::control;

namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned voterCount = 3;
constexpr std::uint32_t followerAdapters = 93'000;
constexpr std::uint64_t seed = 20261204;

double microseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

double percentile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

[[noreturn]] void stop(const std::string &message)
{
    std::cerr << "benchmark_control: " << message << '\n';
    std::exit(1);
}

std::shared_ptr<const Configuration> baseBundle()
{
    auto bundle = std::make_shared<Configuration>();
    bundle->version = 1;
    bundle->baseModels = {"base"};
    bundle->domains = {{DomainId{1}, "a", 1, false}};
    bundle->organisations = {{OrganisationId{1}, "one", 100, 1000, 1}};
    return bundle;
}

Command makeCommand(std::uint64_t number, CommandBody body)
{
    return {{seed, number}, static_cast<std::int64_t>(number), "benchmark", std::move(body)};
}

Command rateChange(std::uint64_t number)
{
    return makeCommand(number, SetRate{"one", static_cast<double>(number), 1000});
}

/** One voter: a control thread with its ring, and a storage thread. */
class Voter
{
public:
    struct Message
    {
        VoterId from{};
        Bytes bytes;
    };
    struct Proposal
    {
        Bytes command;
        std::shared_ptr<std::promise<void>> applied;
    };
    using Input = std::variant<Message, Proposal, storage::StorageEvent>;

    Voter(VoterId id, const std::string &folder, std::array<Voter *, voterCount> &voters) : m_id(id), m_voters(voters), m_files(storage::posixFileSystem())
    {
        auto opened = storage::LogStore::open(*m_files, folder);
        if (const auto *error = std::get_if<storage::StorageError>(&opened)) {
            stop(error->message);
        }
        auto &log = std::get<storage::OpenedLog>(opened);
        Membership members;
        for (unsigned i = 1; i <= voterCount; ++i) {
            members.push_back({static_cast<VoterId>(i), "", false});
        }
        m_consensus = makeConsensus(id, {}, std::move(log.content), members, seed + static_cast<unsigned>(id), Clock::now());
        m_writer = std::make_unique<storage::LogWriter>(std::move(log.store), ringSize, [this](storage::StorageEvent event) {
            push(std::move(event));
        });
    }

    void start()
    {
        m_thread = std::thread([this] {
            run();
        });
    }

    void end()
    {
        m_stop = true;
        m_thread.join();
        m_writer.reset();
    }

    void push(Input input)
    {
        while (!m_ring.tryPush(input)) {
            std::this_thread::yield();
        }
    }

    [[nodiscard]] bool leads() const
    {
        return m_leads;
    }

private:
    static constexpr std::size_t ringSize = 65'536;

    void run()
    {
        std::vector<Input> inputs;
        while (!m_stop) {
            inputs.clear();
            m_ring.waitAndTake(inputs, std::chrono::milliseconds(5));
            ConsensusActions actions;
            std::vector<SharedBytes> payloads;
            std::vector<std::shared_ptr<std::promise<void>>> waiting;
            for (Input &input : inputs) {
                if (auto *message = std::get_if<Message>(&input)) {
                    receive(m_consensus, message->from, std::get<ConsensusMessage>(link::decodeConsensusMessage(message->bytes)), Clock::now(), actions);
                } else if (auto *proposal = std::get_if<Proposal>(&input)) {
                    payloads.push_back(std::make_shared<const Bytes>(std::move(proposal->command)));
                    waiting.push_back(std::move(proposal->applied));
                } else {
                    handle(std::get<storage::StorageEvent>(input), actions);
                }
            }
            propose(payloads, waiting, actions);
            tick(m_consensus, Clock::now(), actions);
            process(actions);
            m_leads = m_consensus.role == VoterRole::Leader && m_consensus.commitIndex >= m_consensus.termStart;
        }
    }

    void propose(const std::vector<SharedBytes> &payloads, const std::vector<std::shared_ptr<std::promise<void>>> &waiting, ConsensusActions &actions)
    {
        if (payloads.empty()) {
            return;
        }
        const auto result = control::propose(m_consensus, payloads, Clock::now(), actions);
        const auto *accepted = std::get_if<ProposalAccepted>(&result);
        if (accepted == nullptr) {
            stop("a proposal was rejected");
        }
        LogIndex index = accepted->index - payloads.size();
        for (const auto &promise : waiting) {
            m_waiting[++index] = promise;
        }
    }

    void handle(const storage::StorageEvent &event, ConsensusActions &actions)
    {
        if (const auto *synced = std::get_if<storage::StorageSynced>(&event)) {
            logSynced(m_consensus, synced->write, Clock::now(), actions);
        } else if (const auto *failed = std::get_if<storage::StorageFailed>(&event)) {
            stop(failed->error.message);
        }
    }

    void process(ConsensusActions &actions)
    {
        // Messages first: the other voters write while this one does.
        for (const ConsensusAction &action : actions) {
            if (const auto *send = std::get_if<SendToVoter>(&action)) {
                m_voters[static_cast<std::size_t>(send->to) - 1]->push(Message{m_id, link::encode(send->message)});
            }
        }
        for (ConsensusAction &action : actions) {
            if (auto *vote = std::get_if<SaveVote>(&action)) {
                order(*vote);
            } else if (auto *append = std::get_if<AppendLog>(&action)) {
                order(std::move(*append));
            } else if (auto *truncate = std::get_if<TruncateLog>(&action)) {
                order(*truncate);
            } else if (auto *apply = std::get_if<ApplyEntries>(&action)) {
                applyEntries(apply->entries);
            } else if (std::holds_alternative<LostLeadership>(action)) {
                stop("the leader lost its leadership");
            }
        }
    }

    void order(storage::StorageWrite order)
    {
        while (!m_writer->tryPush(order)) {
            std::this_thread::yield();
        }
    }

    void applyEntries(const std::vector<LogEntry> &entries)
    {
        for (const LogEntry &entry : entries) {
            if (entry.kind == EntryKind::Command) {
                static_cast<void>(control::apply(m_state, entry.index, std::get<Command>(link::decodeCommand(*entry.payload))));
            } else {
                skipEntry(m_state, entry.index);
            }
            const auto found = m_waiting.find(entry.index);
            if (found != m_waiting.end()) {
                found->second->set_value();
                m_waiting.erase(found);
            }
        }
    }

    VoterId m_id;
    std::array<Voter *, voterCount> &m_voters;
    std::unique_ptr<storage::FileSystem> m_files;
    ConsensusState m_consensus;
    ControlState m_state;
    BoundedRing<Input> m_ring{ringSize};
    std::unique_ptr<storage::LogWriter> m_writer;
    std::map<LogIndex, std::shared_ptr<std::promise<void>>> m_waiting;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_leads{false};
    std::thread m_thread;
};

std::future<void> submit(Voter &leader, const Command &command)
{
    auto promise = std::make_shared<std::promise<void>>();
    auto future = promise->get_future();
    leader.push(Voter::Proposal{link::encode(command), std::move(promise)});
    return future;
}

void waitFor(std::future<void> &future)
{
    if (future.wait_for(std::chrono::seconds(20)) != std::future_status::ready) {
        stop("a change was not acknowledged within 20 s");
    }
}

/** Takes turns between a plain write with fsync and an acknowledged change, so that both see the same disk. */
void measureLatency(Voter &leader, const std::string &folder, std::uint64_t &number)
{
    constexpr int rounds = 1000;
    const auto files = storage::posixFileSystem();
    const auto opened = files->openAppend(folder + "/plain");
    const auto &file = std::get<std::unique_ptr<storage::AppendFile>>(opened);
    const Bytes data(link::encode(rateChange(1)).size() + 57); // what a record adds to its command
    std::vector<double> plain;
    std::vector<double> changes;
    for (int i = 0; i < rounds; ++i) {
        const auto start = Clock::now();
        if (file->write(data).index() != 0 || file->sync().index() != 0) {
            stop("the plain write failed");
        }
        plain.push_back(microseconds(Clock::now() - start));
        const auto begin = Clock::now();
        auto future = submit(leader, rateChange(++number));
        waitFor(future);
        changes.push_back(microseconds(Clock::now() - begin));
    }
    const double ratio = percentile(changes, 0.5) / percentile(plain, 0.5);
    std::cout << "write and fsync of " << data.size() << " bytes: median " << percentile(plain, 0.5) << " us, p99 " << percentile(plain, 0.99) << " us\n"
              << "acknowledged change, 3 voters: median " << percentile(changes, 0.5) << " us, p99 " << percentile(changes, 0.99) << " us, " << ratio
              << " x fsync (target at most 2)\n";
}

void measureRate(Voter &leader, std::uint64_t &number)
{
    constexpr std::size_t outstanding = 64;
    constexpr int changes = 10'000;
    std::deque<std::future<void>> futures;
    const auto start = Clock::now();
    for (int i = 0; i < changes; ++i) {
        futures.push_back(submit(leader, rateChange(++number)));
        if (futures.size() >= outstanding) {
            waitFor(futures.front());
            futures.pop_front();
        }
    }
    for (auto &future : futures) {
        waitFor(future);
    }
    const double duration = toSeconds(Clock::now() - start);
    std::cout << "changes with " << outstanding << " outstanding: " << changes / duration << " per second (target 1000)\n";
}

void measureChanges(const std::string &folder)
{
    std::array<Voter *, voterCount> voters{};
    std::vector<std::unique_ptr<Voter>> owned;
    for (unsigned i = 0; i < voterCount; ++i) {
        owned.push_back(std::make_unique<Voter>(static_cast<VoterId>(i + 1), folder + "/voter" + std::to_string(i + 1), voters));
        voters[i] = owned.back().get();
    }
    for (const auto &voter : owned) {
        voter->start();
    }
    Voter *leader = nullptr;
    const auto start = Clock::now();
    while (leader == nullptr) {
        for (const auto &voter : owned) {
            leader = voter->leads() ? voter.get() : leader;
        }
        if (Clock::now() - start > std::chrono::seconds(20)) {
            stop("no leader within 20 s");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::uint64_t number = 1;
    auto bundle = submit(*leader, makeCommand(number, ApplyBundle{0, baseBundle(), "a", "b", {}}));
    waitFor(bundle);
    measureLatency(*leader, folder, number);
    measureRate(*leader, number);
    for (const auto &voter : owned) {
        voter->end();
    }
}

/** Opens the log, restores the state machine, and returns the seconds that took. */
double recover(const std::string &folder, LogIndex expected)
{
    const auto files = storage::posixFileSystem();
    const auto start = Clock::now();
    auto opened = storage::LogStore::open(*files, folder);
    if (const auto *error = std::get_if<storage::StorageError>(&opened)) {
        stop(error->message);
    }
    const DurableLog &log = std::get<storage::OpenedLog>(opened).content;
    ControlState state;
    if (log.snapshotData) {
        state = std::get<ControlState>(decodeSnapshot(*log.snapshotData));
    }
    for (const LogEntry &entry : log.entries) {
        if (entry.index > state.appliedIndex) {
            static_cast<void>(apply(state, entry.index, std::get<Command>(link::decodeCommand(*entry.payload))));
        }
    }
    const double duration = toSeconds(Clock::now() - start);
    if (state.appliedIndex != expected) {
        stop("the recovery ends at entry " + std::to_string(state.appliedIndex));
    }
    return duration;
}

void measureRecovery(const std::string &folder)
{
    constexpr LogIndex changes = 100'000;
    constexpr LogIndex group = 1000;
    ControlState state;
    {
        const auto files = storage::posixFileSystem();
        auto opened = storage::LogStore::open(*files, folder);
        storage::LogStore &store = *std::get<storage::OpenedLog>(opened).store;
        std::vector<storage::StorageWrite> orders{SaveVote{1, 1, VoterId{1}}};
        for (LogIndex index = 1; index <= changes; ++index) {
            const Command command = index == 1 ? makeCommand(1, ApplyBundle{0, baseBundle(), "a", "b", {}}) : rateChange(index);
            static_cast<void>(apply(state, index, command));
            orders.emplace_back(AppendLog{index + 1, {{index, 1, EntryKind::Command, std::make_shared<const Bytes>(link::encode(command)), {}}}});
            if (index % group == 0 && store.write(orders)) {
                stop("the log cannot be written");
            }
            if (index % group == 0) {
                orders.clear();
            }
        }
        std::cout << "recovery from " << changes << " changes: " << recover(folder, changes) << " s (target under 1)\n";
        const auto start = Clock::now();
        const auto data = std::make_shared<const Bytes>(encodeSnapshot(state));
        const double encoding = toSeconds(Clock::now() - start);
        orders = {storage::StoreSnapshot{0, {changes, 1, {}}, data, false}, CompactLog{changes + 2, changes}};
        if (store.write(orders)) {
            stop("the snapshot cannot be written");
        }
        std::cout << "snapshot: " << data->size() << " bytes, encoded in " << encoding << " s\n";
    }
    std::cout << "recovery after compaction: " << recover(folder, changes) << " s (target under 1)\n";
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void measureFollower()
{
    constexpr double megabyte = 1024.0 * 1024.0;
    ControlState state;
    std::uint64_t number = 1;
    static_cast<void>(apply(state, 1, makeCommand(1, ApplyBundle{0, baseBundle(), "a", "b", {}})));
    const auto publish = [&state, &number](std::uint32_t adapter) {
        ++number;
        const std::string name = "adapter-" + std::to_string(adapter);
        static_cast<void>(apply(state, number, makeCommand(number, PublishAdapter{"base", name, "1", number % 2 == 0, {"one"}})));
    };
    for (std::uint32_t i = 0; i < followerAdapters; ++i) {
        publish(i);
    }
    const Bytes encoded = link::encode(state.configuration);
    const std::size_t before = heapBytes();
    auto follower = std::get<std::shared_ptr<const Configuration>>(link::decodeConfiguration(encoded));
    const std::size_t after = heapBytes();
    std::cout << "follower with " << follower->adapters.size() << " adapters: " << static_cast<double>(after - before) / megabyte << " MiB, encoded "
              << static_cast<double>(encoded.size()) / megabyte << " MiB (target 32 MB)\n";

    constexpr std::uint32_t changes = 1000;
    std::size_t most = 0;
    double slowest = 0;
    for (std::uint32_t i = 0; i < changes; ++i) {
        publish((i * 97) % followerAdapters);
        const auto increment = changesSince(state, follower->logIndex);
        const std::size_t stateBytes = heapBytes();
        const auto start = Clock::now();
        const auto old = follower;
        follower = std::get<std::shared_ptr<const Configuration>>(applyIncrement(*old, *increment));
        slowest = std::max(slowest, microseconds(Clock::now() - start));
        most = std::max(most, heapBytes() - stateBytes);
    }
    std::cout << "one change at a follower: at most " << static_cast<double>(most) / megabyte << " MiB more while the old configuration is in use, at most "
              << slowest << " us\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = std::string(argc > 1 ? argv[1] : ".") + "/benchmark-control-data";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    measureChanges(folder);
    measureRecovery(folder + "/recovery");
    measureFollower();
    std::filesystem::remove_all(folder);
    return 0;
}
