#include "attempt.h"

#include "answers.h"
#include "gatewaythread.h"
#include "upstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <span>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t chunkBytes = 16'384;
// Answers of model calls and plain services that are not streamed are held in memory up to this size.
constexpr std::uint64_t maximumAnswerBytes = 16ULL << 20U;
constexpr seconds callerWriteTimeout{30};
// Status with which a backend server says that the adapter is not resident and the call did not run.
constexpr unsigned adapterMissingStatus = 409;
constexpr std::string_view streamEndMark = "data: [DONE]";

using ResponseParser = http::response_parser<http::buffer_body>;

HttpRequest upstreamRequest(const AttemptRequest &request, const ServingGrant &grant)
{
    // Built from nothing: headers of the caller, and with them its key, are never copied.
    HttpRequest upstream(request.method, request.target, 11);
    upstream.set(http::field::host, grant.address);
    if (!request.contentType.empty()) {
        upstream.set(http::field::content_type, request.contentType);
    }
    upstream.set("X-Request-Id", toText(request.id));
    upstream.set("X-Fencing-Number", std::to_string(grant.fencing));
    upstream.body() = request.body;
    upstream.prepare_payload();
    return upstream;
}

std::uint32_t countEvents(std::string_view text)
{
    std::uint32_t count = 0;
    for (std::size_t at = text.find("data: "); at != std::string_view::npos; at = text.find("data: ", at + 1)) {
        ++count;
    }
    return count;
}

std::uint32_t usageTokens(const std::string &body)
{
    beast::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    if (error) {
        return 0;
    }
    const auto *tokens = value.find_pointer("/usage/completion_tokens", error);
    return tokens != nullptr && tokens->is_int64() && tokens->get_int64() > 0 ? static_cast<std::uint32_t>(tokens->get_int64()) : 0;
}

/** State of one attempt while its coroutine runs. */
struct Attempt
{
    GatewayThread &thread;
    beast::tcp_stream &caller;
    const AttemptRequest &request;
    const ServingGrant &grant;
    AttemptEnd end;
    bool lost = false; /**< The backend server failed; the outcome is set. */

    void fail(AttemptOutcome outcome)
    {
        end.result.outcome = std::chrono::steady_clock::now() >= grant.deadline ? AttemptOutcome::DeadlineExceeded : outcome;
        lost = true;
    }
};

/** Reads the next piece of the body. Returns an empty view at the end or after a failure, which sets @p attempt. */
asio::awaitable<std::string_view> readPiece(Attempt &attempt, UpstreamConnection &connection, ResponseParser &parser, std::span<char> space)
{
    while (!parser.is_done()) {
        parser.get().body().data = space.data();
        parser.get().body().size = space.size();
        auto [error, bytes] = co_await http::async_read_some(connection.stream, connection.buffer, parser, asio::as_tuple(asio::use_awaitable));
        static_cast<void>(bytes);
        if (error && error != http::error::need_buffer) {
            attempt.fail(AttemptOutcome::FailedDuringAnswer);
            co_return std::string_view{};
        }
        const std::size_t length = space.size() - parser.get().body().size;
        if (length > 0) {
            co_return std::string_view(space.data(), length);
        }
    }
    co_return std::string_view{};
}

void setAnswerHeaders(auto &response, const AttemptRequest &request, const ServingGrant &grant)
{
    response.set("X-Request-Id", toText(request.id));
    if (!grant.served.empty()) {
        response.set("X-Model-Served", grant.served);
    }
}

