#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

namespace mimosahollow::httpio {

/** Parser of an answer that is read as a whole. */
using WholeAnswerParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

/** Callback of a parser for the heads of chunks, which refuses a trailer with folded lines (bad_field). The parser keeps a reference to it. */
struct TrailerCheck
{
    const boost::beast::flat_buffer &input; /**< What the parser is fed from. */

    void operator()(std::uint64_t chunkBytes, boost::beast::string_view extensions, boost::system::error_code &error) const;
};

/**
 * Reads until the head of an answer is complete; bytes of the body may follow it in @p buffer. Errors: those of the connection and of the parser,
 * end_of_stream and partial_message when the connection ends before or within the head, and bad_field for a folded line.
 * The caller sets the time limit, and the largest head on the parser.
 */
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readAnswerHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, boost::beast::http::basic_parser<false> &parser);

/** Reads a whole answer. One whose status is not that of a final answer gives bad_status; other errors are those of readAnswerHead(). */
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readAnswer(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, WholeAnswerParser &parser);

} // namespace mimosahollow::httpio
