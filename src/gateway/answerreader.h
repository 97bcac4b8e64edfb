#pragma once

#include "upstream.h"

#include "httpio/answerread.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <string>

namespace mimosahollow::gateway {

/** State of the body of an answer after a read. */
enum class ReadState : std::uint8_t {
    More, /**< The answer goes on. */
    Done, /**< The framing of the answer says that it is complete. */
    Failed, /**< The connection failed, the framing is wrong or the answer is too large. */
};

/** Reads the answer of a backend server piece by piece. */
class AnswerReader
{
public:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /** The body may have up to @p maximumBytes; an answer to HEAD has none. */
    AnswerReader(UpstreamConnection &connection, boost::optional<std::uint64_t> maximumBytes, bool headOnly);

    /** Reads the head, past interim (1xx) answers. */
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> readHead();
    /** Waits for bytes of the body and appends all that have arrived to @p out. */
    [[nodiscard]] boost::asio::awaitable<ReadState> readSome(std::string &out);

    [[nodiscard]] const Parser::value_type &head() const;
    /** Whether the connection can carry another call. */
    [[nodiscard]] bool leavesConnectionUsable();
    /** Bytes of the answer have arrived, even if not a whole head. */
    [[nodiscard]] bool anyByteArrived() const noexcept;

private:
    [[nodiscard]] bool parseBuffered(std::string &out);
    void resetParser();

    UpstreamConnection &m_connection;
    boost::optional<std::uint64_t> m_maximumBytes;
    bool m_headOnly;
    bool m_anyByte = false;
    httpio::TrailerCheck m_trailerCheck; // the parser refers to it
    boost::optional<Parser> m_parser;
};

} // namespace mimosahollow::gateway
