#include "mimosahollow/serving/configurationindex.h"

#include "mimosahollow/control/configuration.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace mimosahollow::serving {

namespace {

template<typename List>
std::vector<std::uint32_t> positionsById(const List &list)
{
    std::vector<std::uint32_t> positions;
    std::uint32_t position = 0;
    for (const auto &element : list) {
        const std::uint32_t id = number(element.id);
        if (id >= positions.size()) {
            positions.resize(id + 1, 0);
        }
        positions[id] = ++position;
    }
    return positions;
}

template<typename List, typename Id>
auto elementOf(const List &list, const std::vector<std::uint32_t> &positions, Id id) noexcept -> decltype(&list[0])
{
    const std::uint32_t at = number(id);
    return at < positions.size() && positions[at] != 0 ? &list[positions[at] - 1] : nullptr;
}

std::uint64_t nameHash(std::string_view base, std::string_view name)
{
    std::string text(base);
    text += ':';
    text += name;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

ConfigurationIndex buildConfigurationIndex(std::shared_ptr<const control::Configuration> configuration)
{
    ConfigurationIndex index;
    index.organisationPositions = positionsById(configuration->organisations);
    index.adapterPositions = positionsById(configuration->adapters);
    index.serverPositions = positionsById(configuration->servers);
    index.domainPositions = positionsById(configuration->domains);
    index.adapterNameHashes.reserve(configuration->adapters.size());
    for (const control::Adapter &adapter : configuration->adapters) {
        index.adapterNameHashes.emplace_back(nameHash(adapter.baseModel, adapter.name + "@" + adapter.version), adapter.id);
    }
    std::sort(index.adapterNameHashes.begin(), index.adapterNameHashes.end());
    index.configuration = std::move(configuration);
    return index;
}

const control::Organisation *findOrganisation(const ConfigurationIndex &index, OrganisationId id) noexcept
{
    return elementOf(index.configuration->organisations, index.organisationPositions, id);
}

const control::Adapter *findAdapter(const ConfigurationIndex &index, AdapterId id) noexcept
{
    return elementOf(index.configuration->adapters, index.adapterPositions, id);
}

const control::BackendServer *findServer(const ConfigurationIndex &index, ServerId id) noexcept
{
    return elementOf(index.configuration->servers, index.serverPositions, id);
}

const control::FailureDomain *findDomain(const ConfigurationIndex &index, DomainId id) noexcept
{
    return elementOf(index.configuration->domains, index.domainPositions, id);
}

const control::BackendServer *
findDeclaredServer(const ConfigurationIndex &index, std::string_view name, std::string_view address, std::string_view kind) noexcept
{
    const auto &servers = index.configuration->servers;
    const auto found = std::find_if(servers.begin(), servers.end(), [&](const control::BackendServer &server) {
        return server.name == name && server.address == address && server.kind == kind;
    });
    return found == servers.end() ? nullptr : &*found;
}

AdapterId findAdapterByName(const ConfigurationIndex &index, std::string_view base, std::string_view name)
{
    const std::uint64_t hash = nameHash(base, name);
    auto candidate = std::lower_bound(index.adapterNameHashes.begin(), index.adapterNameHashes.end(), std::pair(hash, AdapterId{}));
    for (; candidate != index.adapterNameHashes.end() && candidate->first == hash; ++candidate) {
        const control::Adapter *adapter = findAdapter(index, candidate->second);
        if (adapter->baseModel == base && adapter->name + "@" + adapter->version == name) {
            return adapter->id;
        }
    }
    return AdapterId{};
}

} // namespace mimosahollow::serving
