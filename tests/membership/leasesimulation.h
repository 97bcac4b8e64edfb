#pragma once

#include "mimosahollow/membership/assignment.h"
#include "mimosahollow/membership/leaderstate.h"
#include "mimosahollow/membership/poolholder.h"
#include "mimosahollow/membership/renewalstate.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosahollow::membership::test {

/** Deliberately broken rules that the checks must detect. */
enum class Mutation {
    None,
    LeaseFromReceipt,
    PromiseFromReceipt,
    NoWaitAfterRestart,
    NewLeaderForgetsLeases,
    PromisesIgnored,
    RelayRenewsAlone,
    AnyInstanceSucceeds,
};

/** Control state at one log index. */
struct ControlState
{
    std::vector<RegisteredInstance> registered;
    std::vector<PoolAssignment> pools;
};

/** Clock with a rate error and an offset, relative to the virtual time. */
struct DriftingClock
{
    double rate = 1;
    std::int64_t offset = 0;

    [[nodiscard]] TimePoint at(std::int64_t nanoseconds) const
    {
        return fromNanoseconds(offset + static_cast<std::int64_t>(static_cast<double>(nanoseconds) * rate));
    }
};

struct Node
{
    DriftingClock clock;
    bool running = false;
    bool registered = false;
    std::uint64_t incarnation = 0;
    std::int64_t pausedUntil = 0;
    std::int64_t startAt = 0; /**< Time of the restart after a crash; 0: none is scheduled. */
    TimePoint nextRenewal{};
    PoolHolder holder;
    RenewalState renewal;
    ControlState state; /**< At log index renewal.applied. */
};

/**
 * Instances 1 to n of one failure domain, and a control leader (address 0), in virtual time.
 *
 * The log and the majority are ideal: the active leader commits immediately. All other messages go through a network that
 * can drop, delay or block them in each direction. The clocks differ in offset and rate.
 */
class LeaseSimulation
{
public:
    static constexpr std::int64_t step = 10'000'000; // 10 ms
    static constexpr std::size_t poolCount = 3;
    static constexpr DomainId domain{1};

    LeaseSimulation(std::uint64_t seed, std::size_t instances, Mutation mutation = Mutation::None);

    /** Advances the simulation by @p duration; calls @p faults in each step. */
    void run(Duration duration, const std::function<void()> &faults = {});
    /** Starts all instances, runs for 20 s so that all of them register and every pool gets a valid owner, and resets the counters. */
    void startAndStabilize();

    void startNode(std::size_t node);
    void crash(std::size_t node, Duration downtime);
    void changeLeader();
    void stopAccepting(std::size_t node);
    void release(std::size_t node);
    void commitChange();
    void setLinkCut(std::size_t a, std::size_t b, bool cut);
    [[nodiscard]] std::size_t ownerOf(std::size_t pool) const; /**< 0: no valid owner. */
    [[nodiscard]] std::uint64_t randomBelow(std::uint64_t range);

    std::mt19937_64 random;
    std::int64_t now = 0;
    std::vector<Node> nodes; /**< Index 0 is unused. */
    std::set<std::pair<std::size_t, std::size_t>> cuts; /**< Pairs of sender and receiver between which all messages are dropped. */
    double lossRate = 0;
    Duration maximumDelay = milliseconds(20);
    bool throughRelay = false; /**< Whether node 1 is the relay of the others. */

    // Results of the checks.
    std::size_t doubleOwners = 0; /**< Pools with more than one owner, summed over the steps. */
    std::size_t staleWithLease = 0; /**< Nodes with a freshness lease but behind the acknowledged index, summed over the steps. */
    std::size_t ownedSteps = 0; /**< Steps in which each pool had exactly one owner. */
    std::size_t freshSteps = 0;
    Version acknowledged = 0;
    std::uint64_t reassignments = 0;

private:
    void send(std::size_t from, std::size_t to, std::function<void()> deliver);
    void deliverDue();
    void tickNode(std::size_t index);
    void tickLeader();
    void commit(const std::function<void(ControlState &)> &change);
    void sendState(std::size_t from, std::size_t to, const ControlState &state, Version index);
    void sendRenewRequest(std::size_t from);
    void receiveRequest(std::size_t from, const RenewRequest &request);
    void receiveReply(std::size_t node, RenewReply reply);
    void receivePromise(std::size_t node, Promise promise);
    void sendPromise(std::size_t from, std::size_t to, const Promise &promise);
    void registerNode(std::size_t node, std::uint64_t incarnation);
    void check();

    struct Message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        std::function<void()> deliver;
    };

    Mutation m_mutation;
    std::multimap<std::int64_t, Message> m_messages;
    std::vector<DriftingClock> m_leaderClocks;
    std::size_t m_leaderClock = 0;
    LeaderState m_leader;
    ControlState m_committed;
    Version m_index = 1;
};

} // namespace mimosahollow::membership::test
