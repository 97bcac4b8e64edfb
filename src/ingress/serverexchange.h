#pragma once

#include "gateway/upstream.h"
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
    Unreachable, /**< No connection; no byte was sent. */
    Broken, /**< The connection ended, or what came is no answer. The call may have run. */
    TimedOut,
};

/** One request to a backend server and its answer. */
class ServerExchange
{
public:
    ServerExchange(Entry &entry, std::string address);
    ~ServerExchange();
    ServerExchange(const ServerExchange &) = delete;
    ServerExchange &operator=(const ServerExchange &) = delete;

    /** Opens a connection or takes an idle one. */
    [[nodiscard]] boost::asio::awaitable<ExchangeError> open(TimePoint deadline);
    /** Sends the request and reads the head of the answer to the call @p callId. */
    [[nodiscard]] boost::asio::awaitable<ExchangeError> begin(std::string head, const std::string &body, const std::string &callId, TimePoint deadline);
    /** Reads more of the body into @p out; an empty one without an error is the complete end. */
    [[nodiscard]] boost::asio::awaitable<ExchangeError> readBody(std::string &out, TimePoint deadline);
    /** The answer was read to its end; the connection may carry another call. */
    void finish();
    /** Ends the connection, which makes the backend server stop its work. */
    void abort();

    [[nodiscard]] unsigned status() const;
    [[nodiscard]] std::string_view header(const std::string &name) const;
    [[nodiscard]] const boost::beast::http::fields &fields() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    struct OutgoingRequest;

    boost::asio::awaitable<ExchangeError> readHead(TimePoint deadline);

    Entry &m_entry;
    std::string m_address;
    gateway::UpstreamPointer m_connection;
    std::shared_ptr<OutgoingRequest> m_outgoingRequest;
    std::optional<Parser> m_parser;
    std::vector<char> m_readBuffer;
    bool m_aborted = false;
};

} // namespace mimosahollow::ingress
