#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace mimosahollow::soak {

inline constexpr auto completionToken = boost::asio::as_tuple(boost::asio::use_awaitable);

[[nodiscard]] inline boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

[[nodiscard]] inline std::chrono::steady_clock::duration durationOf(double seconds)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(seconds));
}

inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &context, double seconds)
{
    boost::asio::steady_timer timer(context, durationOf(seconds));
    co_await timer.async_wait(completionToken);
}

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** One request with a JSON body on a connection of its own. Returns nothing without a whole answer within @p seconds. */
inline boost::asio::awaitable<std::optional<HttpResponse>>
exchange(boost::asio::io_context &context, std::string address, boost::beast::http::verb method, std::string target, std::string body, double seconds)
{
    namespace http = boost::beast::http;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(durationOf(seconds));
    const auto [connectError] = co_await stream.async_connect(endpointOf(address), completionToken);
    if (connectError) {
        co_return std::nullopt;
    }
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    const auto [writeError, written] = co_await http::async_write(stream, request, completionToken);
    if (writeError) {
        co_return std::nullopt;
    }
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    const auto [readError, count] = co_await http::async_read(stream, buffer, response, completionToken);
    if (readError) {
        co_return std::nullopt;
    }
    co_return response;
}

} // namespace mimosahollow::soak
