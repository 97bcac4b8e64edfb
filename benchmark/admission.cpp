// Measures the decisions of admission and routing, the messages of quota leases, and memory. Run without arguments.
#include "mimosahollow/admission/bucketowner.h"
#include "mimosahollow/admission/keytable.h"
#include "mimosahollow/admission/quotaleases.h"
#include "mimosahollow/link/tokencodec.h"
#include "mimosahollow/routing/poolchoice.h"
#include "mimosahollow/routing/routingindex.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <new>
#include <random>
#include <string>
#include <vector>

using namespace mimosahollow;
using namespace mimosahollow::admission;

namespace {

std::size_t allocatedBytes = 0;
std::size_t allocations = 0;

// Header in front of each block; keeps the alignment of operator new.
constexpr std::size_t headerBytes = alignof(std::max_align_t);

} // namespace

// Not inlined: GCC 12 reports false positives when it sees the blocks of both functions together.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    auto *block = static_cast<std::byte *>(std::malloc(size + headerBytes));
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    *reinterpret_cast<std::size_t *>(block) = size;
    allocatedBytes += size;
    ++allocations;
    return block + headerBytes;
}

[[gnu::noinline]] void operator delete(void *pointer) noexcept
{
    if (pointer != nullptr) {
        auto *block = static_cast<std::byte *>(pointer) - headerBytes;
        allocatedBytes -= *reinterpret_cast<std::size_t *>(block);
        std::free(block);
    }
}

void operator delete(void *pointer, std::size_t) noexcept
{
    operator delete(pointer);
}

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::uint32_t organisations = 5;

std::uint64_t sink = 0; // keeps results alive

/** Median of 21 rounds. */
template<typename Function>
void measure(const std::string &name, std::size_t repeats, Function function)
{
    std::vector<double> rounds;
    const std::size_t before = allocations;
    for (int round = 0; round < 21; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < repeats; ++i) {
            function(i);
        }
        const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
        rounds.push_back(time.count() / static_cast<double>(repeats));
    }
    const double perCall = static_cast<double>(allocations - before) / (21.0 * static_cast<double>(repeats));
    std::sort(rounds.begin(), rounds.end());
    std::cout << std::left << std::setw(52) << name << std::right << std::fixed << std::setprecision(1) << std::setw(10) << rounds[10] << std::setw(10)
              << rounds.back() << std::setw(14) << std::setprecision(2) << perCall << '\n';
}

control::Configuration makeConfiguration(std::size_t domains, std::uint32_t organisationCount, std::uint32_t adapters)
{
    std::mt19937_64 random(seed);
    control::Configuration configuration;
    configuration.version = 1;
    configuration.baseModels = {"base"};
    for (std::uint32_t d = 1; d <= domains; ++d) {
        configuration.domains.push_back({DomainId{d}, "d", 1.0 / static_cast<double>(domains), false});
    }
    for (std::uint32_t o = 1; o <= organisationCount; ++o) {
        configuration.organisations.push_back({OrganisationId{o}, "o", 1e6, 4e6, 1});
        KeyHash hash{};
        std::generate(hash.begin(), hash.end(), [&random] {
            return static_cast<std::uint8_t>(random());
        });
        configuration.keys.push_back({"k", hash, OrganisationId{o}});
    }
    for (std::uint32_t a = 1; a <= adapters; ++a) {
        configuration.adapters.push_back({AdapterId{a}, "base", "adapter-" + std::to_string(a), "3", true, {OrganisationId{1}}});
    }
    for (int r = 0; r < 50; ++r) {
        configuration.routes.push_back({"/service-" + std::to_string(r) + "/", "service", false, false, seconds(30), {}});
    }
    return configuration;
}

struct Instance
{
    QuotaLeases leases;
    BucketOwner owner;
    std::size_t domain = 0;
};

struct Traffic
{
    std::uint64_t calls = 0;
    std::uint64_t waited = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t grants = 0;
    std::uint64_t transfers = 0;
};

/** Instances that exchange messages at once, with simulated time. */
struct Fleet
{
    std::vector<Instance> instances;
    Traffic traffic;
    TimePoint now = TimePoint{} + std::chrono::hours(1);

