#pragma once

#include "callerwatch.h"
#include "gatewaythread.h"
#include "httptypes.h"
#include "modelcall.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace mimosahollow::gateway {

/** One connection of a caller or of a backend server. */
struct Session
{
    GatewayThread &thread;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<CallerWatch> watch;
};

/** Sends a response that the gateway itself gives; closes the connection after it while the instance drains. */
[[nodiscard]] boost::asio::awaitable<ConnectionState> answer(Session &session, HttpResponse response);

/** Refuses a request. */
[[nodiscard]] boost::asio::awaitable<ConnectionState>
refuse(Session &session, const HttpRequest &request, const RequestId &id, ServingRefusal refusal, std::string_view message = {});

/** The key of a request, "Authorization: Bearer KEY"; empty when there is none. */
[[nodiscard]] std::string_view callerKey(const HttpRequest &request);

[[nodiscard]] boost::asio::awaitable<ConnectionState> handleModelCall(Session &session, const HttpRequest &request, ModelEndpoint endpoint);
[[nodiscard]] boost::asio::awaitable<ConnectionState> handleServiceCall(Session &session, const HttpRequest &request, const std::string &path);

} // namespace mimosahollow::gateway
