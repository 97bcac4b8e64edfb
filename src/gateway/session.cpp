#include "session.h"

#include "answers.h"
#include "attempt.h"
#include "backendmessages.h"
#include "gatewaythread.h"
#include "modelcall.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <xxhash.h>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maximumIdempotencyKeyBytes = 256;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/** One connection of a caller or of a backend server. */
struct Session
{
    GatewayThread &thread;
    beast::tcp_stream stream;
};

std::optional<KeyHash> callerKey(const Session &session, const HttpRequest &request)
{
    const std::string_view header = view(request[http::field::authorization]);
    if (!header.starts_with(bearerPrefix)) {
        return std::nullopt;
    }
    return session.thread.ports().hashKey(header.substr(bearerPrefix.size()));
}

AttemptRequest makeAttempt(const HttpRequest &request, const RequestId &id, TimePoint arrival)
{
    AttemptRequest attempt;
    attempt.id = id;
    attempt.method = request.method();
    attempt.arrival = arrival;
    attempt.keepAlive = request.keep_alive();
    attempt.httpVersion = request.version();
    return attempt;
}

ServingRefusal refusalAfter(const AttemptEnd &end, const ServingGrant &grant)
{
    const bool neverSent = end.result.outcome == AttemptOutcome::ConnectionRefused || end.result.outcome == AttemptOutcome::AdapterMissing;
    const bool late = std::chrono::steady_clock::now() >= grant.deadline;
    return {late ? RefusalReason::DeadlineExceeded : RefusalReason::BackendFailed, neverSent ? CallOutcome::NotRun : CallOutcome::Unknown, {}};
}

/** Runs a call until it has an answer, or a refusal of the dispatch thread. */
template<typename PrepareAttempt>
asio::awaitable<ConnectionState> runCall(Session &session, const HttpRequest &request, ServingRequest serving, AttemptRequest attempt, PrepareAttempt prepare)
{
    const RequestId id = serving.id;
    ServingReply reply = co_await session.thread.submit(std::move(serving));
    bool mayHaveRun = false;
    for (;;) {
        if (auto *refusal = std::get_if<ServingRefusal>(&reply.content)) {
            // A refusal after an attempt that may have run must not claim that the call did not run.
            refusal->outcome = mayHaveRun ? CallOutcome::Unknown : refusal->outcome;
            co_return co_await sendResponse(session.stream, makeRefusal(request, id, *refusal));
        }
        if (auto *stored = std::get_if<StoredAnswer>(&reply.content)) {
            HttpResponse response = makeResponse(request, stored->status, stored->contentType, std::move(stored->body));
            response.set("X-Request-Id", toText(id));
            co_return co_await sendResponse(session.stream, std::move(response));
        }
        const ServingGrant grant = std::get<ServingGrant>(reply.content);
        prepare(attempt, grant);
        AttemptEnd end = co_await runAttempt(session.thread, session.stream, attempt, grant);
        if (end.answerStarted) {
            session.thread.report(std::move(end.result));
            co_return end.connection;
        }
        const bool notSent = end.result.outcome == AttemptOutcome::ConnectionRefused || end.result.outcome == AttemptOutcome::AdapterMissing;
        mayHaveRun = mayHaveRun || !notSent;
        if (!grant.repeatable && !notSent) {
            const ServingRefusal refusal = refusalAfter(end, grant);
            session.thread.report(std::move(end.result));
            co_return co_await sendResponse(session.stream, makeRefusal(request, id, refusal));
        }
        reply = co_await session.thread.reportAndWait(std::move(end.result));
    }
}

asio::awaitable<ConnectionState> handleModelCall(Session &session, const HttpRequest &request, ModelEndpoint endpoint)
{
    const RequestId id = session.thread.nextRequestId();
    auto parsed = parseModelCall(endpoint, request.body());
    if (const auto *message = std::get_if<std::string>(&parsed)) {
        co_return co_await sendResponse(session.stream, makeRefusal(request, id, {RefusalReason::InvalidRequest, CallOutcome::NotRun, {}}, *message));
    }
    const ModelCall &call = std::get<ModelCall>(parsed);
    const TimePoint arrival = std::chrono::steady_clock::now();
    ServingRequest serving;
    serving.id = id;
    serving.kind = CallKind::Model;
    serving.keyHash = callerKey(session, request);
    serving.target = call.model;
    serving.promptTokens = call.promptTokens;
    serving.maximumOutputTokens = call.maximumOutputTokens;
    serving.prefixHash = call.prefixHash;
    serving.arrival = arrival;
    serving.deadline = arrival + session.thread.settings().requestDeadline;

    AttemptRequest attempt = makeAttempt(request, id, arrival);
    attempt.contentType = "application/json";
    attempt.stream = call.stream;
    attempt.target = endpoint == ModelEndpoint::ChatCompletions ? "/v1/chat/completions" : "/v1/completions";
    co_return co_await runCall(session, request, std::move(serving), std::move(attempt), [&call](AttemptRequest &next, const ServingGrant &grant) {
        next.body = upstreamBody(call, grant.served.substr(0, grant.served.find(':')), grant.adapter);
    });
}

