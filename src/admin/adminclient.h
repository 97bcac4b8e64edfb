#pragma once

#include "mimosahollow/control/command.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mimosahollow::admin {

/** Where the admin API is and who asks. */
struct AdminTarget
{
    std::string address; /**< "IP:port". */
    std::string operatorKey;
};

struct AdminAnswer
{
    unsigned status = 0;
    std::string body;
};

/** Why there is no answer. */
struct AdminFailure
{
    bool sent = false; /**< The request may have reached the instance. */
    std::string message;
};

using AdminResult = std::variant<AdminAnswer, AdminFailure>;

[[nodiscard]] AdminResult adminGet(const AdminTarget &target, const std::string &path);

/** Sends a change. After a lost answer it sends the same command id again, so that the result is known where possible. */
[[nodiscard]] AdminResult adminPost(const AdminTarget &target, const std::string &path, const std::string &body);

} // namespace mimosahollow::admin
