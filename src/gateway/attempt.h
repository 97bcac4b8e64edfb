#pragma once

#include "httptypes.h"
#include "mimosahollow/gateway/servingreply.h"
#include "mimosahollow/gateway/servingresult.h"

#include <boost/asio/awaitable.hpp>

namespace mimosahollow::gateway {

class CallerWatch;
class GatewayThread;

/** What the attempt needs besides its grant. */
struct AttemptRequest
{
    RequestId id;
    boost::beast::http::verb method = boost::beast::http::verb::post;
    std::string target; /**< Path on the backend server. */
    std::string contentType;
    std::string body;
    TimePoint arrival{};
    bool stream = false;
    bool storeAnswer = false; /**< The result carries the answer, for calls with an idempotency key. */
    bool keepAlive = true; /**< Of the caller's connection. */
    unsigned httpVersion = 11;
};

/** Result of an attempt, and whether the caller's connection can carry another call. */
struct AttemptEnd
{
    ServingResult result;
    bool sent = false; /**< Bytes of the call may have reached the backend server. */
    bool answerStarted = false; /**< Bytes of an answer were sent to the caller; the attempt must not be repeated. */
    ConnectionState connection = ConnectionState::Close;
};

/**
 * Sends the call to the granted backend server and carries its answer to the caller.
 *
 * A caller that leaves cancels the attempt, except a call that may not be repeated and was already sent: it runs to its
 * end, so that its result is known.
 */
[[nodiscard]] boost::asio::awaitable<AttemptEnd>
runAttempt(GatewayThread &thread, boost::beast::tcp_stream &caller, CallerWatch &watch, const AttemptRequest &request, const ServingGrant &grant);

} // namespace mimosahollow::gateway
