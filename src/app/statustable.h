#pragma once

#include <string>

namespace mimosahollow::app {

/** Readable tables of the JSON of /admin/v1/status. */
[[nodiscard]] std::string statusTable(const std::string &statusJson);

/** The bundle in force and how fresh the answering instance is. */
[[nodiscard]] std::string bundleStatus(const std::string &statusJson);

} // namespace mimosahollow::app
