#pragma once

#include "ingress/callerconnection.h"
#include "ingress/callerrequest.h"

#include <boost/asio/awaitable.hpp>

namespace mimosahollow::ingress {

/** Serves one proper request: admission, choice of a backend server, attempts, answer. Returns false when the connection has ended. */
[[nodiscard]] boost::asio::awaitable<bool> relayCall(CallerConnection &caller, const CallerRequest &request);

} // namespace mimosahollow::ingress
