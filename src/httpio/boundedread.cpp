#include "httpio/boundedread.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace mimosahollow::httpio {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t firstReadBytes = 1024; // an idle connection holds only this much
constexpr std::size_t readBytes = 16'384;
// A body in chunks of one byte has five bytes of framing for each of them, and is served. Extensions of ordinary callers are far shorter.
constexpr std::size_t framingBytesForEach = 8;
constexpr std::size_t framingBytesBase = 65'536;

/** Reads until @p isComplete holds. */
template<typename Complete>
asio::awaitable<boost::system::error_code>
readUntil(beast::tcp_stream &stream, beast::flat_buffer &buffer, RequestParser &parser, const HoldBytes &hold, Complete isComplete)
{
    std::size_t parsed = 0;
    while (!isComplete()) {
        boost::system::error_code problem = http::error::need_more;
        if (buffer.size() > 0) {
            const std::size_t used = parser.put(buffer.data(), problem);
            buffer.consume(used);
            parsed += used;
        }
        if (problem && problem != http::error::need_more) {
            co_return problem;
        }
        const std::size_t body = parser.get().body().size();
        if (parser.is_header_done() && parsed > body + framingBytesBase + framingBytesForEach * body) {
            co_return http::error::buffer_overflow;
        }
        if (!problem) {
            continue;
        }
        const std::size_t space = std::min(readBytes, buffer.max_size() - std::min(buffer.max_size(), buffer.size()));
        if (space == 0) {
            co_return http::error::buffer_overflow;
        }
        const auto [error, count] = co_await stream.async_read_some(buffer.prepare(space), asio::as_tuple(asio::use_awaitable));
        buffer.commit(count);
        if (error) {
            co_return error;
        }
        if (!hold(buffer.capacity() + parser.get().body().size())) {
            co_return asio::error::no_buffer_space;
        }
    }
    co_return boost::system::error_code();
}

} // namespace

std::size_t readAheadLimit(std::size_t headBytes) noexcept
{
    return headBytes + 2 * readBytes; // body bytes that arrive with the largest head, and pipelined calls
}

asio::awaitable<boost::system::error_code> awaitRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    if (buffer.size() > 0) {
        co_return boost::system::error_code();
    }
    if (buffer.capacity() > firstReadBytes) {
        buffer.shrink_to_fit();
    }
    const auto [error, count] = co_await stream.async_read_some(buffer.prepare(firstReadBytes), asio::as_tuple(asio::use_awaitable));
    buffer.commit(count);
    co_return error;
}

asio::awaitable<boost::system::error_code> readHead(beast::tcp_stream &stream, beast::flat_buffer &buffer, RequestParser &parser, const HoldBytes &hold)
{
    co_return co_await readUntil(stream, buffer, parser, hold, [&parser] {
        return parser.is_header_done();
    });
}

asio::awaitable<boost::system::error_code> readBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, RequestParser &parser, const HoldBytes &hold)
{
    parser.eager(true);
    co_return co_await readUntil(stream, buffer, parser, hold, [&parser] {
        return parser.is_done();
    });
}

} // namespace mimosahollow::httpio
