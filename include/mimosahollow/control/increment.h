#pragma once

#include "mimosahollow/control/configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::control {

/** New or changed elements of one kind, and the keys of removed ones. */
template<typename Element, typename Key>
struct ElementChanges
{
    std::vector<Element> changed;
    std::vector<Key> removed;

    [[nodiscard]] bool empty() const noexcept
    {
        return changed.empty() && removed.empty();
    }
};

/** Difference between two configurations of the same log. */
struct Increment
{
    Version from = 0; /**< Log index of the configuration that it applies to. */
    Version to = 0; /**< Log index after it. */
    Version version = 0; /**< Bundle version after it. */
    double loadRate = 0;
    std::uint32_t loadsInFlight = 0;
    std::optional<std::vector<std::string>> baseModels;
    std::optional<std::vector<Route>> routes; /**< All routes, when one changed: there are few. */
    ElementChanges<FailureDomain, DomainId> domains;
    ElementChanges<Organisation, OrganisationId> organisations;
    ElementChanges<ApiKey, KeyHash> keys;
    ElementChanges<Adapter, AdapterId> adapters;
    ElementChanges<BackendServer, ServerId> servers;
    ElementChanges<Pool, PoolId> pools;
    ElementChanges<BucketOwner, DomainId> bucketOwners;
    ElementChanges<Instance, InstanceId> instances;
};

enum class IncrementError : std::uint8_t {
    BaseMismatch, /**< The configuration is not the one that the increment applies to. */
};

/** What turns @p before into @p after. */
[[nodiscard]] Increment difference(const Configuration &before, const Configuration &after);

/** @p first followed by @p second. */
[[nodiscard]] Increment composeIncrements(Increment first, const Increment &second);

/** A new configuration that shares all unchanged adapters with @p before. */
[[nodiscard]] std::variant<std::shared_ptr<const Configuration>, IncrementError> applyIncrement(const Configuration &before, const Increment &increment);

} // namespace mimosahollow::control
