#include "simulation.h"

#include <algorithm>

namespace mimosahollow::test {

namespace {

constexpr Duration tickInterval = milliseconds(10);
constexpr Duration clientTimeout = milliseconds(400);
constexpr Duration refusalRetryInterval = milliseconds(100);
constexpr unsigned maximumTries = 1000;

Membership voters(unsigned count)
{
    Membership members;
    for (unsigned i = 1; i <= count; ++i) {
        members.push_back({static_cast<VoterId>(i), "10.0.0." + std::to_string(i) + ":7000", false});
    }
    return members;
}

Bytes content(const LogEntry &entry)
{
    Bytes bytes{static_cast<std::uint8_t>(entry.kind)};
    if (entry.payload) {
        bytes.insert(bytes.end(), entry.payload->begin(), entry.payload->end());
    }
    for (const Member &member : entry.members) {
        bytes.push_back(static_cast<std::uint8_t>(member.id));
        bytes.push_back(static_cast<std::uint8_t>(member.learner));
    }
    return bytes;
}

} // namespace

Simulation::Simulation(const SimulationOptions &options) : random(options.seed), m_options(options)
{
    for (const Member &member : voters(options.voters)) {
        addNode(member.id).firstMembers = voters(options.voters);
        start(member.id);
    }
}

Simulation::Node &Simulation::addNode(VoterId id)
{
    auto &node = m_nodes[id];
    node = std::make_unique<Node>();
    node->id = id;
    return *node;
}

void Simulation::schedule(Duration delay, std::function<void()> run)
{
    m_events.push({m_now + delay, ++m_eventNumber, std::move(run)});
}

void Simulation::scheduleFor(Node &node, Duration delay, std::function<void(Node &)> run)
{
    schedule(delay, [&node, incarnation = node.incarnation, run = std::move(run)] {
        if (node.running && node.incarnation == incarnation) {
            run(node);
        }
    });
}

bool Simulation::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = m_now + limit;
    while (!condition()) {
        if (m_events.empty() || m_events.top().at > end) {
            m_now = end;
            return condition();
        }
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    return true;
}

void Simulation::runFor(Duration duration)
{
    runUntil(
        [] {
            return false;
        },
        duration);
}

void Simulation::start(VoterId id)
{
    Node &node = *m_nodes.at(id);
    if (node.running) {
        return;
    }
    auto opened = storage::LogStore::open(node.files, "data", {4'000});
    if (const auto *error = std::get_if<storage::StorageError>(&opened)) {
        if (node.files.crashed) {
            // A disk fault crashed the voter again during recovery.
            node.files.crash(random);
            schedule(delay(seconds(1)), [this, id] {
                start(id);
            });
            return;
        }
        violation("voter " + std::to_string(static_cast<unsigned>(id)) + " cannot start: " + error->message);
        return;
    }
    auto &log = std::get<storage::OpenedLog>(opened);
    node.store = std::move(log.store);
    node.state = {};
    if (log.content.snapshotData) {
        auto decoded = decodeSnapshot(*log.content.snapshotData);
        if (const auto *error = std::get_if<SnapshotError>(&decoded)) {
            violation(error->message);
            return;
        }
        node.state = std::move(std::get<ControlState>(decoded));
    }
    node.consensus = makeConsensus(id, {}, std::move(log.content), node.firstMembers, random(), m_now);
    node.consensus.options.keptEntries = 10;
    node.consensus.options.snapshotChunkBytes = 700;
    node.lastSnapshotIndex = node.consensus.snapshot.index;
    node.running = true;
    ++node.incarnation;
    tickNode(node);
}

void Simulation::crash(VoterId id, bool restarts)
{
    Node &node = *m_nodes.at(id);
    if (!node.running) {
        return;
    }
    node.running = false;
    ++node.incarnation;
    node.unflushedWrites.clear();
    node.refusedWrites.clear();
    node.flushScheduled = false;
    node.proposals.clear();
    node.reads.clear();
    node.store.reset();
    node.files.crash(random);
    if (restarts) {
        schedule(delay(seconds(2)), [this, id] {
            start(id);
        });
    }
}

void Simulation::crashDuringDiskOperation(VoterId id, std::uint64_t steps)
{
    Node &node = *m_nodes.at(id);
    node.files.fault = Fault::Crash;
    node.files.faultAt = node.files.operations + steps;
}

void Simulation::fillDisk(VoterId id, std::size_t bytes, Duration duration)
{
    Node &node = *m_nodes.at(id);
    node.files.capacity = node.files.used() + bytes;
    schedule(duration, [&node] {
        node.files.capacity = SIZE_MAX;
    });
}

void Simulation::cutLink(VoterId from, VoterId to)
{
    m_cutLinks[{from, to}] = true;
}

void Simulation::restoreLinks()
{
    m_cutLinks.clear();
}

void Simulation::setFaults(double loss, double duplication)
{
    m_options.loss = loss;
    m_options.duplication = duplication;
}

void Simulation::tickNode(Node &node)
{
    ConsensusActions actions;
    tick(node.consensus, m_now, actions);
    process(node, std::move(actions));
    if (node.running) {
        scheduleFor(node, tickInterval, [this](Node &self) {
            tickNode(self);
        });
    }
}

void Simulation::process(Node &node, ConsensusActions actions)
{
    WriteNumber acknowledgedWrite = 0;
    for (ConsensusAction &action : actions) {
        if (auto *send = std::get_if<SendToVoter>(&action)) {
            sendMessage(node, *send);
        } else if (auto *vote = std::get_if<SaveVote>(&action)) {
            acknowledgedWrite = m_options.acknowledgesVoteBeforeSync ? vote->write : acknowledgedWrite;
            node.unflushedWrites.emplace_back(*vote);
        } else if (auto *append = std::get_if<AppendLog>(&action)) {
            acknowledgedWrite = m_options.acknowledgesEntriesBeforeSync ? append->write : acknowledgedWrite;
            node.unflushedWrites.emplace_back(std::move(*append));
        } else if (auto *truncate = std::get_if<TruncateLog>(&action)) {
            node.unflushedWrites.emplace_back(*truncate);
        } else if (auto *compact = std::get_if<CompactLog>(&action)) {
            node.unflushedWrites.emplace_back(*compact);
        } else if (auto *snapshot = std::get_if<InstallSnapshot>(&action)) {
            install(node, *snapshot);
        } else if (auto *apply = std::get_if<ApplyEntries>(&action)) {
            applyEntries(node, apply->entries);
        } else if (auto *elected = std::get_if<BecameLeader>(&action)) {
            checkLeader(node, elected->term);
        } else if (std::holds_alternative<LostLeadership>(action)) {
            node.proposals.clear();
        } else if (auto *confirmed = std::get_if<ReadConfirmed>(&action)) {
            const auto read = node.reads.find(confirmed->readId);
            if (read != node.reads.end()) {
                answer(read->second, [&node, confirmed](Operation &operation) {
                    operation.index = confirmed->index;
                    operation.version = node.state.configuration.version;
                    for (const ApiKey &key : node.state.configuration.keys) {
                        operation.keys[key.name] = true;
                    }
                });
                node.reads.erase(read);
            }
        } else if (auto *rejected = std::get_if<ReadRejected>(&action)) {
            node.reads.erase(rejected->readId);
        }
    }
    scheduleFlush(node);
    if (acknowledgedWrite != 0) {
        ConsensusActions more;
        logSynced(node.consensus, acknowledgedWrite, m_now, more);
        process(node, std::move(more));
    }
}

void Simulation::sendMessage(const Node &node, const SendToVoter &action)
{
    const Bytes bytes = link::encode(action.message);
    const unsigned copies = chance(m_options.duplication) ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
        if (m_cutLinks.contains({node.id, action.to}) || chance(m_options.loss) || !m_nodes.contains(action.to)) {
            continue;
        }
        schedule(delay(m_options.maximumMessageDelay), [this, bytes, from = node.id, to = action.to] {
            Node &receiver = *m_nodes.at(to);
            if (!receiver.running) {
                return;
            }
            auto message = link::decodeConsensusMessage(bytes);
            if (std::holds_alternative<link::CodecError>(message)) {
                violation("a message cannot be decoded");
                return;
            }
            ConsensusActions actions;
            receive(receiver.consensus, from, std::get<ConsensusMessage>(message), m_now, actions);
            process(receiver, std::move(actions));
        });
    }
}

void Simulation::applyEntries(Node &node, const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        const std::pair value(entry.term, content(entry));
        const auto [position, isNew] = m_committed.try_emplace(entry.index, value);
        if (!isNew && position->second != value) {
            violation("entry " + std::to_string(entry.index) + " was committed with different contents");
        }
        if (entry.index != node.state.appliedIndex + 1) {
            violation("entry " + std::to_string(entry.index) + " was applied out of order");
        }
        CommandResult result;
        if (entry.kind == EntryKind::Command) {
            const auto command = std::get<Command>(link::decodeCommand(*entry.payload));
            m_firstIndex.try_emplace(command.id, entry.index);
            result = apply(node.state, entry.index, command);
        } else {
            skipEntry(node.state, entry.index);
        }
        constexpr LogIndex comparisonInterval = 7;
        if (entry.index % comparisonInterval == 0) {
            const auto [known, first] = m_states.try_emplace(entry.index, encodeSnapshot(node.state));
            if (!first && known->second != encodeSnapshot(node.state)) {
                violation("the state after entry " + std::to_string(entry.index) + " differs between voters");
            }
        }
        finishProposals(node, entry.index, entry.term, result);
    }
    if (node.state.appliedIndex >= node.lastSnapshotIndex + m_options.snapshotInterval) {
        node.lastSnapshotIndex = node.state.appliedIndex;
        node.unflushedWrites.emplace_back(storage::StoreSnapshot{
            0, snapshotPoint(node.consensus, node.state.appliedIndex), std::make_shared<const Bytes>(encodeSnapshot(node.state)), false});
    }
}

void Simulation::finishProposals(Node &node, LogIndex index, Term term, const CommandResult &result)
{
    const auto found = node.proposals.find(index);
    if (found == node.proposals.end()) {
        return;
    }
    if (found->second.first == term) {
        answer(found->second.second, [index, &result](Operation &operation) {
            operation.index = index;
            operation.result = result;
        });
    }
    node.proposals.erase(found);
}

void Simulation::install(Node &node, const InstallSnapshot &action)
{
    if (std::holds_alternative<SnapshotError>(decodeSnapshot(*action.data))) {
        violation("a received snapshot cannot be decoded");
        snapshotRejected(node.consensus);
        return;
    }
    node.unflushedWrites.emplace_back(storage::StoreSnapshot{action.write, action.point, action.data, true});
}

void Simulation::scheduleFlush(Node &node)
{
    if (!node.running || node.flushScheduled || node.unflushedWrites.empty()) {
        return;
    }
    node.flushScheduled = true;
    scheduleFor(node, delay(m_options.maximumSyncDelay), [this](Node &self) {
        flush(self);
    });
}

void Simulation::flush(Node &node)
{
    node.flushScheduled = false;
    std::vector<storage::StorageWrite> writes = std::move(node.unflushedWrites);
    node.unflushedWrites.clear();
    const auto error = node.store->write(writes);
    finishFlush(node, std::move(writes), error);
}

/** Reports what has become durable. As long as the disk refuses writes, they wait. */
void Simulation::finishFlush(Node &node, std::vector<storage::StorageWrite> writes, const std::optional<storage::StorageError> &error)
{
    writes.insert(writes.begin(), node.refusedWrites.begin(), node.refusedWrites.end());
    node.refusedWrites.clear();
    ConsensusActions actions;
    if (error && error->kind == storage::StorageErrorKind::FileSystem && !node.files.crashed) {
        node.refusedWrites = std::move(writes);
        node.flushScheduled = true;
        scheduleFor(node, refusalRetryInterval, [this](Node &self) {
            flush(self);
        });
        storageSuspended(node.consensus, m_now, actions);
        process(node, std::move(actions));
        return;
    }
    if (error) {
        crash(node.id);
        return;
    }
    WriteNumber last = 0;
    for (const storage::StorageWrite &storageWrite : writes) {
        std::visit(
            [&last](const auto &content) {
                last = std::max(last, content.write);
            },
            storageWrite);
        const auto *snapshot = std::get_if<storage::StoreSnapshot>(&storageWrite);
        if (snapshot != nullptr && snapshot->replacesLog) {
            node.state = std::move(std::get<ControlState>(decodeSnapshot(*snapshot->data)));
            node.lastSnapshotIndex = snapshot->point.index;
            ++installedSnapshots;
            snapshotInstalled(node.consensus, snapshot->point.index, m_now, actions);
        } else if (snapshot != nullptr) {
            snapshotTaken(node.consensus, snapshot->point.index, snapshot->data, actions);
        }
    }
    logSynced(node.consensus, last, m_now, actions);
    if (node.consensus.isStorageSuspended) {
        storageResumed(node.consensus, m_now);
    }
    process(node, std::move(actions));
}

std::size_t Simulation::submit(unsigned client, CommandBody body)
{
    Operation operation;
    operation.client = client;
    operation.command = {{client, ++m_lastCommand}, 0, "client", std::move(body)};
    operation.invoked = m_now;
    m_operations.push_back(std::move(operation));
    attempt(m_operations.size() - 1, 0);
    return m_operations.size() - 1;
}

std::size_t Simulation::submitRead(unsigned client)
{
    Operation operation;
    operation.client = client;
    operation.isRead = true;
    operation.invoked = m_now;
    m_operations.push_back(std::move(operation));
    attempt(m_operations.size() - 1, 0);
    return m_operations.size() - 1;
}

void Simulation::attempt(std::size_t number, unsigned tries)
{
    Operation &operation = m_operations[number];
    if (operation.done || tries >= maximumTries) {
        return;
    }
    auto target = m_nodes.begin();
    std::advance(target, static_cast<std::ptrdiff_t>(random() % m_nodes.size()));
    Node &node = *target->second;
    if (node.running && node.consensus.role == VoterRole::Leader) {
        ConsensusActions actions;
        if (operation.isRead) {
            const std::uint64_t read = requestRead(node.consensus, actions);
            node.reads[read] = number;
        } else {
            operation.command.time = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count();
            const std::vector<SharedBytes> payloads{std::make_shared<const Bytes>(link::encode(operation.command))};
            const ProposalResult result = propose(node.consensus, payloads, m_now, actions);
            if (const auto *accepted = std::get_if<ProposalAccepted>(&result)) {
                node.proposals[accepted->index] = {accepted->term, number};
            }
        }
        process(node, std::move(actions));
        schedule(clientTimeout, [this, number, tries] {
            attempt(number, tries + 1);
        });
        return;
    }
    schedule(delay(milliseconds(40)), [this, number, tries] {
        attempt(number, tries + 1);
    });
}

void Simulation::answer(std::size_t number, const std::function<void(Operation &)> &fill)
{
    Operation &operation = m_operations[number];
    // The answer is lost: the client sends the request again with the same command id.
    constexpr double answerLoss = 0.1;
    if (operation.done || chance(answerLoss)) {
        return;
    }
    fill(operation);
    operation.done = true;
    operation.answered = m_now;
}

bool Simulation::allDone() const
{
    return std::all_of(m_operations.begin(), m_operations.end(), [](const Operation &operation) {
        return operation.done;
    });
}

Simulation::Node *Simulation::leader()
{
    Node *found = nullptr;
    for (const auto &element : m_nodes) {
        Node &node = *element.second;
        if (node.running && node.consensus.role == VoterRole::Leader && (found == nullptr || node.consensus.term > found->consensus.term)) {
            found = &node;
        }
    }
    return found;
}

bool Simulation::isSettled()
{
    const Node *first = leader();
    return first != nullptr && std::all_of(m_nodes.begin(), m_nodes.end(), [this, first](const auto &element) {
               const Node &node = *element.second;
               const bool isMember = std::any_of(first->consensus.members.begin(), first->consensus.members.end(), [&node](const Member &member) {
                   return member.id == node.id;
               });
               return !node.running || !isMember || (node.state.appliedIndex == committed() && lastIndex(node.consensus) == committed());
           });
}

ProposalResult Simulation::change(const std::function<ProposalResult(ConsensusState &, TimePoint, ConsensusActions &)> &proposal)
{
    Node *node = leader();
    if (node == nullptr) {
        return ProposalRejected{ProposalError::NotLeader, VoterId{}};
    }
    ConsensusActions actions;
    const ProposalResult result = proposal(node->consensus, m_now, actions);
    process(*node, std::move(actions));
    return result;
}

void Simulation::checkLeader(Node &node, Term term)
{
    const auto [position, isNew] = m_leaders.try_emplace(term, node.id);
    if (!isNew) {
        violation("two leaders in term " + std::to_string(term));
    }
    for (const auto &[index, entry] : m_committed) {
        if (index > node.consensus.logStart && termAt(node.consensus, index) != entry.first) {
            violation("the leader of term " + std::to_string(term) + " lacks the committed entry " + std::to_string(index));
            return;
        }
    }
}

void Simulation::checkHistory()
{
    ControlState model;
    std::map<LogIndex, ControlState> states;
    std::map<CommandId, CommandResult> results;
    for (const auto &[index, entry] : m_committed) {
        if (static_cast<EntryKind>(entry.second[0]) == EntryKind::Command) {
            const auto command = std::get<Command>(link::decodeCommand(std::span(entry.second).subspan(1)));
            const CommandResult result = apply(model, index, command);
            // A resent command can be committed several times; it takes effect at its first index.
            if (m_firstIndex.at(command.id) == index) {
                results[command.id] = result;
            }
        } else {
            skipEntry(model, index);
        }
        for (const Operation &operation : m_operations) {
            if (operation.isRead && operation.done && operation.index == index) {
                states[index] = model;
            }
        }
    }
    std::vector<std::pair<TimePoint, LogIndex>> answered;
    for (Operation &operation : m_operations) {
        if (!operation.done) {
            continue;
        }
        if (operation.isRead) {
            const ControlState &state = states[operation.index];
            const bool same = state.configuration.version == operation.version && state.configuration.keys.size() == operation.keys.size();
            if (!same) {
                violation("a read at entry " + std::to_string(operation.index) + " does not match the log");
            }
        } else {
            operation.index = m_firstIndex.at(operation.command.id);
            if (!(results[operation.command.id] == operation.result)) {
                violation("a client got a result that differs from the replayed log, at entry " + std::to_string(operation.index));
            }
        }
        answered.emplace_back(operation.answered, operation.index);
    }
    // Linearizability: an operation that completed before another one began precedes it in the log.
    for (const Operation &operation : m_operations) {
        for (const auto &[time, index] : answered) {
            if (operation.done && time < operation.invoked && index > operation.index) {
                violation("an operation at entry " + std::to_string(operation.index)
                          + " is ordered before an operation that completed before it began, at entry " + std::to_string(index));
            }
        }
    }
}

void Simulation::violation(std::string text)
{
    m_violations.push_back(std::move(text));
}

bool Simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

Duration Simulation::delay(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(random));
}

} // namespace mimosahollow::test
