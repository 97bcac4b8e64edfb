#pragma once

#include <optional>
#include <string_view>

namespace mimosahollow::routing {

/** The parts of a "model" field: "base", "base:adapter" or "base:adapter@version". Views into the parsed text. */
struct ModelName
{
    std::string_view base;
    std::string_view adapter; /**< Empty: the bare base model. */
    std::string_view version; /**< Empty: the version that the configuration names. */
};

/** Empty when a part is missing, for example "base:" or "base:adapter@". */
[[nodiscard]] std::optional<ModelName> parseModelName(std::string_view text) noexcept;

} // namespace mimosahollow::routing
