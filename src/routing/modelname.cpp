#include "mimosahollow/routing/modelname.h"

namespace mimosahollow::routing {

std::optional<ModelName> parseModelName(std::string_view text) noexcept
{
    ModelName name;
    const std::size_t colon = text.find(':');
    name.base = text.substr(0, colon);
    if (name.base.empty()) {
        return std::nullopt;
    }
    if (colon == std::string_view::npos) {
        return name;
    }
    const std::string_view rest = text.substr(colon + 1);
    const std::size_t at = rest.find('@');
    name.adapter = rest.substr(0, at);
    if (at != std::string_view::npos) {
        name.version = rest.substr(at + 1);
    }
    const bool versionMissing = at != std::string_view::npos && name.version.empty();
    if (name.adapter.empty() || versionMissing) {
        return std::nullopt;
    }
    return name;
}

} // namespace mimosahollow::routing
