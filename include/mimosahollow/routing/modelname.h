#pragma once

#include <optional>
#include <string_view>

namespace mimosahollow::routing {

/** Parts of the "model" field of a request: "base", "base:adapter" or "base:adapter@version". Views into the parsed text. */
struct ModelName
{
    std::string_view base;
    std::string_view adapter; /**< Empty for the base model without an adapter. */
    std::string_view version; /**< Empty for the default version of the configuration. */
};

/** Returns nullopt when a part is missing, for example "base:" or "base:adapter@". */
[[nodiscard]] std::optional<ModelName> parseModelName(std::string_view text) noexcept;

} // namespace mimosahollow::routing
