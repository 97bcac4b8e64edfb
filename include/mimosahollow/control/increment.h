#pragma once

#include "mimosahollow/control/configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::control {

/** Added and changed elements of one type, and the keys of removed elements. */
template<typename Element, typename Key>
struct ElementChanges
{
    std::vector<Element> changed; /**< Added or changed. */
    std::vector<Key> removed;

    [[nodiscard]] bool empty() const noexcept
    {
        return changed.empty() && removed.empty();
    }
};

/** Difference between two configurations derived from the same log. */
struct Increment
{
    Version from = 0; /**< Log index of the configuration that the increment applies to. */
    Version to = 0; /**< Log index of the resulting configuration. */
    Version version = 0; /**< Bundle version of the resulting configuration. */
    double loadRate = 0;
    std::uint32_t loadsInFlight = 0;
    std::optional<std::vector<std::string>> baseModels;
    std::optional<std::vector<Route>> routes; /**< Complete list when any route changed; there are few routes. */
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
    BaseMismatch, /**< The log index of the configuration is not Increment::from. */
};

/** Computes the increment that turns @p before into @p after. */
[[nodiscard]] Increment difference(const Configuration &before, const Configuration &after);

/** Returns an increment with the effect of @p first followed by @p second. */
[[nodiscard]] Increment composeIncrements(Increment first, const Increment &second);

/** Returns a new configuration that shares unchanged chunks of adapters with @p before. */
[[nodiscard]] std::variant<std::shared_ptr<const Configuration>, IncrementError> applyIncrement(const Configuration &before, const Increment &increment);

} // namespace mimosahollow::control
