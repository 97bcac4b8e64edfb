#pragma once

#include "mimosahollow/admin/operators.h"
#include "mimosahollow/control/command.h"
#include "mimosahollow/control/configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mimosahollow::admin {

/** Why a request of an operator was refused before anything was submitted. */
struct RequestError
{
    unsigned status = 400;
    std::string message;
};

/** Command of a POST request below /admin/v1/; the path is without that prefix. */
[[nodiscard]] std::variant<control::CommandBody, RequestError>
parseAdminRequest(std::string_view path, std::string_view body, const std::vector<OperatorRecord> &operators);

/** Checks a packed bundle and lists what it would change. */
[[nodiscard]] std::variant<std::string, RequestError>
checkBundle(std::string_view packed, const std::vector<OperatorRecord> &operators, const control::Configuration &inForce);

/** Command id from its 32 hexadecimal digits. */
[[nodiscard]] std::optional<control::CommandId> parseCommandId(std::string_view text);
[[nodiscard]] std::string toText(const control::CommandId &id);

[[nodiscard]] std::string_view toString(control::CommandOutcome outcome) noexcept;

} // namespace mimosahollow::admin
