// Compares the decision code with simpler policies and a clairvoyant bound on simulated engines.
// Usage: benchmark_policy [SEEDS] [own], where "own" leaves the simpler policies out.
#include "baselinepolicy.h"
#include "poolpolicy.h"
#include "statistics.h"

#include <cstdlib>
#include <cstring>

namespace {

using namespace benchmark;

struct Policy
{
    const char *name;
    bool own;
    Baseline baseline;
};

constexpr Policy policies[] = {
    {"mimosahollow", true, Baseline::Random},
    {"random", false, Baseline::Random},
    {"round robin", false, Baseline::RoundRobin},
    {"least reported load", false, Baseline::LeastReported},
    {"rendezvous hashing with LRU", false, Baseline::Rendezvous},
};

std::uint64_t seeds = 5;
bool ownOnly = false;

RunResult runPolicy(const Policy &policy, const Deployment &deployment, const std::vector<Call> &calls, double seconds, DomainChange change, std::uint64_t seed)
{
    if (policy.own) {
        return PoolPolicy(deployment, calls, change, seed).run(seconds);
    }
    return BaselinePolicy(deployment, calls, policy.baseline, change, seed).run(seconds);
}

bool skipped(const Policy &policy)
{
    return ownOnly && !policy.own;
}

// Steady state is measured after a minute of warming up, and again from 60 s after a popularity shift.
constexpr double steadyFrom = 60;
constexpr double shiftAt = 180;
constexpr double shiftedFrom = 240;
constexpr double steadySeconds = 300;

struct Window
{
    const char *name;
    double from;
    double to;
};

constexpr Window windows[] = {{"steady", steadyFrom, shiftAt}, {"after shift", shiftedFrom, steadySeconds}};

void printBound(const Deployment &deployment)
{
    std::printf("  clairvoyant bound\n");
    for (const Window &window : windows) {
        Spread requests;
        Spread time;
        Spread all;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto calls = makeCalls(deployment, {steadySeconds, shiftAt}, seed);
            const auto misses = clairvoyantMisses(calls, deployment.servers * adapterSlots);
            double missed = 0;
            double counted = 0;
            for (std::size_t i = 0; i < calls.size(); ++i) {
                const bool inside = calls[i].arrival >= window.from && calls[i].arrival < window.to;
                counted += inside ? 1 : 0;
                missed += inside && misses[i] ? 1 : 0;
            }
            requests.add(missed);
            time.add(missed * EngineFleet::loadSeconds);
            all.add(counted);
        }
        std::printf("   %s\n", window.name);
        print("requests", all, "");
        print("stalled requests", requests, "");
        print("stalled time", time, "s");
    }
}

void steadyState(const Deployment &deployment)
{
    std::printf("%s: load stalls, %.0f requests/s\n", deployment.name, deployment.callsPerSecond);
    printBound(deployment);
    for (const Policy &policy : policies) {
        if (skipped(policy)) {
            continue;
        }
        Spread stalled[2];
        Spread time[2];
        Spread onTime;
        Spread refused;
        Spread loads;
        Spread inUse;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto calls = makeCalls(deployment, {steadySeconds, shiftAt}, seed);
            const RunResult result = runPolicy(policy, deployment, calls, steadySeconds, {}, seed);
            for (std::size_t i = 0; i < 2; ++i) {
                const Stalls stalls = countStalls(calls, result, windows[i].from, windows[i].to);
                stalled[i].add(stalls.requests);
                time[i].add(stalls.seconds);
            }
            const auto late = [](const Call &call) {
                return call.arrival >= steadyFrom;
            };
            onTime.add(share(calls, result, CallResult::Outcome::OnTime, late));
            refused.add(share(calls, result, CallResult::Outcome::Refused, late));
            loads.add(static_cast<double>(result.loads));
            inUse.add(static_cast<double>(result.evictionsInUse));
        }
        std::printf("  %s\n", policy.name);
        for (std::size_t i = 0; i < 2; ++i) {
            std::printf("   %s\n", windows[i].name);
            print("stalled requests", stalled[i], "");
            print("stalled time", time[i], "s");
        }
        print("on time", onTime, "%", 100);
        print("wrongful refusals", refused, "%", 100);
        print("loads", loads, "");
        print("unloads refused, adapter in use", inUse, "");
    }
}

