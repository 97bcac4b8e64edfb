#pragma once

#include "mimosahollow/coordination/coordination.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosahollow::coordination {

/** Simulates the control plane of a fleet in one thread. Messages take 1 ms; writes are durable immediately and survive a crash. */
class FakeFleet
{
public:
    struct Node
    {
        Options options;
        std::unique_ptr<CoordinationState> state; /**< Null while the instance is down. */
        control::DurableLog disk;
        bool isDiskFull = false;
        std::vector<StorageWrite> refusedWrites; /**< Wait for room on the disk. */
        std::shared_ptr<const control::Configuration> configuration;
        TimePoint freshUntil{};
        std::map<PoolId, LeaseChanged> leases;
        std::vector<CommandDone> done;
        bool restarted = false; /**< The first configuration after a restart may be older than the one before it. */
    };

    explicit FakeFleet(std::shared_ptr<const control::Configuration> bundle)
    {
        const std::vector<std::string> voters{"a1", "b1", "c1"};
        for (const char *name : {"a1", "a2", "b1", "b2", "c1", "c2", "c3"}) {
            Options options;
            options.name = name;
            options.failureDomain = std::string(1, name[0]);
            options.linkAddress = name;
            options.voters = voters;
            options.initialBundle = bundle;
            m_nodes[name].options = options;
            start(name);
        }
        m_isNewFleet = false;
    }

    void start(const std::string &name)
    {
        Node &node = m_nodes.at(name);
        node.options.incarnation = ++m_incarnations;
        node.options.seed = m_incarnations;
        node.leases.clear();
        node.freshUntil = {};
        const auto &voters = node.options.voters;
        const bool isVoter = std::find(voters.begin(), voters.end(), name) != voters.end();
        if (isVoter && mayVote(node.disk, node.options, m_isNewFleet)) {
            auto made = makeVoter(node.options, node.disk, m_now);
            REQUIRE(std::holds_alternative<CoordinationState>(made));
            node.state = std::make_unique<CoordinationState>(std::get<CoordinationState>(std::move(made)));
        } else {
            node.state = std::make_unique<CoordinationState>(makeNonVoter(node.options, m_now));
        }
        for (auto &[other, peer] : m_nodes) {
            if (other != name && peer.state && !m_isolated.contains(other)) {
                connect(name, other);
            }
        }
    }

    void crash(const std::string &name)
    {
        m_nodes.at(name).state.reset();
        for (auto &[other, peer] : m_nodes) {
            if (peer.state) {
                Actions actions;
                peerDown(*peer.state, name, m_now, actions);
                executeActions(other, actions);
            }
        }
    }

    /** Partitions the given instances from all others; they stay connected to each other. */
    void isolate(const std::set<std::string> &names)
    {
        m_isolated = names;
        for (auto &[name, node] : m_nodes) {
            for (auto &[other, peer] : m_nodes) {
                if (node.state && m_isolated.contains(name) != m_isolated.contains(other)) {
                    Actions actions;
                    peerDown(*node.state, other, m_now, actions);
                    executeActions(name, actions);
                }
            }
        }
    }

    /** Ends the partition. */
    void heal()
    {
        const std::set<std::string> isolated = std::move(m_isolated);
        m_isolated.clear();
        for (const std::string &name : isolated) {
            for (auto &[other, peer] : m_nodes) {
                if (!isolated.contains(other) && peer.state && m_nodes.at(name).state) {
                    connect(name, other);
                }
            }
        }
    }

    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (m_now < end) {
            m_now += step;
            deliver();
            if (++m_steps % stepsPerTick == 0) {
                tickAll();
            }
            check();
        }
    }

    void submitAt(const std::string &name, std::uint64_t ticket, control::Command command)
    {
        Actions actions;
        submit(*m_nodes.at(name).state, ticket, std::move(command), seconds(20), m_now, actions);
        executeActions(name, actions);
    }

    void leaveAt(const std::string &name)
    {
        Actions actions;
        leave(*m_nodes.at(name).state, m_now, actions);
        executeActions(name, actions);
    }

    /** The disk refuses writes until makeRoom(). */
    void fillDisk(const std::string &name)
    {
        m_nodes.at(name).isDiskFull = true;
    }

    void makeRoom(const std::string &name)
    {
        Node &node = m_nodes.at(name);
        node.isDiskFull = false;
        Actions actions;
        for (StorageWrite &waiting : std::exchange(node.refusedWrites, {})) {
            store(node, waiting, actions);
        }
        storageResumed(*node.state, m_now);
        executeActions(name, actions);
    }

    Node &node(const std::string &name)
    {
        return m_nodes.at(name);
    }
    std::map<std::string, Node> &nodes()
    {
        return m_nodes;
    }
    [[nodiscard]] bool isFresh(const std::string &name) const
    {
        const Node &node = m_nodes.at(name);
        return node.state && node.freshUntil > m_now;
    }
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] std::string leader() const
    {
        for (const auto &[name, node] : m_nodes) {
            if (node.state && node.state->voter && node.state->voter->leader) {
                return name;
            }
        }
        return {};
    }

