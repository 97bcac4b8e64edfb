#include "mimosahollow/routing/routingindex.h"

#include "mimosahollow/routing/modelname.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <numeric>

namespace mimosahollow::routing {

namespace {

// Marks the table entry for a name without a version, which resolves to the default version.
constexpr std::uint32_t defaultFlag = 0x8000'0000U;

// Keeps the hash of a name without a version distinct from the hashes of names with one.
constexpr XXH64_hash_t defaultSalt = 0x6d69'6d6f'7361'6864ULL;

std::uint64_t hashName(std::string_view base, std::string_view adapter, std::string_view version) noexcept
{
    const XXH64_hash_t baseHash = XXH3_64bits(base.data(), base.size());
    const XXH64_hash_t nameHash = XXH3_64bits_withSeed(adapter.data(), adapter.size(), baseHash);
    return version.empty() ? XXH3_64bits_withSeed(nullptr, 0, nameHash ^ defaultSalt) : XXH3_64bits_withSeed(version.data(), version.size(), nameHash);
}

bool matches(const control::Adapter &adapter, const ModelName &name) noexcept
{
    return adapter.name == name.adapter && adapter.baseModel == name.base && (name.version.empty() || adapter.version == name.version);
}

void insert(RoutingIndex &index, std::uint32_t position, const ModelName &name)
{
    const std::size_t mask = index.adapterSlots.size() - 1;
    std::size_t slot = hashName(name.base, name.adapter, name.version) & mask;
    while (index.adapterSlots[slot] != 0) {
        slot = (slot + 1) & mask;
    }
    index.adapterSlots[slot] = (position + 1) | (name.version.empty() ? defaultFlag : 0);
}

const control::Adapter *findAdapter(const RoutingIndex &index, const ModelName &name) noexcept
{
    const std::size_t mask = index.adapterSlots.size() - 1;
    const bool wantsDefault = name.version.empty();
    for (std::size_t slot = hashName(name.base, name.adapter, name.version) & mask; index.adapterSlots[slot] != 0; slot = (slot + 1) & mask) {
        const std::uint32_t entry = index.adapterSlots[slot];
        if (((entry & defaultFlag) != 0) != wantsDefault) {
            continue;
        }
        const control::Adapter &adapter = index.configuration->adapters[(entry & ~defaultFlag) - 1];
        if (matches(adapter, name)) {
            return &adapter;
        }
    }
    return nullptr;
}

bool permitted(const std::vector<OrganisationId> &organisations, OrganisationId organisation) noexcept
{
    return std::find(organisations.begin(), organisations.end(), organisation) != organisations.end();
}

std::string_view commonPrefix(std::string_view left, std::string_view right) noexcept
{
    const auto end = std::mismatch(left.begin(), left.end(), right.begin(), right.end()).first;
    return left.substr(0, static_cast<std::size_t>(end - left.begin()));
}

const control::Route *findRoute(const RoutingIndex &index, std::string_view path) noexcept
{
    const auto &routes = index.configuration->routes;
    std::string_view key = path;
    // The last prefix that sorts at or before the key either matches the path or shares only a first part with the key, which becomes the next,
    // shorter key.
    for (;;) {
        const auto after = std::upper_bound(index.routeOrder.begin(), index.routeOrder.end(), key, [&routes](std::string_view text, std::uint32_t position) {
            return text < routes[position].prefix;
        });
        if (after == index.routeOrder.begin()) {
            return nullptr;
        }
        const control::Route &route = routes[*std::prev(after)];
        if (path.starts_with(route.prefix)) {
            return &route;
        }
        key = commonPrefix(key, route.prefix);
    }
}

} // namespace

RoutingIndex buildRoutingIndex(const control::Configuration &configuration)
{
    RoutingIndex index;
    index.configuration = &configuration;
    const auto &adapters = configuration.adapters;
    const auto defaults = static_cast<std::size_t>(std::count_if(adapters.begin(), adapters.end(), [](const control::Adapter &adapter) {
        return adapter.isDefault;
    }));
    const std::size_t entries = adapters.size() + defaults;
    // A load factor of at most 4/5 keeps probe sequences short and guarantees a free slot that ends them.
    index.adapterSlots.assign(std::bit_ceil(entries + entries / 4 + 2), 0);
    for (std::uint32_t position = 0; position < adapters.size(); ++position) {
        const control::Adapter &adapter = adapters[position];
        insert(index, position, {adapter.baseModel, adapter.name, adapter.version});
        if (adapter.isDefault) {
            insert(index, position, {adapter.baseModel, adapter.name, {}});
        }
    }
    index.routeOrder.resize(configuration.routes.size());
    std::iota(index.routeOrder.begin(), index.routeOrder.end(), 0U);
    std::sort(index.routeOrder.begin(), index.routeOrder.end(), [&configuration](std::uint32_t left, std::uint32_t right) {
        return configuration.routes[left].prefix < configuration.routes[right].prefix;
    });
    return index;
}

ResolveResult resolveModel(const RoutingIndex &index, std::string_view model, OrganisationId organisation) noexcept
{
    const auto name = parseModelName(model);
    if (!name || index.configuration == nullptr) {
        return RefusalReason::UnknownModel;
    }
    const auto &models = index.configuration->baseModels;
    const auto base = std::find(models.begin(), models.end(), name->base);
    if (base == models.end()) {
        return RefusalReason::UnknownModel;
    }
    Resolution resolution;
    resolution.kind = *base;
    if (name->adapter.empty()) {
        return resolution;
    }
    resolution.adapter = findAdapter(index, *name);
    if (resolution.adapter == nullptr) {
        return RefusalReason::UnknownModel;
    }
    if (!permitted(resolution.adapter->organisations, organisation)) {
        return RefusalReason::NotPermitted;
    }
    return resolution;
}

ResolveResult resolvePath(const RoutingIndex &index, std::string_view path, std::optional<OrganisationId> organisation) noexcept
{
    const control::Route *route = index.configuration == nullptr ? nullptr : findRoute(index, path);
    if (route == nullptr) {
        return RefusalReason::UnknownRoute;
    }
    if (!route->open && !organisation) {
        return RefusalReason::InvalidKey;
    }
    if (!route->open && !route->organisations.empty() && !permitted(route->organisations, *organisation)) {
        return RefusalReason::NotPermitted;
    }
    Resolution resolution;
    resolution.kind = route->service;
    resolution.route = route;
    return resolution;
}

std::size_t memoryBytes(const RoutingIndex &index) noexcept
{
    return (index.adapterSlots.capacity() + index.routeOrder.capacity()) * sizeof(std::uint32_t);
}

} // namespace mimosahollow::routing
