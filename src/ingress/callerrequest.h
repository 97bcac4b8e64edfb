#pragma once

#include "ingress/callerconnection.h"
#include "ingress/headernames.h"
#include "mimosahollow/core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace mimosahollow::ingress {

/** What the headers of a request say about its call. */
struct CallHead
{
    std::string id;
    std::string host; /**< Without a port. */
    std::string path; /**< Without the query. */
    std::string key; /**< Empty when there is none. */
    std::string model;
    std::string adapter;
    std::optional<double> tokens; /**< Prompt and output together. */
    std::optional<std::uint64_t> lastEventId;
    std::optional<Duration> timeout; /**< For how long the caller waits. */
};

/** Why a request is not proper; empty when it is. Such a request may hide another one, so its connection must be closed. */
[[nodiscard]] std::string findFramingError(const CallerRequest &request);

[[nodiscard]] CallHead parseCallHead(const CallerRequest &request, const HeaderNames &names);

/** What the entry instance adds to a request for a backend server. */
struct ForwardedHeaders
{
    std::string organisation; /**< Empty for an open route. */
    std::string expectedServer;
    std::uint64_t expectedVersion = 0; /**< 0: any. */
    Duration remaining{};
    std::optional<int> priority;
    std::optional<std::uint64_t> lastEventId; /**< Continues a stream after this event. */
};

/** Head of the request for a backend server; the body follows unchanged. */
[[nodiscard]] std::string makeForwardedHead(const CallerRequest &request, const HeaderNames &names, const ForwardedHeaders &added);

/** Whether @p name concerns only one connection. @p connectionHeader is the value of the Connection header. */
[[nodiscard]] bool isHopByHop(std::string_view name, std::string_view connectionHeader);

} // namespace mimosahollow::ingress