private:
    static constexpr Duration step = milliseconds(1);
    static constexpr int stepsPerTick = 10;

    struct Envelope
    {
        TimePoint at{};
        std::string from;
        std::string to;
        std::uint64_t incarnation = 0;
        Message message;
    };

    void connect(const std::string &one, const std::string &two)
    {
        const auto notifyPeerUp = [this](const std::string &name, const std::string &peer) {
            const Options &options = m_nodes.at(peer).options;
            Actions actions;
            peerUp(*m_nodes.at(name).state, {peer, options.failureDomain, options.linkAddress, options.incarnation}, m_now, actions);
            executeActions(name, actions);
        };
        notifyPeerUp(one, two);
        notifyPeerUp(two, one);
    }

    void deliver()
    {
        while (!m_envelopes.empty() && m_envelopes.front().at <= m_now) {
            Envelope envelope = std::move(m_envelopes.front());
            m_envelopes.pop_front();
            Node &node = m_nodes.at(envelope.to);
            const bool reachable = m_isolated.contains(envelope.from) == m_isolated.contains(envelope.to);
            if (node.state && reachable && node.options.incarnation == envelope.incarnation) {
                Actions actions;
                receive(*node.state, envelope.from, std::move(envelope.message), m_now, actions);
                executeActions(envelope.to, actions);
            }
        }
    }

    void tickAll()
    {
        for (auto &[name, node] : m_nodes) {
            if (node.state) {
                Actions actions;
                tick(*node.state, m_now, m_steps, actions);
                executeActions(name, actions);
            }
        }
    }

    void executeActions(const std::string &name, Actions &actions)
    {
        Node &node = m_nodes.at(name);
        while (!actions.empty()) {
            Actions current;
            current.swap(actions);
            for (Action &action : current) {
                executeAction(name, node, action, actions);
            }
        }
    }

    void executeAction(const std::string &name, Node &node, Action &action, Actions &newActions)
    {
        if (auto *message = std::get_if<SendMessage>(&action)) {
            m_envelopes.push_back({m_now + step, name, message->peer, m_nodes.at(message->peer).options.incarnation, std::move(message->message)});
        } else if (auto *storageWrite = std::get_if<StorageWrite>(&action)) {
            if (!node.isDiskFull) {
                store(node, *storageWrite, newActions);
            } else {
                node.refusedWrites.push_back(std::move(*storageWrite));
                storageSuspended(*node.state, m_now, newActions);
            }
        } else if (const auto *changed = std::get_if<ConfigurationChanged>(&action)) {
            // A configuration that an instance has applied never reverts to an older one (P14).
            REQUIRE((!node.configuration || node.restarted || changed->configuration->logIndex >= node.configuration->logIndex));
            node.configuration = changed->configuration;
            node.restarted = false;
        } else if (const auto *freshness = std::get_if<FreshnessChanged>(&action)) {
            node.freshUntil = freshness->freshUntil;
        } else if (const auto *lease = std::get_if<LeaseChanged>(&action)) {
            node.leases[lease->pool] = *lease;
        } else if (const auto *done = std::get_if<CommandDone>(&action); done != nullptr && done->ticket != 0) {
            node.done.push_back(*done);
        }
    }

    void store(Node &node, StorageWrite &storageWrite, Actions &newActions)
    {
        control::DurableLog &disk = node.disk;
        if (const auto *vote = std::get_if<control::SaveVote>(&storageWrite)) {
            disk.term = vote->term;
            disk.vote = vote->vote;
            storageSynced(*node.state, vote->write, m_now, newActions);
        } else if (const auto *append = std::get_if<control::AppendLog>(&storageWrite)) {
            disk.entries.insert(disk.entries.end(), append->entries.begin(), append->entries.end());
            storageSynced(*node.state, append->write, m_now, newActions);
        } else if (const auto *truncate = std::get_if<control::TruncateLog>(&storageWrite)) {
            std::erase_if(disk.entries, [&](const control::LogEntry &entry) {
                return entry.index >= truncate->from;
            });
            storageSynced(*node.state, truncate->write, m_now, newActions);
        } else if (const auto *compact = std::get_if<control::CompactLog>(&storageWrite)) {
            std::erase_if(disk.entries, [&](const control::LogEntry &entry) {
                return entry.index <= compact->upTo;
            });
            storageSynced(*node.state, compact->write, m_now, newActions);
        } else if (auto *snapshot = std::get_if<StoreSnapshot>(&storageWrite)) {
            disk.snapshot = snapshot->point;
            disk.snapshotData = snapshot->data;
            if (snapshot->replacesLog) {
                disk.entries.clear();
            }
            snapshotStored(*node.state, snapshot->point.index, snapshot->replacesLog, snapshot->data, m_now, newActions);
        }
    }

    /** Fails the test if a pool has two owners. */
    void check()
    {
        std::map<PoolId, std::string> owners;
        for (const auto &[name, node] : m_nodes) {
            for (const auto &[pool, lease] : node.leases) {
                if (node.state && lease.ownedUntil > m_now) {
                    const bool isNew = owners.emplace(pool, name).second;
                    if (!isNew) {
                        FAIL("two owners of pool " << number(pool) << ": " << owners[pool] << " and " << name);
                    }
                }
            }
        }
    }

    std::map<std::string, Node> m_nodes;
    std::deque<Envelope> m_envelopes;
    std::set<std::string> m_isolated;
    TimePoint m_now{seconds(1000)};
    std::int64_t m_steps = 0;
    std::uint64_t m_incarnations = 100;
    bool m_isNewFleet = true;
};

} // namespace mimosahollow::coordination
