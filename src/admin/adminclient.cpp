#include "adminclient.h"

#include "adminrequests.h"
#include "gateway/addresses.h"
#include "gateway/httptypes.h"
#include "httpio/answerread.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/write.hpp>
#include <sodium.h>

namespace mimosahollow::admin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using gateway::HttpRequest;

namespace {

// Longer than the server's own patience, so that its answer arrives.
constexpr std::chrono::seconds answerTimeout{40};
constexpr int attempts = 3;

HttpRequest makeRequest(const AdminTarget &target, http::verb method, const std::string &path, const std::string &body)
{
    HttpRequest request(method, path, 11);
    request.set(http::field::host, target.address);
    request.set(http::field::authorization, "Bearer " + target.operatorKey);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();
    return request;
}

asio::awaitable<void> exchange(asio::io_context &context, const AdminTarget &target, const HttpRequest &request, AdminResult &result)
{
    const auto endpoint = parseEndpoint(target.address);
    if (!endpoint) {
        result = AdminFailure{false, "not an address: " + target.address};
        co_return;
    }
    beast::tcp_stream stream(context);
    stream.expires_after(answerTimeout);
    const auto [connectError] = co_await stream.async_connect(*endpoint, asio::as_tuple(asio::use_awaitable));
    if (connectError) {
        result = AdminFailure{false, "cannot connect to " + target.address + ": " + connectError.message()};
        co_return;
    }
    const auto [writeError, written] = co_await http::async_write(stream, request, asio::as_tuple(asio::use_awaitable));
    beast::flat_buffer buffer;
    httpio::WholeAnswerParser parser;
    parser.body_limit(boost::none);
    const auto readError = co_await httpio::readAnswer(stream, buffer, parser);
    static_cast<void>(written);
    if (writeError || readError) {
        result = AdminFailure{true, "no answer from " + target.address + ": " + (writeError ? writeError : readError).message()};
        co_return;
    }
    result = AdminAnswer{parser.get().result_int(), std::move(parser.get().body())};
}

AdminResult run(const AdminTarget &target, const HttpRequest &request)
{
    asio::io_context context(1);
    AdminResult result = AdminFailure{};
    asio::co_spawn(context, exchange(context, target, request, result), [](const std::exception_ptr &) {});
    context.run();
    return result;
}

} // namespace

AdminResult adminGet(const AdminTarget &target, const std::string &path)
{
    return run(target, makeRequest(target, http::verb::get, path, {}));
}

AdminResult adminPost(const AdminTarget &target, const std::string &path, const std::string &body)
{
    control::CommandId id;
    randombytes_buf(&id, sizeof id);
    HttpRequest request = makeRequest(target, http::verb::post, path, body);
    request.set("X-Command-Id", toText(id));
    AdminResult result = run(target, request);
    for (int attempt = 1; attempt < attempts; ++attempt) {
        const auto *failure = std::get_if<AdminFailure>(&result);
        if (failure == nullptr || !failure->sent) {
            return result;
        }
        result = run(target, request);
    }
    if (auto *failure = std::get_if<AdminFailure>(&result)) {
        failure->message += "; it is not known whether command " + toText(id) + " took effect";
    }
    return result;
}

} // namespace mimosahollow::admin
