#include "answers.h"
#include "attemptstate.h"
#include "eventstream.h"
#include "gatewaythread.h"
#include "mimosahollow/observability/metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// A caller that does not read for this long is treated as gone.
constexpr seconds callerWriteTimeout{30};
// Time to tell the caller that the stream ends early; the deadline has often passed by then.
constexpr seconds errorEventTimeout{1};

/** The caller's side of a stream. */
struct StreamWriter
{
    Attempt &attempt;
    bool chunked; /**< HTTP/1.0 has no chunks; its answers end with the connection. */
    bool keepAlive = false;
    bool headSent = false;
    TimePoint lastWrite{};
};

asio::awaitable<bool> writeHead(StreamWriter &writer)
{
    const Attempt &attempt = writer.attempt;
    writer.keepAlive = writer.chunked && attempt.request.keepAlive && !attempt.thread.isDraining();
    http::response<http::empty_body> head(http::status::ok, attempt.request.httpVersion);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-store");
    head.set("X-Request-Id", toText(attempt.request.id));
    if (!attempt.grant.served.empty()) {
        head.set("X-Model-Served", attempt.grant.served);
    }
    head.keep_alive(writer.keepAlive);
    if (writer.chunked) {
        head.chunked(true);
    }
    http::response_serializer<http::empty_body> serializer(head);
    const auto [error, bytes] = co_await http::async_write_header(attempt.caller, serializer, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    writer.headSent = true;
    co_return !error;
}

/** Writes @p piece, and the end of the answer after it when @p last is set. */
asio::awaitable<bool> writePiece(StreamWriter &writer, std::string_view piece, bool last)
{
    auto &caller = writer.attempt.caller;
    boost::system::error_code error;
    std::size_t bytes = 0;
    if (!writer.chunked) {
        std::tie(error, bytes) = co_await asio::async_write(caller, asio::buffer(piece), asio::as_tuple(asio::use_awaitable));
    } else if (last) {
        const auto buffers = beast::buffers_cat(http::make_chunk(asio::buffer(piece)), http::make_chunk_last());
        std::tie(error, bytes) = co_await asio::async_write(caller, buffers, asio::as_tuple(asio::use_awaitable));
    } else {
        std::tie(error, bytes) = co_await asio::async_write(caller, http::make_chunk(asio::buffer(piece)), asio::as_tuple(asio::use_awaitable));
    }
    co_return !error;
}

void recordPiece(StreamWriter &writer)
{
    Attempt &attempt = writer.attempt;
    const TimePoint now = std::chrono::steady_clock::now();
    if (writer.lastWrite == TimePoint{}) {
        attempt.end.result.firstTokenLatency = now - attempt.request.arrival;
        attempt.thread.metrics().firstToken(attempt.end.result.firstTokenLatency);
    } else {
        attempt.thread.metrics().chunkInterval(now - writer.lastWrite);
    }
    writer.lastWrite = now;
}

/** Passes whole events on. Returns false when the caller is gone or the deadline passed; the outcome is set. */
asio::awaitable<bool> passOn(StreamWriter &writer, std::string_view events, bool last)
{
    Attempt &attempt = writer.attempt;
    attempt.caller.expires_at(std::min(std::chrono::steady_clock::now() + callerWriteTimeout, attempt.grant.deadline));
    recordPiece(writer);
    attempt.end.answerStarted = true;
    const bool written = (writer.headSent || co_await writeHead(writer)) && co_await writePiece(writer, events, last);
    if (!written) {
        attempt.fail(AttemptOutcome::CallerLeft);
    }
    co_return written;
}

/** Ends a stream that is not complete with an explicit error event. The connection is closed after it. */
asio::awaitable<void> writeErrorEvent(StreamWriter &writer)
{
    Attempt &attempt = writer.attempt;
    const bool late = attempt.end.result.outcome == AttemptOutcome::DeadlineExceeded;
    const ServingRefusal cause{late ? RefusalReason::DeadlineExceeded : RefusalReason::BackendFailed, CallOutcome::Unknown, {}};
    const std::string event = "event: error\ndata: " + refusalBody(attempt.request.id, cause, "the answer is not complete") + "\n\n";
    attempt.caller.expires_after(errorEventTimeout);
    co_await writePiece(writer, event, true);
}

/** Asks the same server to go on after the tokens that were passed on. Returns false when it does not. */
asio::awaitable<bool> resume(Attempt &attempt, OpenAnswer &answer, EventStream &stream)
{
    const bool supported = answer.reader->head()["X-Resume"] == "tokens";
    if (!supported || stream.tokens == 0 || stream.oversized || attempt.cancelled || attempt.deadlinePassed()) {
        co_return false;
    }
    attempt.watch.clearInterrupt();
    OpenAnswer next = co_await openAnswer(attempt, stream.tokens);
    if (!next.reader) {
        co_return false;
    }
    answer = std::move(next);
    stream.partial.clear();
    const auto &head = answer.reader->head();
    // A server that ignores the header would start again from the first token.
    const bool goesOn = head.result() == http::status::ok && head["X-Resume-From"] == std::to_string(stream.tokens);
    if (goesOn) {
        attempt.thread.metrics().streamResumed();
    }
    co_return goesOn;
}

} // namespace

asio::awaitable<void> carryStream(Attempt &attempt, OpenAnswer &answer)
{
    StreamWriter writer{attempt, attempt.request.httpVersion >= 11};
    EventStream stream;
    stream.served = attempt.grant.served;
    std::string input;
    std::string events;
    bool resumed = false;
    while (!stream.ended) {
        input.clear();
        events.clear();
        const ReadState state = co_await answer.reader->readSome(input);
        passEvents(stream, input, events);
        attempt.end.result.outputTokens = outputTokens(stream);
        if (!events.empty() && !co_await passOn(writer, events, stream.ended)) {
            co_return;
        }
        if (stream.ended || (state == ReadState::More && !stream.oversized)) {
            continue;
        }
        // The end of the answer without the end mark is a failure, however the connection ended.
        if (!resumed && writer.headSent && co_await resume(attempt, answer, stream)) {
            resumed = true;
            continue;
        }
        attempt.fail(writer.headSent ? AttemptOutcome::FailedDuringAnswer : AttemptOutcome::FailedBeforeAnswer);
        if (writer.headSent && !attempt.cancelled) {
            co_await writeErrorEvent(writer);
        }
        co_return;
    }
    attempt.end.result.outcome = AttemptOutcome::Completed;
    attempt.end.result.status = static_cast<unsigned>(http::status::ok);
    attempt.end.connection = writer.keepAlive ? ConnectionState::KeepAlive : ConnectionState::Close;
    recycle(attempt, std::move(answer));
}

} // namespace mimosahollow::gateway
