#include "answers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <cstdio>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

// A caller that does not read for this long is treated as gone.
constexpr seconds writeTimeout{30};

std::string retryAfterSeconds(Duration duration)
{
    const auto whole = std::chrono::ceil<seconds>(duration);
    return std::to_string(std::max<std::int64_t>(whole.count(), 1));
}

/** Type names that OpenAI clients map to their own error classes. */
std::string_view errorType(unsigned status)
{
    switch (status) {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 404:
        return "not_found_error";
    case 429:
        return "rate_limit_error";
    default:
        return status >= 500 ? "server_error" : "invalid_request_error";
    }
}

} // namespace

std::string toText(const RequestId &id)
{
    std::array<char, 40> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%016llx-%llx", static_cast<unsigned long long>(id.process), static_cast<unsigned long long>(id.sequence));
    return {text.data(), static_cast<std::size_t>(length)};
}

HttpResponse makeResponse(const HttpRequest &request, unsigned status, std::string_view contentType, std::string body)
{
    HttpResponse response(static_cast<http::status>(status), request.version());
    response.set(http::field::content_type, boost::beast::string_view(contentType.data(), contentType.size()));
    response.keep_alive(request.keep_alive());
    response.content_length(body.size());
    if (request.method() != http::verb::head) {
        response.body() = std::move(body);
    }
    return response;
}

std::string refusalBody(const RequestId &id, const ServingRefusal &refusal, std::string_view message)
{
    json::object error;
    error["message"] = message.empty() ? toString(refusal.reason) : message;
    error["type"] = errorType(httpStatus(refusal.reason));
    error["code"] = toString(refusal.reason);
    error["outcome"] = toString(refusal.outcome);
    error["request_id"] = toText(id);
    return json::serialize(json::object{{"error", std::move(error)}});
}

HttpResponse makeRefusal(const HttpRequest &request, const RequestId &id, const ServingRefusal &refusal, std::string_view message)
{
    HttpResponse response = makeResponse(request, httpStatus(refusal.reason), "application/json", refusalBody(id, refusal, message));
    response.set("X-Request-Id", toText(id));
    if (refusal.reason == RefusalReason::InvalidKey) {
        response.set(http::field::www_authenticate, "Bearer");
    }
    if (refusal.retryAfter > Duration::zero()) {
        response.set(http::field::retry_after, retryAfterSeconds(refusal.retryAfter));
    }
    return response;
}

HttpResponse makeProtocolError(const RequestId &id, RefusalReason reason, unsigned status, std::string_view message)
{
    const ServingRefusal refusal{reason, CallOutcome::NotRun, {}};
    HttpResponse response = makeResponse(HttpRequest(http::verb::get, "/", 11), status, "application/json", refusalBody(id, refusal, message));
    response.set("X-Request-Id", toText(id));
    response.keep_alive(false);
    return response;
}

asio::awaitable<ConnectionState> sendResponse(boost::beast::tcp_stream &stream, HttpResponse response)
{
    const bool keepAlive = response.keep_alive();
    stream.expires_after(writeTimeout);
    const auto [error, bytes] = co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    co_return !error && keepAlive ? ConnectionState::KeepAlive : ConnectionState::Close;
}

} // namespace mimosahollow::gateway
