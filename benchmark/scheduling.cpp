// Time and allocations of one server choice with 132 backend servers and 93,000 adapters known. Usage: benchmark_scheduling
#include "mimosahollow/scheduling/pool.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <random>
#include <vector>

namespace {

std::size_t allocations = 0;

} // namespace

// Counts every allocation of the program.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

using namespace mimosahollow;
using namespace mimosahollow::scheduling;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t serverCount = 132;
constexpr std::uint32_t adapterCount = 93000;
constexpr std::uint32_t slots = 16;
constexpr std::uint32_t adapterSlots = 8;
constexpr std::uint32_t rounds = 200000;
constexpr std::uint64_t seed = 20261204;

struct Result
{
    const char *name;
    std::vector<double> microseconds;
    std::size_t allocations = 0;
    std::size_t granted = 0;
};

/** A warm pool in which every server holds eight adapters; popular ones have several replicas. */
PoolState warmPool(TimePoint now, std::mt19937_64 &random, std::vector<std::uint32_t> &resident)
{
    SchedulingSettings settings;
    settings.silenceTimeout = std::chrono::hours(1);
    PoolState state = makePool(PoolId{1}, settings, now);
    Actions actions;
    PoolDeclaration declaration;
    for (std::uint32_t i = 1; i <= serverCount; ++i) {
        declaration.servers.push_back({ServerId{i}, ServiceState::InService});
    }
    setDeclaration(state, declaration, now, actions);
    for (std::uint32_t i = 1; i <= serverCount; ++i) {
        ServerAnnouncement announcement{ServerId{i}, 1, slots, adapterSlots, slots, true, false, {}};
        announcement.adapters.push_back(AdapterId{1 + i % 4}); // four adapters with 33 replicas each
        while (announcement.adapters.size() < adapterSlots) {
            const auto id = static_cast<std::uint32_t>(5 + random() % (adapterCount - 5));
            announcement.adapters.push_back(AdapterId{id});
            resident.push_back(id);
        }
        announceServer(state, announcement, now, actions);
    }
    return state;
}

Result run(const char *name, std::uint32_t firstPopular, std::uint32_t popular, bool affinity)
{
    std::mt19937_64 random(seed);
    TimePoint now{seconds(1000)};
    std::vector<std::uint32_t> resident;
    PoolState state = warmPool(now, random, resident);
    Result result{name, {}, 0, 0};
    result.microseconds.reserve(rounds);
    Actions actions;
    actions.reserve(64);
    std::vector<Grant> running;
    running.reserve(serverCount * slots);
    for (std::uint32_t i = 0; i < rounds; ++i) {
        AcquireRequest request;
        request.id = {7, i + 1};
        request.organisation = OrganisationId{static_cast<std::uint32_t>(1 + random() % 5)};
        request.adapter = AdapterId{popular > 0 ? static_cast<std::uint32_t>(firstPopular + random() % popular) : resident[random() % resident.size()]};
        request.promptTokens = 300;
        request.maximumOutputTokens = 200;
        request.prefixHash = affinity ? 1 + random() % 1000 : 0;
        request.deadline = now + seconds(30);
        now += std::chrono::microseconds(100);
        actions.clear();
        const std::size_t before = allocations;
        const auto start = Clock::now();
        submit(state, request, now, actions);
        const auto end = Clock::now();
        result.allocations += allocations - before;
        result.microseconds.push_back(std::chrono::duration<double, std::micro>(end - start).count());
        if (const auto *grant = actions.empty() ? nullptr : std::get_if<Grant>(&actions.front())) {
            ++result.granted;
            running.push_back(*grant);
        }
        if (running.size() > 600) { // about a third of all slots stays in use
            const std::size_t position = random() % running.size();
            const Grant ended = running[position];
            running[position] = running.back();
            running.pop_back();
            actions.clear();
            release(state, {ended.id, ended.grant, ended.fencing, ReleaseOutcome::Completed, 400, milliseconds(50)}, now, actions);
        }
    }
    return result;
}

/** The worst case: every slot is in use and five organisations have full queues; a release grants the next request. */
Result runFullQueues()
{
    constexpr std::uint32_t releases = 2000;
    constexpr std::uint32_t organisations = 5;
    std::mt19937_64 random(seed);
    TimePoint now{seconds(1000)};
    std::vector<std::uint32_t> resident;
    PoolState state = warmPool(now, random, resident);
    Result result{"release with 5,120 waiting requests", {}, 0, 0};
    result.microseconds.reserve(releases);
    Actions actions;
    std::vector<Grant> running;
    std::uint64_t sequence = 0;
    while (state.waiting < organisations * state.settings.waitingPerOrganisation) {
        AcquireRequest request;
        request.id = {7, ++sequence};
        request.organisation = OrganisationId{static_cast<std::uint32_t>(1 + sequence % organisations)};
        request.adapter = AdapterId{static_cast<std::uint32_t>(1 + random() % 4)};
        request.maximumOutputTokens = 200;
        request.deadline = now + seconds(600);
        actions.clear();
        submit(state, request, now, actions);
        if (const auto *grant = actions.empty() ? nullptr : std::get_if<Grant>(&actions.front())) {
            running.push_back(*grant);
        }
    }
    for (std::uint32_t i = 0; i < releases; ++i) {
        const Grant ended = running[i % running.size()];
        actions.clear();
        const std::size_t before = allocations;
        const auto start = Clock::now();
        release(state, {ended.id, ended.grant, ended.fencing, ReleaseOutcome::Completed, 200, milliseconds(50)}, now, actions);
        result.microseconds.push_back(std::chrono::duration<double, std::micro>(Clock::now() - start).count());
        result.allocations += allocations - before;
        if (const auto *grant = actions.empty() ? nullptr : std::get_if<Grant>(&actions.front())) {
            running[i % running.size()] = *grant;
            ++result.granted;
        }
    }
    return result;
}

void print(Result result)
{
    auto &times = result.microseconds;
    std::sort(times.begin(), times.end());
    const auto count = static_cast<double>(times.size());
    std::printf("%-44s median %.2f us, p99 %.2f us, worst %.0f us, %.4f allocations and %.4f grants a choice\n",
                result.name,
                times[times.size() / 2],
                times[times.size() * 99 / 100],
                times.back(),
                static_cast<double>(result.allocations) / count,
                static_cast<double>(result.granted) / count);
}

} // namespace

int main()
{
    std::printf(
        "server choice: %u servers, %u adapters, %u choices each, seed %llu\n", serverCount, adapterCount, rounds, static_cast<unsigned long long>(seed));
    print(run("base model, every server is a candidate", 0, 1, false));
    print(run("adapters with 33 replicas", 1, 4, false));
    print(run("adapters with 33 replicas, prefix affinity", 1, 4, true));
    print(run("adapters with one or two replicas", 0, 0, false));
    print(runFullQueues());
}
