#include "attemptstate.h"

#include "answers.h"
#include "eventstream.h"
#include "gatewaythread.h"
#include "httpio/decimal.h"
#include "mimosahollow/callpermits/permitbucket.h"
#include "mimosahollow/observability/metrics.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Answers of model calls and plain services that are not streamed are held in memory up to this size.
constexpr std::uint64_t maximumAnswerBytes = 16ULL << 20U;
// Larger answers are not stored for resends (section 15 of the design page).
constexpr std::size_t maximumStoredBytes = 65'536;
// Status with which a backend server says that the adapter is not resident and the call did not run.
constexpr unsigned adapterMissingStatus = 409;
// Time for the last bytes of an answer to arrive after its end mark; a slower connection is not reused.
constexpr seconds trailerTimeout{1};

HttpRequest upstreamRequest(const AttemptRequest &request, const ServingGrant &grant, std::uint32_t resumeFrom)
{
    // Built from nothing: headers of the caller, and with them its key, are never copied.
    HttpRequest upstream(request.method, request.target, 11);
    upstream.set(http::field::host, grant.address);
    if (!request.contentType.empty()) {
        upstream.set(http::field::content_type, request.contentType);
    }
    upstream.set("X-Request-Id", toText(request.id));
    upstream.set("X-Fencing-Number", std::to_string(grant.fencing));
    if (resumeFrom > 0) {
        upstream.set("X-Resume-From", std::to_string(resumeFrom));
    }
    upstream.body() = request.body;
    upstream.prepare_payload();
    return upstream;
}

/** Opens or reuses a connection. Null when the server cannot be reached. */
asio::awaitable<UpstreamPointer> openConnection(Attempt &attempt, bool fresh)
{
    UpstreamConnections &connections = attempt.thread.upstream();
    UpstreamPointer connection = fresh ? nullptr : connections.takeIdle(attempt.grant.address);
    const bool open = connection != nullptr;
    if (!open) {
        connection = connections.create();
    }
    attempt.watch.setInterrupt([&attempt, raw = connection.get()] {
        attempt.cancelled = true;
        raw->stream.close();
    });
    if (!open && !co_await connections.connect(*connection, attempt.grant.address, attempt.grant.deadline)) {
        attempt.watch.clearInterrupt();
        co_return nullptr;
    }
    if (!attempt.grant.repeatable) {
        // Cancelling would leave the outcome unknown although the call may have run.
        attempt.watch.clearInterrupt();
    }
    co_return attempt.cancelled ? nullptr : std::move(connection);
}

enum class HeadState : std::uint8_t {
    Ready,
    ClosedWhileIdle, /**< The server closed a reused connection before any byte of the answer. */
    Failed,
};

asio::awaitable<HeadState> exchangeHead(Attempt &attempt, OpenAnswer &answer, std::uint32_t resumeFrom)
{
    UpstreamConnection &connection = *answer.connection;
    connection.stream.expires_at(attempt.grant.deadline);
    const HttpRequest upstream = upstreamRequest(attempt.request, attempt.grant, resumeFrom);
    attempt.end.sent = true;
    const auto limit = attempt.request.stream ? boost::none : boost::optional<std::uint64_t>(maximumAnswerBytes);
    answer.reader = std::make_unique<AnswerReader>(connection, limit, attempt.request.method == http::verb::head);
    const auto [writeError, written] = co_await http::async_write(connection.stream, upstream, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(written);
    boost::system::error_code error = writeError;
    if (!error) {
        error = co_await answer.reader->readHead();
    }
    if (!error) {
        // An answer to another request must not reach this caller, and the connection is out of step.
        co_return answer.reader->head()["X-Request-Id"] == toText(attempt.request.id) ? HeadState::Ready : HeadState::Failed;
    }
    const bool mayTryAgain =
        connection.reused && attempt.grant.repeatable && !answer.reader->anyByteArrived() && !attempt.cancelled && !attempt.deadlinePassed();
    co_return mayTryAgain ? HeadState::ClosedWhileIdle : HeadState::Failed;
}

asio::awaitable<void> readTrailer(GatewayThread &thread, std::string address, OpenAnswer answer)
{
    answer.connection->stream.expires_after(trailerTimeout);
    std::string rest;
    const ReadState state = co_await answer.reader->readSome(rest);
    if (state == ReadState::Done && answer.reader->leavesConnectionUsable()) {
        answer.reader.reset();
        thread.upstream().release(address, std::move(answer.connection));
    }
}

void storeAnswer(ServingResult &result, const std::string &contentType, const std::string &body)
{
    if (body.size() > maximumStoredBytes) {
        result.answerOmitted = true;
        return;
    }
    result.answerContentType = contentType;
    result.answerBody = body;
}

HttpResponse wholeResponse(const Attempt &attempt, const AnswerReader &reader, std::string body)
{
    const auto &head = reader.head();
    HttpResponse response(head.result(), attempt.request.httpVersion);
    const auto contentType = head.find(http::field::content_type);
    if (contentType != head.end()) {
        response.set(http::field::content_type, contentType->value());
    }
    response.set("X-Request-Id", toText(attempt.request.id));
    if (!attempt.grant.served.empty()) {
        response.set("X-Model-Served", attempt.grant.served);
    }
    const bool bodyless = head.result() == http::status::no_content || head.result() == http::status::not_modified;
    if (attempt.request.method == http::verb::head) {
        const auto length = head.find(http::field::content_length);
        if (length != head.end()) {
            response.set(http::field::content_length, length->value());
        }
    } else if (!bodyless) {
        response.content_length(body.size());
        response.body() = std::move(body);
    }
    return response;
}

/** Passes on the limit that the answer names, or the end of a limit. If the ring is full, the next answer tells it again. */
void reportLimit(Attempt &attempt, const AnswerReader &reader)
{
    const auto text = reader.head()["X-Server-Limit"];
    const auto limit = httpio::parseDecimal({text.data(), text.size()});
    if (!text.empty() && !limit) {
        attempt.thread.logRejected("the limit named by backend server " + attempt.grant.address + " is not a number");
    } else if (limit || attempt.grant.isLimited) {
        if (!attempt.thread.forward(BackendLimit{attempt.request.id, attempt.grant.grant, callpermits::limitInForce(limit)})) {
            attempt.thread.metrics().ringFull();
        }
    }
}

} // namespace

