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

/** Finds elements of one configuration by id and by name. Rebuilt for each configuration; keeps it alive. */
struct ConfigurationIndex
{
    std::shared_ptr<const control::Configuration> configuration;
    // Position + 1 by id; 0 stands for an unknown id.
    std::vector<std::uint32_t> organisationPositions;
    std::vector<std::uint32_t> adapterPositions;
    std::vector<std::uint32_t> serverPositions;
    std::vector<std::uint32_t> domainPositions;
    /** Hash of "base:name@version" and the adapter, sorted. Strings would cost 9 MB more for 93,000 adapters. */
    std::vector<std::pair<std::uint64_t, AdapterId>> adapterNameHashes;
};

[[nodiscard]] ConfigurationIndex buildConfigurationIndex(std::shared_ptr<const control::Configuration> configuration);

// Null when the configuration has no such element.
[[nodiscard]] const control::Organisation *findOrganisation(const ConfigurationIndex &index, OrganisationId id) noexcept;
[[nodiscard]] const control::Adapter *findAdapter(const ConfigurationIndex &index, AdapterId id) noexcept;
[[nodiscard]] const control::BackendServer *findServer(const ConfigurationIndex &index, ServerId id) noexcept;
[[nodiscard]] const control::FailureDomain *findDomain(const ConfigurationIndex &index, DomainId id) noexcept;

/** The declared server with this name, address and kind. */
[[nodiscard]] const control::BackendServer *
findDeclaredServer(const ConfigurationIndex &index, std::string_view name, std::string_view address, std::string_view kind) noexcept;

/** Adapter of @p base that an engine calls @p name ("name@version"); AdapterId{} when it is not in the configuration. */
[[nodiscard]] AdapterId findAdapterByName(const ConfigurationIndex &index, std::string_view base, std::string_view name);

} // namespace mimosahollow::serving
