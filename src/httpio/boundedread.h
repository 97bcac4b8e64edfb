#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>

namespace mimosahollow::httpio {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/** Told after each read how many bytes the request takes. Returns false when the request must be given up. */
using HoldBytes = std::function<bool(std::size_t)>;

/** Most bytes that are read ahead on a connection with heads of at most @p headBytes; also the largest trailer or chunk extension. */
[[nodiscard]] std::size_t readAheadLimit(std::size_t headBytes) noexcept;

/** Waits for the first byte of a request. */
[[nodiscard]] boost::asio::awaitable<boost::system::error_code> awaitRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer);

/** Reads until the head is complete. The caller sets the time limit, and the largest size of the buffer. */
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, RequestParser &parser, const HoldBytes &hold);

/**
 * Reads the rest of a request. Framing and trailers that take far more bytes than the body, and those that fit into no buffer, give
 * buffer_overflow; a request that @p hold gives up gives no_buffer_space.
 */
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readBody(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, RequestParser &parser, const HoldBytes &hold);

} // namespace mimosahollow::httpio