void Attempt::fail(AttemptOutcome outcome) noexcept
{
    if (cancelled) {
        end.result.outcome = AttemptOutcome::CallerLeft;
    } else {
        end.result.outcome = deadlinePassed() ? AttemptOutcome::DeadlineExceeded : outcome;
    }
}

bool Attempt::deadlinePassed() const noexcept
{
    return std::chrono::steady_clock::now() >= grant.deadline;
}

asio::awaitable<OpenAnswer> openAnswer(Attempt &attempt, std::uint32_t resumeFrom)
{
    // A call that may not be repeated never uses a connection that the server may be closing at this moment.
    bool fresh = !attempt.grant.repeatable || resumeFrom > 0;
    for (;;) {
        OpenAnswer answer;
        answer.connection = co_await openConnection(attempt, fresh);
        if (!answer.connection) {
            attempt.fail(AttemptOutcome::ConnectionRefused);
            co_return OpenAnswer{};
        }
        const HeadState state = co_await exchangeHead(attempt, answer, resumeFrom);
        if (state == HeadState::Ready) {
            co_return answer;
        }
        attempt.watch.clearInterrupt(); // it refers to the connection
        if (state == HeadState::Failed) {
            attempt.fail(AttemptOutcome::FailedBeforeAnswer);
            co_return OpenAnswer{};
        }
        attempt.thread.metrics().attemptRetried();
        fresh = true;
    }
}

void recycle(Attempt &attempt, OpenAnswer answer)
{
    attempt.watch.clearInterrupt();
    if (attempt.cancelled) {
        return;
    }
    if (answer.reader->leavesConnectionUsable()) {
        answer.reader.reset();
        attempt.thread.upstream().release(attempt.grant.address, std::move(answer.connection));
    } else if (answer.reader->head().keep_alive()) {
        const auto executor = answer.connection->stream.get_executor();
        asio::co_spawn(executor, readTrailer(attempt.thread, attempt.grant.address, std::move(answer)), asio::detached);
    }
}

asio::awaitable<void> carryWhole(Attempt &attempt, OpenAnswer &answer)
{
    // The whole answer is read before the first byte goes to the caller, so that a failed attempt can be repeated.
    std::string body;
    ReadState state = ReadState::More;
    while (state == ReadState::More) {
        state = co_await answer.reader->readSome(body);
    }
    if (state == ReadState::Failed) {
        attempt.fail(AttemptOutcome::FailedBeforeAnswer);
        co_return;
    }
    ServingResult &result = attempt.end.result;
    result.firstTokenLatency = std::chrono::steady_clock::now() - attempt.request.arrival;
    if (!attempt.grant.served.empty()) {
        attempt.thread.metrics().firstToken(result.firstTokenLatency);
        body = rewriteAnswer(std::move(body), attempt.grant.served, result.outputTokens);
    }
    result.status = answer.reader->head().result_int();
    result.outcome = AttemptOutcome::Completed;
    if (attempt.request.storeAnswer) {
        storeAnswer(result, std::string(answer.reader->head()[http::field::content_type]), body);
    }
    attempt.end.answerStarted = true;
    HttpResponse response = wholeResponse(attempt, *answer.reader, std::move(body));
    response.keep_alive(attempt.request.keepAlive && !attempt.thread.isDraining());
    recycle(attempt, std::move(answer));
    attempt.end.connection = co_await sendResponse(attempt.caller, std::move(response));
}

asio::awaitable<AttemptEnd>
runAttempt(GatewayThread &thread, boost::beast::tcp_stream &caller, CallerWatch &watch, const AttemptRequest &request, const ServingGrant &grant)
{
    Attempt attempt{thread, caller, watch, request, grant, {}};
    attempt.end.result.id = request.id;
    attempt.end.result.grant = grant.grant;
    OpenAnswer answer = co_await openAnswer(attempt, 0);
    if (!answer.reader) {
        co_return std::move(attempt.end);
    }
    const auto &head = answer.reader->head();
    if (head.result_int() == adapterMissingStatus && head["X-Not-Run"] == "adapter-missing") {
        attempt.end.result.outcome = AttemptOutcome::AdapterMissing;
        watch.clearInterrupt();
        co_return std::move(attempt.end);
    }
    reportLimit(attempt, *answer.reader);
    if (request.stream && head.result() == http::status::ok) {
        co_await carryStream(attempt, answer);
    } else {
        co_await carryWhole(attempt, answer);
    }
    watch.clearInterrupt();
    co_return std::move(attempt.end);
}

} // namespace mimosahollow::gateway
