#pragma once

#include "httptypes.h"
#include "mimosahollow/gateway/servingreply.h"

#include <boost/asio/awaitable.hpp>

namespace mimosahollow::gateway {

/** A response to @p request; without its body when the request is HEAD. */
[[nodiscard]] HttpResponse makeResponse(const HttpRequest &request, unsigned status, std::string_view contentType, std::string body);

/** The JSON error of a refusal: outcome, reason code, message, request id; Retry-After where it helps. */
[[nodiscard]] HttpResponse makeRefusal(const HttpRequest &request, const RequestId &id, const ServingRefusal &refusal, std::string_view message = {});

/** The JSON error for a request that broke HTTP or its limits; the connection is closed after it. */
[[nodiscard]] HttpResponse makeProtocolError(const RequestId &id, RefusalReason reason, unsigned status, std::string_view message);

/** JSON body of a refusal. */
[[nodiscard]] std::string refusalBody(const RequestId &id, const ServingRefusal &refusal, std::string_view message);

/** Writes a whole response. */
[[nodiscard]] boost::asio::awaitable<ConnectionState> sendResponse(boost::beast::tcp_stream &stream, HttpResponse response);

} // namespace mimosahollow::gateway
