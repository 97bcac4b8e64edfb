#pragma once

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/core/refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::routing {

/** Prebuilt index of a configuration. Positions refer to the configuration's vectors, which must outlive the index. */
struct RoutingIndex
{
    const control::Configuration *configuration = nullptr;
    std::vector<std::uint32_t> adapterSlots; /**< Hash table of versions and defaults: position in `adapters` + 1, or 0. */
    std::vector<std::uint32_t> routeOrder; /**< Positions in `routes`, sorted by prefix. */
};

/** A resolved call. Pointers into the configuration. */
struct Resolution
{
    std::string_view kind; /**< Base model or plain service; the kind of the pool. */
    const control::Adapter *adapter = nullptr; /**< Empty for a bare base model or a plain service. */
    const control::Route *route = nullptr; /**< Set for a plain service. */
};

using ResolveResult = std::variant<Resolution, RefusalReason>;

[[nodiscard]] RoutingIndex buildRoutingIndex(const control::Configuration &configuration);

/** Resolves "base", "base:adapter" or "base:adapter@version": UnknownModel, NotPermitted or the adapter. */
[[nodiscard]] ResolveResult resolveModel(const RoutingIndex &index, std::string_view model, OrganisationId organisation) noexcept;

/** Route with the longest prefix of @p path: UnknownRoute, InvalidKey (no organisation, not open), NotPermitted or the route. */
[[nodiscard]] ResolveResult resolvePath(const RoutingIndex &index, std::string_view path, std::optional<OrganisationId> organisation) noexcept;

/** Heap memory of the index, without the configuration. */
[[nodiscard]] std::size_t memoryBytes(const RoutingIndex &index) noexcept;

} // namespace mimosahollow::routing