void flood(const Deployment &deployment)
{
    constexpr double length = 180;
    std::printf("%s: worst-served organisation while organisation 1 sends 5 times its rate; no admission control in front\n", deployment.name);
    for (const Policy &policy : policies) {
        if (skipped(policy)) {
            continue;
        }
        Spread alone;
        Spread normal;
        Spread flooded;
        Spread difference;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            double worstAlone = 1;
            for (std::uint32_t organisation = 2; organisation <= organisationCount; ++organisation) {
                Traffic traffic{length};
                traffic.only = organisation;
                const auto calls = makeCalls(deployment, traffic, seed);
                const RunResult result = runPolicy(policy, deployment, calls, length, {}, seed);
                worstAlone = std::min(worstAlone, share(calls, result, CallResult::Outcome::OnTime, [](const Call &call) {
                                          return call.arrival >= steadyFrom;
                                      }));
            }
            alone.add(worstAlone);
            const auto usual = makeCalls(deployment, {length}, seed);
            normal.add(worstOrganisation(usual, runPolicy(policy, deployment, usual, length, {}, seed), steadyFrom, length, 1));
            Traffic traffic{length};
            traffic.flooding = 1;
            const auto calls = makeCalls(deployment, traffic, seed);
            const RunResult result = runPolicy(policy, deployment, calls, length, {}, seed);
            flooded.add(worstOrganisation(calls, result, steadyFrom, length, 1));
            difference.add(alone.values.back() - flooded.values.back());
        }
        std::printf("  %s\n", policy.name);
        print("sending alone", alone, "%", 100);
        print("with the others", normal, "%", 100);
        print("while flooded", flooded, "%", 100);
        print("alone minus flooded", difference, "points", 100);
    }
}

/** Tokens per second under a load above the capacity, as a part of full batches on all servers. */
void batchEfficiency(const Deployment &deployment)
{
    constexpr double length = 180;
    constexpr double overload = 2.2; // times the usual rate: a fifth above what the servers can generate
    std::printf("%s: batch efficiency at %.1f times the usual rate\n", deployment.name, overload);
    for (const Policy &policy : policies) {
        if (skipped(policy)) {
            continue;
        }
        Spread efficiency;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Traffic traffic{length};
            traffic.factor = overload;
            const auto calls = makeCalls(deployment, traffic, seed);
            const RunResult result = runPolicy(policy, deployment, calls, length, {}, seed);
            efficiency.add(result.generatedTokens / result.fullBatchTokens);
        }
        std::printf("  %s\n", policy.name);
        print("of the bound", efficiency, "");
    }
}

void domainChange(const Deployment &deployment, bool crash)
{
    constexpr double leaveAt = 120;
    constexpr double returnAt = 150;
    constexpr double length = 210;
    std::printf(
        "%s: a failure domain %s at %.0f s and returns cold and empty at %.0f s\n", deployment.name, crash ? "crashes" : "is taken out", leaveAt, returnAt);
    for (const Policy &policy : policies) {
        if (skipped(policy)) {
            continue;
        }
        Spread before;
        Spread away;
        Spread back;
        Spread later;
        Spread overloads;
        Spread refused;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto calls = makeCalls(deployment, {length}, seed);
            const RunResult result = runPolicy(policy, deployment, calls, length, {leaveAt, returnAt, crash}, seed);
            before.add(worstWindow(calls, result, steadyFrom, leaveAt - 10)); // later ones may still run when it leaves
            away.add(worstWindow(calls, result, leaveAt - 10, returnAt));
            back.add(worstWindow(calls, result, returnAt, returnAt + 10));
            later.add(worstWindow(calls, result, returnAt + 10, length));
            overloads.add(static_cast<double>(result.overloads));
            refused.add(share(calls, result, CallResult::Outcome::Refused, [](const Call &call) {
                return call.arrival >= leaveAt - 5 && call.arrival < leaveAt + 5;
            }));
        }
        std::printf("  %s\n", policy.name);
        print("worst 5 s on time, before", before, "%", 100);
        print("worst 5 s on time, away", away, "%", 100);
        print("worst 5 s on time, 10 s of return", back, "%", 100);
        print("worst 5 s on time, later", later, "%", 100);
        print("refused in the 10 s around", refused, "%", 100);
        print("calls that a cold server failed", overloads, "");
    }
}

} // namespace

int main(int count, char **arguments)
{
    for (int i = 1; i < count; ++i) {
        if (std::strcmp(arguments[i], "own") == 0) {
            ownOnly = true;
        } else {
            seeds = std::max(1UL, std::strtoul(arguments[i], nullptr, 10));
        }
    }
    std::printf("seeds 1 to %llu; mean (least to most)\n", static_cast<unsigned long long>(seeds));
    for (const Deployment &deployment : deployments) {
        steadyState(deployment);
        flood(deployment);
        batchEfficiency(deployment);
        domainChange(deployment, false);
        domainChange(deployment, true);
    }
}
