#include "ingress/callersession.h"

#include "httpio/boundedread.h"
#include "httpio/framing.h"
#include "ingress/callerconnection.h"
#include "ingress/callrelay.h"
#include "ingress/responsewriter.h"
#include "mimosahollow/observability/decisionline.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <optional>

namespace mimosahollow::ingress {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr seconds bodyTimeout{10};
constexpr Duration overloadRetryAfter = seconds(1); // requests that are sent at an ordinary pace have arrived by then

catalog::CallerLimits limitsOf(const Entry &entry)
{
    return entry.catalog() ? entry.catalog()->catalog().limits : catalog::CallerLimits{};
}

/** Returns the response to a request that could not be read, or nothing if the connection was closed or timed out. */
std::optional<LocalResponse> responseForReadError(const boost::system::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return LocalResponse{RefusalReason::InvalidRequest, "the head, the trailer or the chunk framing is too large", std::nullopt, 431};
    }
    if (error == http::error::body_limit) {
        return LocalResponse{RefusalReason::InvalidRequest, "the body is too large", std::nullopt, 413};
    }
    if (error == asio::error::no_buffer_space) {
        return LocalResponse{RefusalReason::Overloaded, "requests of all callers take too much memory", overloadRetryAfter, 503};
    }
    const bool isConnectionEnd = error == http::error::end_of_stream || error == http::error::partial_message || error == beast::error::timeout;
    if (isConnectionEnd || error.category() != make_error_code(http::error::bad_method).category()) {
        return std::nullopt;
    }
    return LocalResponse{RefusalReason::InvalidRequest, "the request is not valid HTTP", std::nullopt, std::nullopt};
}

/** Reads the head and the body, each within its time. */
asio::awaitable<boost::system::error_code> readParts(CallerConnection &caller, httpio::RequestParser &parser)
{
    const catalog::CallerLimits limits = limitsOf(caller.entry);
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    caller.buffer.max_size(std::max(caller.buffer.size(), httpio::readAheadLimit(limits.headerBytes)));
    const auto hold = [&caller](std::size_t bytes) {
        return caller.entry.holdBytes(caller.number, bytes);
    };
    const auto idle = caller.entry.addIdleCaller(caller.stream, caller.buffer);
    caller.stream.expires_after(limits.idleTimeout);
    auto error = co_await httpio::awaitRequest(caller.stream, caller.buffer);
    if (!error && !hold(caller.buffer.capacity())) { // what the call before took is free again
        error = asio::error::no_buffer_space;
    }
    if (!error) {
        caller.stream.expires_after(limits.headerTimeout);
        error = co_await httpio::readHead(caller.stream, caller.buffer, parser, hold);
    }
    caller.entry.removeIdleCaller(idle);
    if (!error) {
        caller.stream.expires_after(bodyTimeout);
        error = co_await httpio::readBody(caller.stream, caller.buffer, parser, hold);
    }
    caller.stream.expires_never();
    co_return error;
}

/** Reads one request. Returns nothing when no further request can be read; an invalid request has then already got its error response. */
asio::awaitable<std::optional<CallerRequest>> readRequest(CallerConnection &caller)
{
    httpio::RequestParser parser;
    const boost::system::error_code error = co_await readParts(caller, parser);
    if (!error) {
        co_return parser.release();
    }
    if (const auto response = responseForReadError(error)) {
        caller.keepAlive = false;
        const bool isWritten = co_await writeLocalResponse(caller, {}, *response);
        if (!isWritten) {
            observability::logInfo("caller disconnected before the error response to its invalid request was sent");
        }
    }
    co_return std::nullopt;
}

asio::awaitable<void> serveRequests(CallerConnection &caller)
{
    while (caller.keepAlive) {
        const auto request = co_await readRequest(caller);
        if (!request) {
            co_return;
        }
        caller.keepAlive = request->keep_alive() && !caller.entry.isStopping();
        if (const std::string problem = httpio::findFramingError(*request); !problem.empty()) {
            caller.keepAlive = false;
            observability::DecisionLine line("call-refused");
            line.add("reason", problem);
            observability::logDecision(line.text());
            const LocalResponse response{RefusalReason::InvalidRequest, problem, std::nullopt, std::nullopt};
            co_await writeLocalResponse(caller, {}, response);
            co_return;
        }
        caller.entry.sessionCallBegan(caller.number);
        caller.watch->beginCall();
        const bool isUsable = co_await relayCall(caller, *request);
        caller.watch->endCall();
        caller.entry.sessionCallEnded(caller.number);
        if (!isUsable || caller.watch->callerLeft()) {
            co_return;
        }
    }
}

} // namespace

asio::awaitable<void> serveCaller(Entry &entry, asio::ip::tcp::socket socket)
{
    boost::system::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    socket.non_blocking(true, error);
    if (error) {
        co_return; // the caller has already closed the connection
    }
    callerlimits::ConnectionNumber number = 0;
    {
        CallerConnection caller(entry, std::move(socket));
        const auto opened = entry.sessionOpened(caller.stream);
        if (!opened) {
            co_return;
        }
        number = *opened;
        caller.number = number;
        co_await serveRequests(caller);
        boost::system::error_code ignored; // the caller may have already closed the connection
        caller.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    entry.sessionClosed(number);
}

} // namespace mimosahollow::ingress
