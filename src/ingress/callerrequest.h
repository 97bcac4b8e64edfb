#pragma once

#include "ingress/callerconnection.h"
#include "ingress/headernames.h"
#include "mimosahollow/core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::ingress {

/** Call parameters decoded from the request line and headers. */
struct CallHead
{
    std::string id;
    std::string host; /**< Without the port. */
    std::string path; /**< Without the query string. */
    std::string key; /**< API key; empty if the request has none. */
    std::string model;
    std::string adapter;
    std::optional<double> tokens; /**< Sum of prompt and output tokens. */
    std::vector<std::string> sharedParts; /**< Ids of the prompt parts that other calls may have too: all but the last. */
    std::optional<std::uint64_t> lastEventId;
    std::optional<Duration> timeout; /**< How long the caller waits for the response. */
};

[[nodiscard]] CallHead parseCallHead(const CallerRequest &request, const HeaderNames &names);

/** Headers that the entry instance adds to a request that it forwards to a backend server. */
struct ForwardedHeaders
{
    std::string organisation; /**< Empty on a route without authentication. */
    std::string expectedServer;
    std::uint64_t expectedVersion = 0; /**< 0: any version. */
    Duration remaining{}; /**< Time until the deadline of the call. */
    std::optional<int> priority;
    std::optional<std::uint64_t> lastEventId; /**< Resumes a stream after this event. */
};

/** Returns the head of the request to a backend server. The body is forwarded unchanged. */
[[nodiscard]] std::string makeForwardedHead(const CallerRequest &request, const HeaderNames &names, const ForwardedHeaders &added);

/** Whether @p name is a hop-by-hop header. @p connectionHeader is the value of the Connection header. */
[[nodiscard]] bool isHopByHop(std::string_view name, std::string_view connectionHeader);

} // namespace mimosahollow::ingress
