#include "ingress/responsewriter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace mimosahollow::ingress {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** A caller that has not accepted a response or chunk after this time is disconnected. */
constexpr seconds writeTimeout{10};

std::string secondsText(Duration duration)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return {text.data(), static_cast<std::size_t>(std::max(0, length))};
}

} // namespace

unsigned statusOf(const LocalResponse &response) noexcept
{
    return response.status.value_or(httpStatus(response.reason));
}

asio::awaitable<bool> writeBytes(CallerConnection &caller, std::string_view bytes)
{
    caller.stream.expires_after(writeTimeout);
    const auto [error, count] = co_await asio::async_write(caller.stream, asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
    caller.stream.expires_never();
    co_return !error;
}

asio::awaitable<bool> writeChunk(CallerConnection &caller, std::string_view bytes)
{
    std::array<char, 20> size{};
    const auto [end, sizeError] = std::to_chars(size.data(), size.data() + 16, bytes.size(), 16);
    end[0] = '\r';
    end[1] = '\n';
    const std::array<asio::const_buffer, 3> buffers{
        asio::buffer(size.data(), static_cast<std::size_t>(end + 2 - size.data())), asio::buffer(bytes), asio::buffer("\r\n", 2)};
    caller.stream.expires_after(writeTimeout);
    const auto [error, count] = co_await asio::async_write(caller.stream, buffers, asio::as_tuple(asio::use_awaitable));
    caller.stream.expires_never();
    co_return !error;
}

asio::awaitable<bool> writeLocalResponse(CallerConnection &caller, std::string_view callId, const LocalResponse &response)
{
    const unsigned status = statusOf(response);
    const std::string body = R"({"error":")" + std::string(toString(response.reason)) + R"(","detail":")" + response.detail + "\"}\n";
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(http::obsolete_reason(static_cast<http::status>(status)));
    text += "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!callId.empty()) {
        text.append(caller.entry.settings().headers.callId).append(": ").append(callId).append("\r\n");
    }
    if (response.retryAfter) {
        text += "Retry-After: " + secondsText(*response.retryAfter) + "\r\n";
    }
    if (!caller.keepAlive) {
        text += "Connection: close\r\n";
    }
    text += "\r\n" + body;
    co_return co_await writeBytes(caller, text);
}

} // namespace mimosahollow::ingress
