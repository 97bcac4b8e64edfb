#include "answerreader.h"

#include "httpio/answerstatus.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <array>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t readBytes = 16'384;
// Engines send at most "100 Continue" or early hints; more is a server out of step.
constexpr int maximumInterimAnswers = 3;

} // namespace

AnswerReader::AnswerReader(UpstreamConnection &connection, boost::optional<std::uint64_t> maximumBytes, bool headOnly)
    : m_connection(connection), m_maximumBytes(maximumBytes), m_headOnly(headOnly), m_trailerCheck{connection.buffer}
{
    resetParser();
}

void AnswerReader::resetParser()
{
    m_parser.emplace();
    m_parser->body_limit(m_maximumBytes);
    m_parser->skip(m_headOnly);
    m_parser->on_chunk_header(m_trailerCheck);
}

asio::awaitable<boost::system::error_code> AnswerReader::readHead()
{
    for (int interim = 0; interim <= maximumInterimAnswers; ++interim) {
        const auto error = co_await httpio::readAnswerHead(m_connection.stream, m_connection.buffer, *m_parser);
        m_anyByte = m_anyByte || m_parser->got_some() || m_connection.buffer.size() > 0;
        if (error) {
            co_return error;
        }
        const httpio::AnswerKind kind = httpio::answerKind(m_parser->get().result_int(), m_parser->get().version());
        if (kind == httpio::AnswerKind::Final) {
            co_return error;
        }
        if (kind == httpio::AnswerKind::Invalid) {
            co_return http::make_error_code(http::error::bad_status);
        }
        resetParser();
    }
    co_return http::make_error_code(http::error::bad_status);
}

bool AnswerReader::parseBuffered(std::string &out)
{
    std::array<char, readBytes> space; // NOLINT(cppcoreguidelines-pro-type-member-init): written before it is read
    while (!m_parser->is_done() && m_connection.buffer.size() > 0) {
        auto &body = m_parser->get().body();
        body.data = space.data();
        body.size = space.size();
        body.more = true;
        boost::system::error_code error;
        const std::size_t used = m_parser->put(m_connection.buffer.data(), error);
        m_connection.buffer.consume(used);
        out.append(space.data(), space.size() - body.size);
        if (error == http::error::need_more) {
            return true;
        }
        if (error && error != http::error::need_buffer) {
            return false;
        }
    }
    return true;
}

asio::awaitable<ReadState> AnswerReader::readSome(std::string &out)
{
    const std::size_t before = out.size();
    if (!parseBuffered(out)) {
        co_return ReadState::Failed;
    }
    while (!m_parser->is_done() && out.size() == before) {
        const auto [error, bytes] = co_await m_connection.stream.async_read_some(m_connection.buffer.prepare(readBytes), asio::as_tuple(asio::use_awaitable));
        m_connection.buffer.commit(bytes);
        if (error == asio::error::eof) {
            // An answer without a length ends with its connection; any other one is cut off.
            boost::system::error_code endError;
            m_parser->put_eof(endError);
            co_return !endError && m_parser->is_done() ? ReadState::Done : ReadState::Failed;
        }
        if (error || !parseBuffered(out)) {
            co_return ReadState::Failed;
        }
    }
    co_return m_parser->is_done() ? ReadState::Done : ReadState::More;
}

const AnswerReader::Parser::value_type &AnswerReader::head() const
{
    return m_parser->get();
}

bool AnswerReader::leavesConnectionUsable()
{
    return m_parser->is_done() && m_parser->keep_alive() && m_connection.buffer.size() == 0;
}

bool AnswerReader::anyByteArrived() const noexcept
{
    return m_anyByte;
}

} // namespace mimosahollow::gateway
