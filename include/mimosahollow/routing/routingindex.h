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

/** Lookup index of a configuration. Positions refer to vectors of the configuration, which must outlive the index. */
struct RoutingIndex
{
    const control::Configuration *configuration = nullptr;
    std::vector<std::uint32_t> adapterSlots; /**< Open-addressing hash table of versions and defaults: position in `adapters` + 1, or 0 for a free slot. */
    std::vector<std::uint32_t> routeOrder; /**< Positions in `routes`, sorted by prefix. */
};

/** Target of a call. Pointers and views refer to the configuration. */
struct Resolution
{
    std::string_view kind; /**< Base model or plain service; matches the kind of a pool. */
    const control::Adapter *adapter = nullptr; /**< Null for a base model without an adapter and for a plain service. */
    const control::Route *route = nullptr; /**< Null unless the call is for a plain service. */
};

using ResolveResult = std::variant<Resolution, RefusalReason>;

[[nodiscard]] RoutingIndex buildRoutingIndex(const control::Configuration &configuration);

/** Resolves "base", "base:adapter" or "base:adapter@version". Refuses with UnknownModel or NotPermitted. */
[[nodiscard]] ResolveResult resolveModel(const RoutingIndex &index, std::string_view model, OrganisationId organisation) noexcept;

/** Finds the route with the longest prefix of @p path. Refuses with UnknownRoute, InvalidKey (no organisation and the route is not open) or NotPermitted. */
[[nodiscard]] ResolveResult resolvePath(const RoutingIndex &index, std::string_view path, std::optional<OrganisationId> organisation) noexcept;

/** Heap memory of the index in bytes, without the configuration. */
[[nodiscard]] std::size_t memoryBytes(const RoutingIndex &index) noexcept;

} // namespace mimosahollow::routing
