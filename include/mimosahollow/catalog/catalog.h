#pragma once

#include "mimosahollow/catalog/callroute.h"
#include "mimosahollow/catalog/organisationspec.h"
#include "mimosahollow/catalog/servicespec.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mimosahollow::catalog {

/** Bounds on what a caller sends. */
struct CallerLimits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/** Routes, services and organisations of one version of the operators' configuration. */
struct Catalog
{
    std::uint64_t version = 0;
    std::vector<CallRoute> routes;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    bool isKeyless = false; /**< No route needs a key. Not the same as an empty list of organisations, whose keys nobody holds. */
    CallerLimits limits;
};

/** Why @p catalog must not come into force; empty when it is valid. */
[[nodiscard]] std::string findProblem(const Catalog &catalog);

} // namespace mimosahollow::catalog