asio::awaitable<ConnectionState> handleServiceCall(Session &session, const HttpRequest &request)
{
    const RequestId id = session.thread.nextRequestId();
    const std::string_view target = view(request.target());
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string_view idempotencyKey = view(request["Idempotency-Key"]);
    if (idempotencyKey.size() > maximumIdempotencyKeyBytes) {
        co_return co_await sendResponse(session.stream,
                                        makeRefusal(request, id, {RefusalReason::InvalidRequest, CallOutcome::NotRun, {}}, "Idempotency-Key is too long"));
    }
    const TimePoint arrival = std::chrono::steady_clock::now();
    ServingRequest serving;
    serving.id = id;
    serving.kind = CallKind::PlainService;
    serving.keyHash = callerKey(session, request);
    serving.target = std::string(path);
    serving.safeMethod = request.method() == http::verb::get || request.method() == http::verb::head;
    serving.idempotencyKey = std::string(idempotencyKey);
    serving.bodyHash = XXH3_64bits(request.body().data(), request.body().size());
    serving.arrival = arrival;
    serving.deadline = arrival + session.thread.settings().requestDeadline;

    AttemptRequest attempt = makeAttempt(request, id, arrival);
    attempt.contentType = std::string(view(request[http::field::content_type]));
    // The query is not forwarded: it could carry a key.
    attempt.target = std::string(path);
    attempt.body = request.body();
    co_return co_await runCall(session, request, std::move(serving), std::move(attempt), [](AttemptRequest &, const ServingGrant &) {});
}

HttpResponse plainResponse(const HttpRequest &request, unsigned status, std::string_view text)
{
    return makeResponse(request, status, "text/plain; charset=utf-8", std::string(text));
}

asio::awaitable<ConnectionState> handleCallerRequest(Session &session, const HttpRequest &request)
{
    const std::string_view target = view(request.target());
    const std::string_view path = target.substr(0, target.find('?'));
    const bool get = request.method() == http::verb::get;
    const bool post = request.method() == http::verb::post;
    if (post && path == "/v1/chat/completions") {
        co_return co_await handleModelCall(session, request, ModelEndpoint::ChatCompletions);
    }
    if (post && path == "/v1/completions") {
        co_return co_await handleModelCall(session, request, ModelEndpoint::Completions);
    }
    if (get && path == "/v1/models") {
        co_return co_await sendResponse(session.stream, makeResponse(request, 200, "application/json", session.thread.ports().modelList()));
    }
    if (get && path == "/healthz") {
        co_return co_await sendResponse(session.stream, plainResponse(request, 200, "ok\n"));
    }
    if (get && path == "/readyz") {
        const bool ready = !session.thread.isDraining() && session.thread.ports().isReady();
        co_return co_await sendResponse(session.stream, plainResponse(request, ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    }
    if (get && path == "/metrics") {
        co_return co_await sendResponse(session.stream, makeResponse(request, 200, "text/plain; version=0.0.4", session.thread.ports().metricsText()));
    }
    co_return co_await handleServiceCall(session, request);
}

asio::awaitable<ConnectionState> handleBackendRequest(Session &session, const HttpRequest &request)
{
    const std::string_view path = view(request.target());
    std::optional<ServingEvent> event;
    if (request.method() == http::verb::post && path == "/backend/v1/announce") {
        if (auto announcement = parseAnnouncement(request.body())) {
            event = std::move(*announcement);
        }
    } else if (request.method() == http::verb::post && path == "/backend/v1/report") {
        if (auto report = parseReport(request.body())) {
            event = std::move(*report);
        }
    } else {
        co_return co_await sendResponse(session.stream, plainResponse(request, 404, "unknown path\n"));
    }
    if (!event) {
        co_return co_await sendResponse(session.stream, plainResponse(request, 400, "a field is missing or has the wrong type\n"));
    }
    const bool accepted = session.thread.forward(std::move(*event));
    co_return co_await sendResponse(session.stream, plainResponse(request, accepted ? 200 : 503, accepted ? "ok\n" : "busy\n"));
}

unsigned statusOfReadError(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == http::error::header_limit) {
        return 431;
    }
    return error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream ? 400 : 0;
}

} // namespace

asio::awaitable<void> serveConnection(GatewayThread &thread, asio::ip::tcp::socket socket, ListenerRole role)
{
    Session session{thread, beast::tcp_stream(std::move(socket))};
    boost::system::error_code ignored;
    session.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    beast::flat_buffer buffer;
    const settings::Settings &settings = thread.settings();
    ConnectionState state = ConnectionState::KeepAlive;
    while (state == ConnectionState::KeepAlive && !thread.isDraining()) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(settings.maximumHeadBytes));
        parser.body_limit(settings.maximumBodyBytes);
        if (buffer.size() == 0) {
            // Waiting for the first byte may take long; once a request has begun, it must arrive quickly.
            session.stream.expires_after(settings.idleTimeout);
            const auto [waitError, waited] = co_await session.stream.async_read_some(buffer.prepare(4096), asio::as_tuple(asio::use_awaitable));
            if (waitError) {
                break;
            }
            buffer.commit(waited);
        }
        session.stream.expires_after(settings.headTimeout);
        const auto [error, bytes] = co_await http::async_read(session.stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
        static_cast<void>(bytes);
        if (error) {
            if (const unsigned status = statusOfReadError(error)) {
                HttpResponse response = plainResponse(HttpRequest(http::verb::get, "/", 11), status, error.message() + "\n");
                response.keep_alive(false);
                co_await sendResponse(session.stream, std::move(response));
            }
            break;
        }
        const HttpRequest request = parser.release();
        thread.callStarted();
        state = role == ListenerRole::Callers ? co_await handleCallerRequest(session, request) : co_await handleBackendRequest(session, request);
        thread.callEnded();
    }
    session.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace mimosahollow::gateway
