#pragma once

#include <string>
#include <string_view>

namespace mimosahollow::quarantine {

/** What stays the same when a request comes again, at any instance and with another id and other headers. */
struct RequestIdentity
{
    std::string_view organisation; /**< Empty on a route without authentication. */
    std::string_view method;
    std::string_view host;
    std::string_view target; /**< Path and query. */
    std::string_view body;
};

/** Name under which a whole request is judged beside the parts of prompts. */
[[nodiscard]] std::string requestName(const RequestIdentity &identity);

/** Whether @p name is that of a whole request, not of a prompt part. */
[[nodiscard]] bool isRequestName(std::string_view name) noexcept;

} // namespace mimosahollow::quarantine
