#pragma once

#include "mimosahollow/gateway/backendevents.h"

#include <optional>
#include <string_view>

namespace mimosahollow::gateway {

/** Parses the JSON of POST /backend/v1/announce. Empty when a field is missing or has the wrong type. */
[[nodiscard]] std::optional<BackendAnnouncement> parseAnnouncement(std::string_view body);

/** Parses the JSON of POST /backend/v1/report. */
[[nodiscard]] std::optional<BackendReport> parseReport(std::string_view body);

} // namespace mimosahollow::gateway