asio::awaitable<bool> writeChunk(Attempt &attempt, std::string_view piece)
{
    attempt.caller.expires_after(callerWriteTimeout);
    const auto [error, bytes] = co_await asio::async_write(attempt.caller, http::make_chunk(asio::buffer(piece)), asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    co_return !error;
}

/** Carries a stream of server-sent events. It counts as complete only when the end mark has passed. */
asio::awaitable<void> carryStream(Attempt &attempt, UpstreamConnection &connection, ResponseParser &parser)
{
    http::response<http::empty_body> head(http::status::ok, attempt.request.httpVersion);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-store");
    setAnswerHeaders(head, attempt.request, attempt.grant);
    head.keep_alive(attempt.request.keepAlive);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    std::array<char, chunkBytes> space{};
    std::string tail;
    bool headSent = false;
    bool endMarkSeen = false;
    for (;;) {
        const std::string_view piece = co_await readPiece(attempt, connection, parser, space);
        if (piece.empty()) {
            break;
        }
        if (!headSent) {
            attempt.end.result.firstTokenLatency = std::chrono::steady_clock::now() - attempt.request.arrival;
            attempt.caller.expires_after(callerWriteTimeout);
            const auto [error, bytes] = co_await http::async_write_header(attempt.caller, serializer, asio::as_tuple(asio::use_awaitable));
            static_cast<void>(bytes);
            if (error) {
                attempt.end.result.outcome = AttemptOutcome::CallerLeft;
                attempt.end.answerStarted = true;
                co_return;
            }
            headSent = true;
            attempt.end.answerStarted = true;
        }
        attempt.end.result.outputTokens += countEvents(piece);
        tail.append(piece);
        endMarkSeen = endMarkSeen || tail.find(streamEndMark) != std::string::npos;
        tail.erase(0, tail.size() - std::min(tail.size(), streamEndMark.size()));
        if (!co_await writeChunk(attempt, piece)) {
            attempt.end.result.outcome = AttemptOutcome::CallerLeft;
            co_return;
        }
    }
    if (!attempt.lost && !endMarkSeen) {
        attempt.fail(AttemptOutcome::FailedDuringAnswer);
    }
    if (!headSent) {
        if (attempt.lost) {
            attempt.end.result.outcome = AttemptOutcome::FailedBeforeAnswer;
        }
        co_return;
    }
    if (attempt.lost) {
        const ServingRefusal cause{RefusalReason::BackendFailed, CallOutcome::Unknown, {}};
        const std::string event = "event: error\ndata: " + refusalBody(attempt.request.id, cause, "the answer is not complete") + "\n\n";
        if (!co_await writeChunk(attempt, event)) {
            co_return;
        }
    } else {
        attempt.end.result.outcome = AttemptOutcome::Completed;
        attempt.end.result.status = 200;
        // The end mark is an event, not a token.
        attempt.end.result.outputTokens -= std::min(attempt.end.result.outputTokens, 1U);
    }
    attempt.caller.expires_after(callerWriteTimeout);
    const auto [error, bytes] = co_await asio::async_write(attempt.caller, http::make_chunk_last(), asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    if (!error && attempt.request.keepAlive) {
        attempt.end.connection = ConnectionState::KeepAlive;
    }
}

/** Reads the whole answer before the first byte goes to the caller, so that a failed attempt can be repeated. */
asio::awaitable<void> carryWhole(Attempt &attempt, UpstreamConnection &connection, ResponseParser &parser)
{
    std::string body;
    std::array<char, chunkBytes> space{};
    for (;;) {
        const std::string_view piece = co_await readPiece(attempt, connection, parser, space);
        if (piece.empty()) {
            break;
        }
        body.append(piece);
    }
    if (attempt.lost) {
        attempt.end.result.outcome = AttemptOutcome::FailedBeforeAnswer;
        co_return;
    }
    attempt.end.result.firstTokenLatency = std::chrono::steady_clock::now() - attempt.request.arrival;
    attempt.end.result.outputTokens = usageTokens(body);
    HttpResponse response(parser.get().result(), attempt.request.httpVersion);
    response.set(http::field::content_type, parser.get()[http::field::content_type]);
    setAnswerHeaders(response, attempt.request, attempt.grant);
    response.keep_alive(attempt.request.keepAlive);
    attempt.end.result.status = parser.get().result_int();
    attempt.end.result.outcome = AttemptOutcome::Completed;
    attempt.end.result.answerContentType = std::string(parser.get()[http::field::content_type]);
    attempt.end.result.answerBody = body;
    attempt.end.answerStarted = true;
    response.body() = std::move(body);
    response.prepare_payload();
    attempt.end.connection = co_await sendResponse(attempt.caller, std::move(response));
}

} // namespace

asio::awaitable<AttemptEnd> runAttempt(GatewayThread &thread, beast::tcp_stream &caller, const AttemptRequest &request, const ServingGrant &grant)
{
    Attempt attempt{thread, caller, request, grant, {}};
    attempt.end.result.id = request.id;
    attempt.end.result.grant = grant.grant;
    auto connection = co_await thread.upstream().acquire(grant.address, grant.deadline);
    if (!connection) {
        attempt.fail(AttemptOutcome::ConnectionRefused);
        co_return std::move(attempt.end);
    }
    connection->stream.expires_at(grant.deadline);
    const HttpRequest upstream = upstreamRequest(request, grant);
    const auto [writeError, written] = co_await http::async_write(connection->stream, upstream, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(written);
    if (writeError) {
        attempt.fail(AttemptOutcome::FailedBeforeAnswer);
        co_return std::move(attempt.end);
    }
    ResponseParser parser;
    parser.body_limit(request.stream ? boost::none : boost::optional<std::uint64_t>(maximumAnswerBytes));
    const auto [readError, read] = co_await http::async_read_header(connection->stream, connection->buffer, parser, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(read);
    // An answer to another request must not reach this caller, and the connection is out of step.
    const bool matches = !readError && parser.get()["X-Request-Id"] == toText(request.id);
    if (!matches) {
        attempt.fail(AttemptOutcome::FailedBeforeAnswer);
        co_return std::move(attempt.end);
    }
    if (parser.get().result_int() == adapterMissingStatus && parser.get()["X-Not-Run"] == "adapter-missing") {
        attempt.end.result.outcome = AttemptOutcome::AdapterMissing;
        co_return std::move(attempt.end);
    }
    if (request.stream && parser.get().result() == http::status::ok) {
        co_await carryStream(attempt, *connection, parser);
    } else {
        co_await carryWhole(attempt, *connection, parser);
    }
    if (parser.is_done() && !attempt.lost && parser.get().keep_alive()) {
        thread.upstream().release(grant.address, std::move(connection));
    }
    co_return std::move(attempt.end);
}

} // namespace mimosahollow::gateway