    Fleet(std::size_t count, std::size_t domains, const control::Configuration &configuration) : instances(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Instance &instance = instances[i];
            instance.domain = i % domains;
            instance.leases.self = static_cast<InstanceId>(i + 1);
            instance.leases.home = static_cast<DomainId>(instance.domain + 1);
            instance.leases.process = i + 1;
            instance.owner.self = instance.leases.self;
            instance.owner.domain = instance.leases.home;
            for (std::uint32_t d = 0; d < domains; ++d) {
                setOwner(instance.leases, DomainId{d + 1}, InstanceId{d + 1}, 1, configuration.domains[d].share);
                if (d != instance.domain) {
                    setPeer(instance.owner, DomainId{d + 1}, InstanceId{d + 1}, 1, now);
                }
            }
            applyConfiguration(instance.leases, configuration, now);
            applyConfiguration(instance.owner, configuration, now);
            if (i < domains) {
                startOwnership(instance.owner, 1, now - seconds(60), now);
            }
        }
    }

    template<typename Message>
    void count(const Message &message)
    {
        ++traffic.messages;
        // Frame: length, version and kind (docs/design.md, section 11).
        traffic.bytes += link::encode(message).size() + 8;
    }

    void send(const BucketActions &actions)
    {
        for (const TokenGrant &grant : actions.grants) {
            count(grant);
            ++traffic.grants;
            LeaseActions out;
            handle(instances[number(grant.session.holder) - 1].leases, grant, now, out);
            send(out);
        }
        traffic.transfers += actions.transfers.size();
        for (const OutgoingTransfer &transfer : actions.transfers) {
            std::visit(
                [&](const auto &message) {
                    count(message);
                    BucketActions out;
                    handle(instances[number(transfer.to) - 1].owner, message, now, out);
                    send(out);
                },
                transfer.message);
        }
    }

    void send(const LeaseActions &actions)
    {
        traffic.refused += actions.refused.size();
        for (const OutgoingTokenMessage &outgoing : actions.messages) {
            std::visit(
                [&](const auto &message) {
                    count(message);
                    BucketActions out;
                    handle(instances[number(outgoing.to) - 1].owner, message, now, out);
                    send(out);
                },
                outgoing.message);
        }
    }

    void call(std::size_t instance, AccountId account, Tokens cost)
    {
        LeaseActions out;
        ++traffic.calls;
        const RequestId id{instance, traffic.calls};
        traffic.waited += admit(instances[instance].leases, account, {id, cost, now, now + seconds(1)}, now, out) == Admission::Wait ? 1U : 0U;
        send(out);
    }

    void tickAll()
    {
        now += milliseconds(20);
        for (Instance &instance : instances) {
            LeaseActions leaseOut;
            tick(instance.leases, now, leaseOut);
            send(leaseOut);
            BucketActions ownerOut;
            tick(instance.owner, now, ownerOut);
            send(ownerOut);
        }
    }
};

void decisions()
{
    std::cout << "decision" << std::string(44, ' ') << "   median ns    max ns  allocations\n";
    const control::Configuration configuration = makeConfiguration(4, 200, 93'000);
    const KeyTable keys = buildKeyTable(configuration);
    measure("find a key (200 keys)", 100'000, [&](std::size_t i) {
        sink += number(*findKey(keys, configuration.keys[i % 200].hash));
    });
    const std::size_t before = allocatedBytes;
    const routing::RoutingIndex index = routing::buildRoutingIndex(configuration);
    const std::size_t indexBytes = allocatedBytes - before;
    std::vector<std::string> names;
    std::mt19937_64 random(seed);
    for (int i = 0; i < 4096; ++i) {
        names.push_back("base:adapter-" + std::to_string(1 + random() % 93'000) + (i % 2 == 0 ? "@3" : ""));
    }
    measure("resolve a model name (93,000 adapters)", 100'000, [&](std::size_t i) {
        sink += routing::resolveModel(index, names[i % names.size()], OrganisationId{1}).index();
    });
    measure("resolve a path (50 routes)", 100'000, [&](std::size_t i) {
        sink += routing::resolvePath(index, i % 2 == 0 ? "/service-42/x/y" : "/service-7/", OrganisationId{1}).index();
    });
    std::vector<routing::PoolSummary> pools(132);
    for (std::uint32_t p = 0; p < pools.size(); ++p) {
        pools[p].domain = DomainId{p % 22 + 1};
        pools[p].kind = p / 22 == 0 ? "base" : "other";
        pools[p].expectedWait = milliseconds(p % 22 == 0 ? 300 : p);
        pools[p].freeCapacity = p % 9;
        for (std::uint32_t a = p % 7 + 1; a < 2000; a += 7) {
            pools[p].resident.push_back(AdapterId{a});
        }
    }
    measure("choose a pool that spills over (132 pools)", 20'000, [&](std::size_t i) {
        sink += routing::choosePool(pools, {"base", static_cast<AdapterId>(i % 2000 + 1), DomainId{1}}, random)->pool;
    });
    Fleet fleet(1, 1, makeConfiguration(1, organisations, 0));
    for (int i = 0; i < 1000; ++i) {
        fleet.call(0, AccountId{1}, 2000);
        fleet.tickAll();
    }
    LeaseSource &source = fleet.instances[0].leases.sources[0];
    LeaseActions out;
    measure("admit a call from the lease", 100'000, [&](std::size_t i) {
        source.leases[AccountId{1}].use.spent = source.leases[AccountId{1}].sent.spent; // the same tokens again
        sink += static_cast<std::uint64_t>(admit(fleet.instances[0].leases, AccountId{1}, {{1, i}, 10, fleet.now, fleet.now + seconds(1)}, fleet.now, out));
    });
    BucketOwner &owner = fleet.instances[0].owner;
    BucketActions grants;
    TokenRequest request{{DomainId{1}, 1, InstanceId{1}, 77, 1, 0}, {{{AccountId{1}, 0, 0, 0}, 0, 100, 0}}};
    measure("answer a token request (1 account)", 20'000, [&](std::size_t) {
        ++request.session.sequence;
        request.wishes[0].use.spent += 100;
        request.wishes[0].target = 100;
        handle(owner, request, fleet.now, grants);
        grants.grants.clear();
    });
    measure("encode and decode a token request (1 account)", 20'000, [&](std::size_t) {
        sink += link::decodeTokenRequest(link::encode(request)).index();
    });
    std::cout << "\nindex of 93,000 adapters and 50 routes: " << indexBytes << " bytes\n";
}

