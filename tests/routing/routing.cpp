#include "mimosahollow/routing/poolchoice.h"
#include "mimosahollow/routing/routingindex.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace mimosahollow;
using namespace mimosahollow::routing;

namespace {

constexpr OrganisationId owner{1};
constexpr OrganisationId otherOrganisation{2};

control::Configuration sample()
{
    control::Configuration configuration;
    configuration.baseModels = {"base", "large"};
    configuration.adapters = {{AdapterId{1}, "base", "tone", "1", false, {owner}},
                              {AdapterId{2}, "base", "tone", "2", true, {owner}},
                              {AdapterId{3}, "large", "tone", "1", true, {otherOrganisation}},
                              {AdapterId{4}, "base", "draft", "1", false, {owner}}};
    configuration.routes = {{"/registry/", "registry", false, false, seconds(30), {}},
                            {"/registry/open/", "notices", true, true, seconds(30), {}},
                            {"/registry/owners/", "owners", true, false, seconds(30), {owner}}};
    return configuration;
}

std::uint32_t adapterOf(const ResolveResult &result)
{
    const auto *resolution = std::get_if<Resolution>(&result);
    return resolution == nullptr || resolution->adapter == nullptr ? 0 : number(resolution->adapter->id);
}

} // namespace

// Guards against a request that runs on another adapter or version than requested (P1), or for an organisation without permission (P3).
TEST_CASE("Model names resolve to one adapter and version")
{
    const control::Configuration configuration = sample();
    const RoutingIndex index = buildRoutingIndex(configuration);
    REQUIRE(adapterOf(resolveModel(index, "base:tone@1", owner)) == 1);
    REQUIRE(adapterOf(resolveModel(index, "base:tone@2", owner)) == 2);
    REQUIRE(adapterOf(resolveModel(index, "base:tone", owner)) == 2);
    REQUIRE(adapterOf(resolveModel(index, "large:tone", otherOrganisation)) == 3);
    REQUIRE(std::get<Resolution>(resolveModel(index, "base", otherOrganisation)).kind == "base");

    SECTION("unknown names and adapters without a default version are refused")
    {
        for (const char *name : {"", "other", "base:", "base:tone@", "base:tone@3", "base:none", "base:draft", "large:draft@1", ":tone"}) {
            REQUIRE(std::get<RefusalReason>(resolveModel(index, name, owner)) == RefusalReason::UnknownModel);
        }
    }
    SECTION("an organisation without permission is refused")
    {
        REQUIRE(std::get<RefusalReason>(resolveModel(index, "base:tone@1", otherOrganisation)) == RefusalReason::NotPermitted);
    }
    SECTION("an index without a configuration refuses everything")
    {
        REQUIRE(std::get<RefusalReason>(resolveModel({}, "base", owner)) == RefusalReason::UnknownModel);
        REQUIRE(std::get<RefusalReason>(resolvePath({}, "/", owner)) == RefusalReason::UnknownRoute);
    }
}

