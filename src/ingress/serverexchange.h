#pragma once

#include "gateway/upstream.h"
#include "httpio/answerread.h"
#include "ingress/entry.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosahollow::ingress {

enum class ExchangeError : std::uint8_t {
    None,
    Unreachable, /**< The connection failed; no byte was sent. */
    Broken, /**< The connection was closed or the response is invalid. The call may have been executed. */
    TimedOut,
};

/** One HTTP request to a backend server and its response. */
class ServerExchange
{
public:
    ServerExchange(Entry &entry, std::string address);
    ~ServerExchange();
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    /**
     * Takes an idle connection that is not in @p carriers, the connections that have carried the call before, or opens a new one. Adds its
     * number to @p carriers.
     */
    [[nodiscard]] boost::asio::awaitable<ExchangeError> open(const std::string &callId, std::vector<std::uint64_t> &carriers, TimePoint deadline);
    /** Sends the request and reads the head of the response to the call @p callId. */
    [[nodiscard]] boost::asio::awaitable<ExchangeError> begin(std::string head, const std::string &body, const std::string &callId, TimePoint deadline);
    /** Appends more of the body to @p out. Appending nothing without an error means that the body is complete. */
    [[nodiscard]] boost::asio::awaitable<ExchangeError> readBody(std::string &out, TimePoint deadline);
    /** Reads the rest of a body that nobody needs, so that the connection can be used again. Fails if it is long. */
    [[nodiscard]] boost::asio::awaitable<ExchangeError> discardBody(TimePoint deadline);
    /** To be called when the response was read completely. Returns the connection to the pool if it can be reused. */
    void finish();
    /** Closes the connection, which makes the backend server cancel the call. */
    void abort();

    /** Whether the connection was lost, or brought an invalid response. */
    [[nodiscard]] bool isLost() const noexcept;
    [[nodiscard]] unsigned status() const;
    /** Whether the response has neither a length nor chunks. */
    [[nodiscard]] bool endsWithConnection() const;
    [[nodiscard]] std::string_view header(const std::string &name) const;
    [[nodiscard]] const boost::beast::http::fields &fields() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    struct OutgoingRequest;

    boost::asio::awaitable<ExchangeError> readHead(TimePoint deadline);
    /** Whether the connection was ended by its server, not reset. For an answer whose end is that of its connection. */
    [[nodiscard]] boost::asio::awaitable<bool> endedInOrder();
    /** Whether the request is still being sent. */
    [[nodiscard]] bool isWriting() const noexcept;
    /** Closes the connection, and destroys it when no operation uses it any more. */
    void dropConnection();
    [[nodiscard]] ExchangeError noteError(const boost::system::error_code &error);

    Entry &m_entry;
    std::string m_address;
    gateway::UpstreamPointer m_connection;
    std::shared_ptr<OutgoingRequest> m_outgoingRequest;
    std::optional<httpio::TrailerCheck> m_trailerCheck; // the parser refers to it
    std::optional<Parser> m_parser;
    std::vector<char> m_readBuffer;
    bool m_aborted = false;
    bool m_isLost = false;
};

} // namespace mimosahollow::ingress
