#include "ingress/serverexchange.h"

#include "httpio/answerstatus.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <charconv>

namespace mimosahollow::ingress {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t readBytes = 8192; // an event has a few hundred bytes
constexpr std::size_t headBytes = 16'384;
// Responses to earlier calls on the same connection that are skipped; after more than these the connection is considered out of sync.
constexpr unsigned maximumStaleResponses = 2;
constexpr unsigned maximumInterimResponses = 8; // 1xx before a response; a backend server sends one at most
constexpr std::size_t maximumDiscardedBytes = 65'536; // of a body that nobody needs; a new connection costs less than reading more
constexpr auto completionToken = asio::as_tuple(asio::use_awaitable);

/** Idle timeout from the value of a Keep-Alive header, which gives it in seconds; nothing if it is not stated. */
std::optional<Duration> idleLimit(std::string_view keepAlive)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t at = keepAlive.find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view value = keepAlive.substr(at + key.size());
    unsigned count = 0;
    if (std::from_chars(value.data(), value.data() + value.size(), count).ec != std::errc()) {
        return std::nullopt;
    }
    return seconds(count);
}

} // namespace

/** Request being sent. Shared with the write operation, since the exchange may end first after an early response. */
struct ServerExchange::OutgoingRequest
{
    std::string head;
    std::string body;
    bool isDone = false;
    bool hasFailed = false;
    /** Of an exchange that ended first. A write that was done in part goes on with the socket, even a closed one, until it gets the error. */
    gateway::UpstreamPointer connection;
};

ServerExchange::ServerExchange(Entry &entry, std::string address) : m_entry(entry), m_address(std::move(address))
{
}

ServerExchange::~ServerExchange()
{
    abort();
    dropConnection();
}

/**
 * A late copy of an answer is told from the answer to the call by the id of its call. So a call without an id needs a new connection, and
 * a call that is sent again must not use one that has carried it: a copy of its first answer would pass for the second one.
 */
asio::awaitable<ExchangeError> ServerExchange::open(const std::string &callId, std::vector<std::uint64_t> &carriers, TimePoint deadline)
{
    if (!callId.empty()) {
        m_connection = m_entry.upstream().takeIdle(m_address, carriers);
    }
    if (m_connection) {
        carriers.push_back(m_connection->number);
        co_return ExchangeError::None;
    }
    m_connection = m_entry.upstream().create();
    carriers.push_back(m_connection->number);
    const bool isOpen = co_await m_entry.upstream().connect(*m_connection, m_address, deadline);
    if (!isOpen) {
        m_connection.reset();
        co_return ExchangeError::Unreachable;
    }
    if (m_aborted) {
        co_return ExchangeError::Broken;
    }
    co_return ExchangeError::None;
}

asio::awaitable<ExchangeError> ServerExchange::begin(std::string head, const std::string &body, const std::string &callId, TimePoint deadline)
{
    m_outgoingRequest = std::make_shared<OutgoingRequest>();
    m_outgoingRequest->head = std::move(head);
    m_outgoingRequest->body = body;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_outgoingRequest->head), asio::buffer(m_outgoingRequest->body)};
    asio::async_write(m_connection->stream.socket(), buffers, [outgoing = m_outgoingRequest](boost::system::error_code error, std::size_t) {
        outgoing->isDone = !error;
        outgoing->hasFailed = static_cast<bool>(error);
    });
    for (unsigned staleResponses = 0; staleResponses <= maximumStaleResponses; ++staleResponses) {
        const ExchangeError error = co_await readHead(deadline);
        if (error != ExchangeError::None) {
            co_return error;
        }
        const std::string_view echoed = header(m_entry.settings().headers.callId);
        if (echoed == callId) {
            co_return ExchangeError::None;
        }
        if (echoed.empty()) {
            // On a connection in use again, a response without an id may be a late copy of an earlier one.
            co_return m_connection->reused ? ExchangeError::Broken : ExchangeError::None;
        }
        if (const ExchangeError discardError = co_await discardBody(deadline); discardError != ExchangeError::None) {
            co_return discardError;
        }
    }
    co_return ExchangeError::Broken;
}