// Guards against entries lost to hash collisions at the planned size, and against an index that grows out of proportion.
TEST_CASE("All of 93,000 adapters are found by version and by default")
{
    control::Configuration configuration;
    configuration.baseModels = {"base"};
    for (std::uint32_t i = 0; i < 93'000; ++i) {
        configuration.adapters.push_back({AdapterId{i + 1}, "base", "a" + std::to_string(i), "7", true, {owner}});
    }
    const RoutingIndex index = buildRoutingIndex(configuration);
    std::size_t found = 0;
    for (std::uint32_t i = 0; i < 93'000; ++i) {
        const std::string name = "base:a" + std::to_string(i);
        found += adapterOf(resolveModel(index, name, owner)) == i + 1 && adapterOf(resolveModel(index, name + "@7", owner)) == i + 1 ? 1U : 0U;
    }
    REQUIRE(found == 93'000);
    // A tenth of the 32 MB that the control state of a follower takes with 93,000 adapters.
    REQUIRE(memoryBytes(index) <= 3'200'000);
}

// Guards against a shorter prefix that hides a longer one, and against calls without a key on routes that require one.
TEST_CASE("A path resolves to the route with the longest matching prefix")
{
    const control::Configuration configuration = sample();
    const RoutingIndex index = buildRoutingIndex(configuration);
    const auto kind = [&index](std::string_view path) {
        return std::get<Resolution>(resolvePath(index, path, owner)).kind;
    };
    REQUIRE(kind("/registry/x") == "registry");
    REQUIRE(kind("/registry/zzz") == "registry");
    REQUIRE(kind("/registry/open/x") == "notices");
    REQUIRE(kind("/registry/owners/x") == "owners");
    REQUIRE(kind("/registry/ow") == "registry");
    REQUIRE(std::get<RefusalReason>(resolvePath(index, "/registr", owner)) == RefusalReason::UnknownRoute);
    REQUIRE(std::get<RefusalReason>(resolvePath(index, "", owner)) == RefusalReason::UnknownRoute);
    REQUIRE(std::get<RefusalReason>(resolvePath(index, "/registry/x", std::nullopt)) == RefusalReason::InvalidKey);
    REQUIRE(std::get<RefusalReason>(resolvePath(index, "/registry/owners/x", otherOrganisation)) == RefusalReason::NotPermitted);
    REQUIRE(std::get<Resolution>(resolvePath(index, "/registry/open/x", std::nullopt)).kind == "notices");
}

// Guards against unnecessary remote calls, calls to pools that must get none (P8), and all instances moving to the same pool.
TEST_CASE("Pool choice prefers the local failure domain and spreads calls that spill over")
{
    std::mt19937_64 random(20261204);
    const AdapterId adapter{9};
    const auto pool = [](std::uint32_t domain, int waitMs) {
        PoolSummary summary;
        summary.pool = PoolId{domain};
        summary.domain = DomainId{domain};
        summary.kind = "base";
        summary.expectedWait = milliseconds(waitMs);
        summary.expectedLoadTime = milliseconds(250);
        summary.freeCapacity = 8;
        summary.roundTrip = domain == 1 ? milliseconds(0) : milliseconds(2);
        summary.resident = {AdapterId{9}};
        return summary;
    };
    const PoolQuery query{"base", adapter, DomainId{1}};
    std::vector<PoolSummary> pools{pool(1, 20), pool(2, 0), pool(3, 0), pool(4, 0), pool(5, 0)};
    const auto choose = [&] {
        return choosePool(pools, query, random);
    };

    SECTION("a gain within the margin stays local")
    {
        pools[0].expectedWait = milliseconds(22); // round trip of 2 ms plus the margin of 20 ms
        REQUIRE(choose()->reason == PoolReason::Local);
        pools[0].expectedWait += Duration(1);
        REQUIRE(choose()->reason == PoolReason::SpilledOver);
    }
    SECTION("an adapter load at the local pool counts as wait")
    {
        pools[0].resident.clear();
        REQUIRE(choose()->reason == PoolReason::SpilledOver);

        SECTION("and when no pool has the adapter, the instances of all failure domains load it in the same one")
        {
            // The pools differ only in the penalty, so that the choice does not depend on the domain of the call.
            for (PoolSummary &summary : pools) {
                summary.resident.clear();
                summary.expectedWait = milliseconds(0);
                summary.roundTrip = milliseconds(0);
            }
            std::map<std::uint32_t, std::set<std::size_t>> chosen;
            for (std::uint32_t id = 1; id <= 200; ++id) {
                for (std::uint32_t domain = 1; domain <= 5; ++domain) {
                    chosen[id].insert(choosePool(pools, {"base", AdapterId{1000 + id}, DomainId{domain}}, random)->pool);
                }
            }
            // Penalties that differ by less than the margins allow the local pool or several remote ones; most adapters have one pool.
            const auto loadedInOnePool = std::count_if(chosen.begin(), chosen.end(), [](const auto &entry) {
                return entry.second.size() == 1;
            });
            REQUIRE(loadedInOnePool > 100);
        }
        SECTION("and the only pool with the adapter is found")
        {
            for (PoolSummary &summary : pools) {
                summary.resident.clear();
            }
            pools[3].resident = {adapter};
            REQUIRE(choose()->pool == 3);
        }
    }
    SECTION("pools that are out of service, unreachable or of another kind are never chosen")
    {
        pools[0].inService = false;
        pools[1].reachable = false;
        pools[2].kind = "other";
        for (int i = 0; i < 1000; ++i) {
            const auto choice = choose();
            REQUIRE(choice->pool >= 3);
            REQUIRE(choice->reason == PoolReason::LocalAbsent);
        }
        pools[3].inService = false;
        pools[4].reachable = false;
        REQUIRE_FALSE(choose());
    }
    SECTION("340 instances with the same summaries spread over equal pools")
    {
        pools[0].expectedWait = milliseconds(500);
        std::map<std::size_t, int> chosen;
        for (int i = 0; i < 340; ++i) {
            ++chosen[choose()->pool];
        }
        REQUIRE(chosen.size() == 4);
        for (const auto &[position, count] : chosen) {
            // Twice the even share of 85; without spreading, one pool would get all 340.
            REQUIRE(count < 170);
        }
    }
}
