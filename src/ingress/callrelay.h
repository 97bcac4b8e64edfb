#pragma once

#include "ingress/callerconnection.h"
#include "ingress/callerrequest.h"

#include <boost/asio/awaitable.hpp>

namespace mimosahollow::ingress {

/**
 * Serves one request with valid framing: admission, choice of a backend server, attempts, response.
 *
 * Returns false when the connection cannot be used for another call.
 */
[[nodiscard]] boost::asio::awaitable<bool> relayCall(CallerConnection &caller, const CallerRequest &request);

} // namespace mimosahollow::ingress
