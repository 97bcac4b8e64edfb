#include "httpio/answerread.h"

#include "httpio/answerstatus.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <string_view>
#include <tuple>

namespace mimosahollow::httpio {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t readBytes = 8192;

std::string_view textOf(const beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

/**
 * The parser joins a line that begins with a blank to the value before it (obs-fold, RFC 9112 section 5.2). A server whose output is damaged
 * writes such a line as a field of its own, so that the answer would have another length, or the caller another field, than the server meant.
 * The RFC lets a gateway discard the answer.
 */
bool hasFoldedLine(std::string_view lines)
{
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

} // namespace

void TrailerCheck::operator()(std::uint64_t chunkBytes, beast::string_view extensions, boost::system::error_code &error) const
{
    if (chunkBytes != 0) {
        return;
    }
    // The parser has found the end of the trailer, and the extensions are a view of the input.
    const std::string_view text = textOf(input);
    const auto begin = static_cast<std::size_t>(extensions.data() + extensions.size() - text.data());
    const std::string_view trailer = text.substr(begin, text.find(headEnd, begin) - begin);
    if (hasFoldedLine(trailer)) {
        error = http::error::bad_field;
    }
}

asio::awaitable<boost::system::error_code> readAnswerHead(beast::tcp_stream &stream, beast::flat_buffer &buffer, http::basic_parser<false> &parser)
{
    for (;;) {
        boost::system::error_code problem = http::error::need_more;
        if (buffer.size() > 0) {
            const std::size_t used = parser.put(buffer.data(), problem);
            // The parser takes a field together with the lines folded into it.
            const bool isFolded = hasFoldedLine(textOf(buffer).substr(0, used));
            buffer.consume(used);
            if (isFolded) {
                co_return http::make_error_code(http::error::bad_field);
            }
        }
        if (problem != http::error::need_more) {
            co_return problem;
        }
        const auto [error, count] = co_await stream.async_read_some(buffer.prepare(readBytes), asio::as_tuple(asio::use_awaitable));
        buffer.commit(count);
        if (error == asio::error::eof) {
            co_return http::make_error_code(parser.got_some() ? http::error::partial_message : http::error::end_of_stream);
        }
        if (error) {
            co_return error;
        }
    }
}

asio::awaitable<boost::system::error_code> readAnswer(beast::tcp_stream &stream, beast::flat_buffer &buffer, WholeAnswerParser &parser)
{
    TrailerCheck trailerCheck{buffer};
    parser.on_chunk_header(trailerCheck);
    boost::system::error_code error = co_await readAnswerHead(stream, buffer, parser);
    if (error) {
        co_return error;
    }
    const auto &head = parser.get();
    if (answerKind(head.result_int(), head.version()) != AnswerKind::Final) {
        co_return http::make_error_code(http::error::bad_status); // a status such as 099 doesn't say that an order was rejected
    }
    std::size_t count = 0;
    std::tie(error, count) = co_await http::async_read(stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
    co_return error;
}

} // namespace mimosahollow::httpio