asio::awaitable<ExchangeError> ServerExchange::readHead(TimePoint deadline)
{
    m_trailerCheck.emplace(httpio::TrailerCheck{m_connection->buffer});
    for (unsigned interimResponses = 0; interimResponses <= maximumInterimResponses; ++interimResponses) {
        m_parser.emplace();
        m_parser->header_limit(headBytes);
        m_parser->body_limit(boost::none);
        m_connection->stream.expires_at(deadline);
        m_parser->on_chunk_header(*m_trailerCheck);
        if (const auto error = co_await httpio::readAnswerHead(m_connection->stream, m_connection->buffer, *m_parser); error) {
            co_return noteError(error);
        }
        const httpio::AnswerKind kind = httpio::answerKind(m_parser->get().result_int(), m_parser->get().version());
        if (kind == httpio::AnswerKind::Final) {
            co_return ExchangeError::None;
        }
        if (kind == httpio::AnswerKind::Invalid) {
            m_isLost = true; // nothing on this connection can be trusted from here on
            co_return ExchangeError::Broken;
        }
    }
    co_return ExchangeError::Broken;
}

asio::awaitable<ExchangeError> ServerExchange::discardBody(TimePoint deadline)
{
    std::size_t total = 0;
    std::string discarded;
    do {
        discarded.clear();
        if (const ExchangeError error = co_await readBody(discarded, deadline); error != ExchangeError::None) {
            co_return error;
        }
        total += discarded.size();
        if (total > maximumDiscardedBytes) {
            co_return ExchangeError::Broken;
        }
    } while (!discarded.empty());
    co_return ExchangeError::None;
}

asio::awaitable<ExchangeError> ServerExchange::readBody(std::string &out, TimePoint deadline)
{
    m_readBuffer.resize(readBytes);
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = m_readBuffer.data();
        body.size = m_readBuffer.size();
        m_connection->stream.expires_at(deadline);
        const auto [error, count] = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, completionToken);
        const std::size_t filled = m_readBuffer.size() - body.size;
        out.append(m_readBuffer.data(), filled);
        if (error && error != http::error::need_buffer) {
            co_return noteError(error);
        }
        if (m_parser->is_done() && m_parser->need_eof()) {
            const bool isInOrder = co_await endedInOrder();
            if (!isInOrder) {
                m_isLost = true;
                co_return ExchangeError::Broken;
            }
        }
        if (filled > 0) {
            co_return ExchangeError::None;
        }
    }
    co_return ExchangeError::None;
}

/**
 * A reset is reported once. If the request was still being written, the write may get the error, and the read sees the same end as after an
 * answer that is complete.
 */
asio::awaitable<bool> ServerExchange::endedInOrder()
{
    if (isWriting()) {
        // The write may have failed at the same time; its handler then waits in the queue.
        const auto executor = co_await asio::this_coro::executor;
        co_await asio::post(executor, asio::use_awaitable);
    }
    co_return !m_outgoingRequest->hasFailed;
}

bool ServerExchange::isWriting() const noexcept
{
    return m_outgoingRequest && !m_outgoingRequest->isDone && !m_outgoingRequest->hasFailed;
}

void ServerExchange::finish()
{
    const bool isKept = m_parser->keep_alive() && m_outgoingRequest->isDone && !m_aborted;
    if (isKept) {
        if (const auto limit = idleLimit(header("Keep-Alive"))) {
            // The backend server's idle period starts with its last byte, and a call sent while it closes the connection would be lost.
            // The connection is therefore reused for 3/4 of the period only.
            m_connection->idleLimit = *limit * 3 / 4;
        }
        m_entry.upstream().release(m_address, std::move(m_connection));
    }
    dropConnection();
}

void ServerExchange::dropConnection()
{
    if (m_connection && isWriting()) {
        m_connection->stream.close();
        m_outgoingRequest->connection = std::move(m_connection);
    }
    m_connection.reset();
}

void ServerExchange::abort()
{
    m_aborted = true;
    if (m_connection) {
        m_connection->stream.close();
    }
}

ExchangeError ServerExchange::noteError(const boost::system::error_code &error)
{
    if (error == beast::error::timeout) {
        return ExchangeError::TimedOut;
    }
    m_isLost = true;
    return ExchangeError::Broken;
}

bool ServerExchange::isLost() const noexcept
{
    return m_isLost;
}

unsigned ServerExchange::status() const
{
    return m_parser->get().result_int();
}

bool ServerExchange::endsWithConnection() const
{
    const auto &head = m_parser->get();
    return !m_parser->chunked() && !head.has_content_length() && head.result() != http::status::no_content;
}

std::string_view ServerExchange::header(const std::string &name) const
{
    const auto value = m_parser->get()[name];
    return {value.data(), value.size()};
}

const http::fields &ServerExchange::fields() const
{
    return m_parser->get();
}

} // namespace mimosahollow::ingress
