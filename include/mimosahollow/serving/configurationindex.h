#pragma once

#include "mimosahollow/core/ids.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosahollow::control {
struct Adapter;
struct BackendServer;
struct Configuration;
struct FailureDomain;
struct Organisation;
} // namespace mimosahollow::control

namespace mimosahollow::serving {

/** Index over the elements of one configuration by id and by name. Owns a reference to the configuration. */
struct ConfigurationIndex
{
    std::shared_ptr<const control::Configuration> configuration;
    // Position in the list of the configuration + 1, indexed by id; 0 for an unknown id.
    std::vector<std::uint32_t> organisationPositions;
    std::vector<std::uint32_t> adapterPositions;
    std::vector<std::uint32_t> serverPositions;
    std::vector<std::uint32_t> domainPositions;
    /** Hash of "base:name@version" and adapter id, sorted by hash. Storing the names would take 9 MB more for 93,000 adapters. */
    std::vector<std::pair<std::uint64_t, AdapterId>> adapterNameHashes;
};

[[nodiscard]] ConfigurationIndex buildConfigurationIndex(std::shared_ptr<const control::Configuration> configuration);

// Return a null pointer if the configuration has no such element.
[[nodiscard]] const control::Organisation *findOrganisation(const ConfigurationIndex &index, OrganisationId id) noexcept;
[[nodiscard]] const control::Adapter *findAdapter(const ConfigurationIndex &index, AdapterId id) noexcept;
[[nodiscard]] const control::BackendServer *findServer(const ConfigurationIndex &index, ServerId id) noexcept;
[[nodiscard]] const control::FailureDomain *findDomain(const ConfigurationIndex &index, DomainId id) noexcept;

/** Returns the server that is declared with this name, address and kind, or a null pointer. */
[[nodiscard]] const control::BackendServer *
findDeclaredServer(const ConfigurationIndex &index, std::string_view name, std::string_view address, std::string_view kind) noexcept;

/** Returns the adapter of base model @p base with the name @p name ("name@version"), or AdapterId{} if it is not configured. */
[[nodiscard]] AdapterId findAdapterByName(const ConfigurationIndex &index, std::string_view base, std::string_view name);

} // namespace mimosahollow::serving
