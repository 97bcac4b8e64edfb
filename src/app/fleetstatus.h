#pragma once

#include <string>

namespace mimosahollow::control {
struct AuditLog;
}

namespace mimosahollow::app {

class Instance;

/** JSON of /admin/v1/status: the fleet as this instance sees it. */
[[nodiscard]] std::string fleetStatusJson(Instance &instance);

/** JSON of /admin/v1/audit, with whether the hash chain holds. */
[[nodiscard]] std::string auditJson(const control::AuditLog &log);

} // namespace mimosahollow::app