void messages()
{
    std::cout << "\neven: 0.8 of each rate at all instances; one: the same at one instance; first: one organisation at 4 x its rate; over: all\n";
    std::cout << "load    instances  domains  calls/s  waited %  refused  messages/call  bytes/call  bytes/s each instance  grants/call  transfers/call\n";
    struct Case
    {
        const char *name;
        std::size_t instances;
        std::size_t domains;
        double callsPerSecond;
        double load;
        bool oneInstance;
        bool firstOver = false; /**< The first organisation has a fifth of the rate. */
    };
    const Case cases[] = {{"even", 7, 3, 60, 0.8, false},
                          {"even", 20, 4, 200, 0.8, false},
                          {"even", 60, 4, 600, 0.8, false},
                          {"one", 7, 3, 60, 0.8, true},
                          {"one", 20, 4, 200, 0.8, true},
                          {"one", 60, 4, 600, 0.8, true},
                          {"first", 7, 3, 60, 0.8, false, true},
                          {"first", 20, 4, 200, 0.8, false, true},
                          {"first", 60, 4, 600, 0.8, false, true},
                          {"over", 7, 3, 300, 4.0, false},
                          {"over", 20, 4, 1000, 4.0, false},
                          {"over", 60, 4, 3000, 4.0, false}};
    for (const Case &test : cases) {
        control::Configuration configuration = makeConfiguration(test.domains, organisations, 0);
        const double cost = 500;
        for (control::Organisation &organisation : configuration.organisations) {
            organisation.rate = test.callsPerSecond * cost / (test.load * organisations);
            organisation.burst = 4 * organisation.rate;
        }
        if (test.firstOver) {
            configuration.organisations[0].rate /= 5;
            configuration.organisations[0].burst /= 5;
        }
        Fleet fleet(test.instances, test.domains, configuration);
        std::mt19937_64 random(seed);
        constexpr int warmUpSteps = 500; // 10 s; the buckets start empty and fill in 4 s
        constexpr int steps = 1500; // 30 s
        for (int i = 0; i < warmUpSteps + steps; ++i) {
            if (i == warmUpSteps) {
                fleet.traffic = {};
            }
            std::poisson_distribution<int> arrivals(test.callsPerSecond * 0.02);
            for (int n = i < 250 ? 0 : arrivals(random); n > 0; --n) {
                fleet.call(test.oneInstance ? 0 : random() % test.instances, AccountId{static_cast<std::uint32_t>(1 + random() % organisations)}, cost);
            }
            fleet.tickAll();
        }
        const Traffic &traffic = fleet.traffic;
        const auto calls = static_cast<double>(traffic.calls);
        std::cout << std::left << std::setw(8) << test.name << std::right << std::setw(9) << test.instances << std::setw(9) << test.domains << std::setw(9)
                  << std::setprecision(0) << test.callsPerSecond << std::setprecision(2) << std::setw(10) << 100 * static_cast<double>(traffic.waited) / calls
                  << std::setw(9) << traffic.refused << std::setw(15) << static_cast<double>(traffic.messages) / calls << std::setw(12) << std::setprecision(0)
                  << static_cast<double>(traffic.bytes) / calls << std::setw(15)
                  << static_cast<double>(traffic.bytes) / 30 / static_cast<double>(test.instances) << '\n';
    }
}

void memory()
{
    std::cout << "\nmemory for each organisation (bytes)\n";
    for (const std::size_t instances : {std::size_t{7}, std::size_t{20}, std::size_t{60}}) {
        const auto used = [instances](std::uint32_t count) {
            const control::Configuration configuration = makeConfiguration(4, count, 0);
            const std::size_t before = allocatedBytes;
            Fleet fleet(instances, 4, configuration);
            for (int step = 0; step < 50; ++step) {
                for (std::size_t i = 0; i < instances; ++i) {
                    for (std::uint32_t o = 1; o <= count; ++o) {
                        fleet.call(i, AccountId{o}, 10);
                    }
                }
                fleet.tickAll();
            }
            return allocatedBytes - before;
        };
        const auto all = static_cast<double>(used(201) - used(1)) / 200;
        std::cout << std::setw(4) << instances << " instances: " << std::setprecision(0) << all << " in the fleet, " << all / static_cast<double>(instances)
                  << " an instance (bucket owners included)\n";
    }
}

} // namespace

int main()
{
    decisions();
    messages();
    memory();
    return sink == 0 ? 1 : 0;
}
