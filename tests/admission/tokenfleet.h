#pragma once

#include "ratechecker.h"

#include "mimosahollow/admission/bucketowner.h"
#include "mimosahollow/admission/quotaleases.h"

#include <array>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <variant>
#include <vector>

namespace mimosahollow::tests {

using namespace admission;

inline constexpr OrganisationId organisation{1};
inline constexpr AccountId account = accountOf(organisation);

/** Faults of the simulated network, as probabilities for each message. */
struct NetworkFaults
{
    double loss = 0;
    double duplication = 0;
    double delayed = 0; /**< The message takes up to 4 s instead of 1 to 3 ms. */
};

/** Injected violations of the token rules, to verify that the checker detects them. */
enum class Mutant { None, RefillsWhileOutstanding, NewOwnerStartsFull, HolderIgnoresExpiry, TransferNotSubtracted };

struct TestInstance
{
    QuotaLeases leases;
    BucketOwner owner;
    std::size_t domain = 0;
    bool alive = true;
};

struct RunningReservation
{
    std::size_t instance = 0;
    std::uint64_t process = 0;
    double cost = 0;
    double used = 0;
};

struct CallRecord
{
    double cost = 0;
    double used = 0;
    std::size_t instance = 0;
    TimePoint arrived{};
    AccountId account = tests::account;
};

/** Simulated instances of several failure domains, their network and the spending of one organisation. */
struct TokenFleet
{
    using Payload = std::variant<TokenRequest, TokenReport, TokenGrant, TransferRequest, TransferReply>;

    struct Packet
    {
        TimePoint at{};
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        Payload payload;
        bool operator<(const Packet &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    TokenFleet(std::size_t domains, std::size_t perDomain, double rate, double burst, std::uint64_t seed);

    void advance(Duration time); /**< Advances the simulated time in steps of 1 ms, with a tick every 20 ms. */
    void call(std::size_t instance, double cost, double used, Duration timeout);
    void
    callAccount(std::size_t instance, AccountId account, double cost, Duration timeout); /**< Calls of the load account count in ranLoads, not in `ledger`. */
    void crash(std::size_t instance); /**< Restarts the instance at once with a new process number and without state. */
    void changeOwner(std::size_t domain, bool graceful);
    void configure(double rate, double burst);
    void partition(std::size_t domain, bool isolated);

    std::mt19937_64 random;
    NetworkFaults faults;
    Mutant mutant = Mutant::None;
    control::Configuration configuration;
    std::vector<TestInstance> instances;
    std::vector<std::size_t> owners; /**< Index of the instance that owns the buckets, by domain. */
    std::vector<bool> partitioned;
    std::priority_queue<Packet> network;
    std::multimap<TimePoint, RunningReservation> running;
    std::map<RequestId, CallRecord> pendingCalls;
    RateChecker ledger;
    TimePoint now{};
    std::uint64_t counter = 0;
    std::uint64_t messages = 0;
    std::array<std::uint64_t, std::variant_size_v<Payload>> messagesByKind{};
    std::uint64_t ran = 0;
    std::uint64_t ranLoads = 0;
    std::vector<RefusedCall> refused;
    Duration longestWait{};
    Duration callTime = milliseconds(400);

private:
    template<typename Function>
    void withLeases(std::size_t instance, Function function);
    template<typename Function>
    void withOwner(std::size_t instance, Function function);
    void send(std::size_t from, InstanceId to, Payload payload);
    void deliver(const Packet &packet);
    void start(std::size_t instance, const CallRecord &record, Duration timeout);
    void started(RequestId id);
    void tickAll();
    void finishCalls();
    void announce(std::size_t domain, FencingNumber epoch);
    void reset(std::size_t instance);
};

} // namespace mimosahollow::tests
