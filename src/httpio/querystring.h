#pragma once

#include <map>
#include <string>
#include <string_view>

namespace mimosahollow::httpio {

using QueryFields = std::map<std::string, std::string, std::less<>>;

/** The fields of the query of @p target, the part behind '?'. A name that comes twice has its last value. */
[[nodiscard]] QueryFields parseQuery(std::string_view target);

/** The query with these fields, beginning with '?'. */
[[nodiscard]] std::string formatQuery(const QueryFields &fields);

} // namespace mimosahollow::httpio
