#pragma once

#include <string>

namespace mimosahollow::ingress {

class Entry;

/** A call as a caller would send it. */
struct CallQuery
{
    std::string host;
    std::string path;
    std::string organisation; /**< Empty: the call has no key. */
    std::string model;
    std::string adapter;
    double tokens = 0; /**< 0: not stated. */
};

/**
 * Where @p entry would send a call now, and why, as JSON: its route, its organisation and, for each service of the route, the decision and what
 * each backend server can do. Sends nothing and counts nothing.
 */
[[nodiscard]] std::string explainCall(Entry &entry, const CallQuery &query);

} // namespace mimosahollow::ingress
