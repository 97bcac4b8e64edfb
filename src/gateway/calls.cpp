#include "calls.h"

#include "answers.h"
#include "attempt.h"
#include "mimosahollow/observability/metrics.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view bearerPrefix = "bearer ";
constexpr std::size_t maximumIdempotencyKeyBytes = 256;
// Callers that meet a draining instance should find another one at once.
constexpr seconds drainRetryAfter{1};

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

observability::CallEnd callEnd(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return observability::CallEnd::Completed;
    case AttemptOutcome::CallerLeft:
        return observability::CallEnd::CallerLeft;
    case AttemptOutcome::DeadlineExceeded:
        return observability::CallEnd::DeadlineExceeded;
    default:
        return observability::CallEnd::Failed;
    }
}

/** A call on its way: its request, and what dispatch and the backend server get of it. */
struct Call
{
    Session &session;
    const HttpRequest &request;
    ServingRequest serving;
    AttemptRequest attempt;

    void record(observability::CallEnd end) const
    {
        session.thread.metrics().callEnded(end, std::chrono::steady_clock::now() - attempt.arrival);
    }
};

Call makeCall(Session &session, const HttpRequest &request, CallKind kind)
{
    Call call{session, request, {}, {}};
    const TimePoint arrival = std::chrono::steady_clock::now();
    call.serving.id = session.thread.nextRequestId();
    call.serving.kind = kind;
    if (const std::string_view key = callerKey(request); !key.empty()) {
        call.serving.keyHash = session.thread.ports().hashKey(key);
    }
    call.serving.arrival = arrival;
    call.serving.deadline = arrival + session.thread.settings().requestDeadline;
    call.attempt.id = call.serving.id;
    call.attempt.method = request.method();
    call.attempt.arrival = arrival;
    call.attempt.keepAlive = request.keep_alive();
    call.attempt.httpVersion = request.version();
    session.thread.metrics().callStarted();
    return call;
}

asio::awaitable<ConnectionState> refuse(const Call &call, ServingRefusal refusal, std::string_view message = {})
{
    call.record(refusal.reason == RefusalReason::DeadlineExceeded ? observability::CallEnd::DeadlineExceeded : observability::CallEnd::Refused);
    co_return co_await gateway::refuse(call.session, call.request, call.attempt.id, refusal, message);
}

asio::awaitable<ConnectionState> sendStored(const Call &call, StoredAnswer stored)
{
    HttpResponse response = makeResponse(call.request, stored.status, stored.contentType, std::move(stored.body));
    response.set("X-Request-Id", toText(call.attempt.id));
    call.record(observability::CallEnd::Completed);
    co_return co_await answer(call.session, std::move(response));
}

ConnectionState callerLeft(const Call &call)
{
    call.record(observability::CallEnd::CallerLeft);
    return ConnectionState::Close;
}

/** What to tell the caller of a failed attempt that is not repeated; nothing when another grant may follow. */
std::optional<ServingRefusal> finalRefusal(const AttemptEnd &end, const ServingGrant &grant, bool mayHaveRun)
{
    const CallOutcome outcome = mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun;
    if (end.result.outcome == AttemptOutcome::DeadlineExceeded) {
        return ServingRefusal{RefusalReason::DeadlineExceeded, outcome, {}};
    }
    if (mayHaveRun && !grant.repeatable) {
        return ServingRefusal{RefusalReason::BackendFailed, outcome, {}};
    }
    return std::nullopt;
}

/** Runs a call until it has an answer, or a refusal of the dispatch thread. @p prepare fits the attempt to its grant. */
template<typename Prepare>
asio::awaitable<ConnectionState> runCall(Call &call, Prepare prepare)
{
    GatewayThread &thread = call.session.thread;
    CallerWatch &watch = *call.session.watch;
    const TimePoint deadline = call.serving.deadline;
    std::optional<ServingReply> reply = co_await thread.submit(std::move(call.serving), watch);
    bool mayHaveRun = false;
    for (;;) {
        if (!reply) {
            co_return callerLeft(call);
        }
        if (auto *refusal = std::get_if<ServingRefusal>(&reply->content)) {
            // A refusal after an attempt that may have run must not claim that the call did not run.
            refusal->outcome = mayHaveRun ? CallOutcome::Unknown : refusal->outcome;
            co_return co_await refuse(call, *refusal);
        }
        if (auto *stored = std::get_if<StoredAnswer>(&reply->content)) {
            co_return co_await sendStored(call, std::move(*stored));
        }
        ServingGrant grant = std::get<ServingGrant>(std::move(reply->content));
        // A later attempt must not give the call more time than it had.
        grant.deadline = std::min(grant.deadline, deadline);
        prepare(call.attempt, grant);
        AttemptEnd end = co_await runAttempt(thread, call.session.stream, watch, call.attempt, grant);
        if (end.answerStarted || end.result.outcome == AttemptOutcome::CallerLeft) {
            call.record(callEnd(end.result.outcome));
            thread.report(std::move(end.result));
            co_return end.connection;
        }
        mayHaveRun = mayHaveRun || (end.sent && end.result.outcome != AttemptOutcome::AdapterMissing);
        if (const auto refusal = finalRefusal(end, grant, mayHaveRun)) {
            thread.report(std::move(end.result));
            co_return co_await refuse(call, *refusal);
        }
        thread.metrics().attemptRetried();
        reply = co_await thread.reportAndWait(std::move(end.result), deadline, watch);
    }
}

/**
 * P4 for what the caller itself wrote: bodies, prompts and paths are content and are passed on, but a call that repeats
 * the key of its own Authorization header in them is refused. A key in another encoding, or another key, cannot be told
 * from other text and is passed on as content.
 */
bool repeatsKey(std::string_view key, std::string_view content)
{
    return !key.empty() && content.find(key) != std::string_view::npos;
}

constexpr std::string_view repeatsKeyMessage = "the call must not contain its own API key";

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        return character >= 0x20 && character < 0x7f;
    });
}

/** The media type of a request without parameters, except those that servers need to read the body. */
std::string forwardedContentType(std::string_view text)
{
    constexpr std::array<std::string_view, 2> parameters{"charset=", "boundary="};
    std::string type(text.substr(0, text.find(';')));
    for (std::size_t at = text.find(';'); at != std::string_view::npos;) {
        const std::size_t next = text.find(';', at + 1);
        std::string_view parameter = text.substr(at + 1, next == std::string_view::npos ? next : next - at - 1);
        parameter.remove_prefix(std::min(parameter.find_first_not_of(' '), parameter.size()));
        const bool known = std::any_of(parameters.begin(), parameters.end(), [&](std::string_view name) {
            return parameter.starts_with(name);
        });
        if (known) {
            type.append("; ").append(parameter);
        }
        at = next;
    }
    return type;
}

} // namespace

std::string_view callerKey(const HttpRequest &request)
{
    const std::string_view header = view(request[http::field::authorization]);
    const bool bearer =
        header.size() > bearerPrefix.size() && std::equal(bearerPrefix.begin(), bearerPrefix.end(), header.begin(), [](char expected, char actual) {
            return expected == static_cast<char>(std::tolower(static_cast<unsigned char>(actual)));
        });
    return bearer ? header.substr(bearerPrefix.size()) : std::string_view{};
}

asio::awaitable<ConnectionState> answer(Session &session, HttpResponse response)
{
    response.keep_alive(response.keep_alive() && !session.thread.isDraining());
    co_return co_await sendResponse(session.stream, std::move(response));
}

asio::awaitable<ConnectionState> refuse(Session &session, const HttpRequest &request, const RequestId &id, ServingRefusal refusal, std::string_view message)
{
    session.thread.metrics().refused(refusal.reason);
    co_return co_await answer(session, makeRefusal(request, id, refusal, message));
}

asio::awaitable<ConnectionState> handleModelCall(Session &session, const HttpRequest &request, ModelEndpoint endpoint)
{
    Call call = makeCall(session, request, CallKind::Model);
    if (session.thread.isDraining()) {
        co_return co_await refuse(call, {RefusalReason::ShuttingDown, CallOutcome::NotRun, drainRetryAfter});
    }
    auto parsed = parseModelCall(endpoint, request.body());
    if (const auto *message = std::get_if<std::string>(&parsed)) {
        co_return co_await refuse(call, {RefusalReason::InvalidRequest, CallOutcome::NotRun, {}}, *message);
    }
    const ModelCall &model = std::get<ModelCall>(parsed);
    if (repeatsKey(callerKey(request), model.upstreamBody)) {
        co_return co_await refuse(call, {RefusalReason::InvalidRequest, CallOutcome::NotRun, {}}, repeatsKeyMessage);
    }
    call.serving.target = model.model;
    call.serving.promptTokens = model.promptTokens;
    call.serving.maximumOutputTokens = model.maximumOutputTokens;
    call.serving.prefixHash = model.prefixHash;
    call.serving.promptParts = model.promptParts;
    call.serving.bodyHash = XXH3_64bits(model.upstreamBody.data(), model.upstreamBody.size());
    call.attempt.contentType = "application/json";
    call.attempt.stream = model.stream;
    call.attempt.target = endpoint == ModelEndpoint::ChatCompletions ? "/v1/chat/completions" : "/v1/completions";
    co_return co_await runCall(call, [&model](AttemptRequest &next, const ServingGrant &grant) {
        next.body = upstreamBody(model, grant.served.substr(0, grant.served.find(':')), grant.adapter);
    });
}

asio::awaitable<ConnectionState> handleServiceCall(Session &session, const HttpRequest &request, const std::string &path)
{
    Call call = makeCall(session, request, CallKind::PlainService);
    if (session.thread.isDraining()) {
        co_return co_await refuse(call, {RefusalReason::ShuttingDown, CallOutcome::NotRun, drainRetryAfter});
    }
    const ServingRefusal invalid{RefusalReason::InvalidRequest, CallOutcome::NotRun, {}};
    const std::string_view idempotencyKey = view(request["Idempotency-Key"]);
    if (idempotencyKey.size() > maximumIdempotencyKeyBytes || !isPrintable(idempotencyKey)) {
        co_return co_await refuse(call, invalid, "Idempotency-Key must have at most 256 printable characters");
    }
    const std::string contentType = forwardedContentType(view(request[http::field::content_type]));
    const std::string_view key = callerKey(request);
    if (repeatsKey(key, request.body()) || repeatsKey(key, path) || repeatsKey(key, contentType) || repeatsKey(key, idempotencyKey)) {
        co_return co_await refuse(call, invalid, repeatsKeyMessage);
    }
    call.serving.target = path;
    call.serving.safeMethod = request.method() == http::verb::get || request.method() == http::verb::head;
    call.serving.idempotencyKey = std::string(idempotencyKey);
    call.serving.bodyHash = XXH3_64bits(request.body().data(), request.body().size());
    call.attempt.contentType = contentType;
    call.attempt.storeAnswer = !idempotencyKey.empty();
    // The query is not forwarded: it could carry a key.
    call.attempt.target = path;
    call.attempt.body = request.body();
    co_return co_await runCall(call, [](AttemptRequest &, const ServingGrant &) {});
}

} // namespace mimosahollow::gateway
