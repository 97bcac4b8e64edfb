#include "session.h"

#include "answers.h"
#include "backendmessages.h"
#include "calls.h"
#include "httpio/framing.h"
#include "mimosahollow/observability/metrics.h"
#include "servicepath.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using RequestParser = http::request_parser<http::string_body>;

// An idle connection holds only this much; 10,000 of them hold 10 MB.
constexpr std::size_t idleBufferBytes = 1024;
// Space for the body bytes that arrive together with the largest head.
constexpr std::size_t bufferBytesBeyondHead = 131'072;
// What is read and dropped of a refused request, so that the refusal is not lost in a connection reset.
constexpr std::size_t maximumDroppedBytes = 1U << 20U;
constexpr seconds dropTimeout{2};

constexpr std::array serviceMethods{http::verb::get, http::verb::head, http::verb::post, http::verb::put, http::verb::patch, http::verb::delete_};

HttpResponse plainResponse(const HttpRequest &request, unsigned status, std::string_view text)
{
    return makeResponse(request, status, "text/plain; charset=utf-8", std::string(text));
}

asio::awaitable<ConnectionState> handleModelList(Session &session, const HttpRequest &request)
{
    const std::string_view key = callerKey(request);
    auto list = key.empty() ? std::nullopt : session.thread.ports().modelList(session.thread.ports().hashKey(key));
    if (!list) {
        co_return co_await refuse(session, request, session.thread.nextRequestId(), {RefusalReason::InvalidKey, CallOutcome::NotRun, {}});
    }
    co_return co_await answer(session, makeResponse(request, 200, "application/json", std::move(*list)));
}

asio::awaitable<ConnectionState> handleOwnPath(Session &session, const HttpRequest &request, const std::string &path)
{
    if (path == "/v1/models") {
        co_return co_await handleModelList(session, request);
    }
    if (path == "/healthz") {
        co_return co_await answer(session, plainResponse(request, 200, "ok\n"));
    }
    if (path == "/readyz") {
        const bool ready = !session.thread.isDraining() && session.thread.ports().isReady();
        co_return co_await answer(session, plainResponse(request, ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    }
    co_return co_await answer(session, makeResponse(request, 200, "text/plain; version=0.0.4", session.thread.metricsText()));
}

asio::awaitable<ConnectionState> handleCallerRequest(Session &session, const HttpRequest &request)
{
    const auto path = normalisePath({request.target().data(), request.target().size()});
    if (!path || std::find(serviceMethods.begin(), serviceMethods.end(), request.method()) == serviceMethods.end()) {
        const char *message = path ? "the method is not supported" : "the path is not valid";
        co_return co_await refuse(session, request, session.thread.nextRequestId(), {RefusalReason::InvalidRequest, CallOutcome::NotRun, {}}, message);
    }
    if (request.method() == http::verb::post && *path == "/v1/chat/completions") {
        co_return co_await handleModelCall(session, request, ModelEndpoint::ChatCompletions);
    }
    if (request.method() == http::verb::post && *path == "/v1/completions") {
        co_return co_await handleModelCall(session, request, ModelEndpoint::Completions);
    }
    const bool reads = request.method() == http::verb::get || request.method() == http::verb::head;
    if (reads && (*path == "/v1/models" || *path == "/healthz" || *path == "/readyz" || *path == "/metrics")) {
        co_return co_await handleOwnPath(session, request, *path);
    }
    co_return co_await handleServiceCall(session, request, *path);
}

asio::awaitable<ConnectionState> handleBackendRequest(Session &session, const HttpRequest &request)
{
    std::optional<ServingEvent> event;
    if (request.method() == http::verb::post && request.target() == "/backend/v1/announce") {
        if (auto announcement = parseAnnouncement(request.body())) {
            event = std::move(*announcement);
        }
    } else if (request.method() == http::verb::post && request.target() == "/backend/v1/report") {
        if (auto report = parseReport(request.body())) {
            event = std::move(*report);
        }
    } else {
        co_return co_await answer(session, plainResponse(request, 404, "unknown path\n"));
    }
    if (!event) {
        session.thread.logRejected("backend message with a missing or wrong field");
        co_return co_await answer(session, plainResponse(request, 400, "a field is missing or has the wrong type\n"));
    }
    const bool accepted = session.thread.forward(std::move(*event));
    co_return co_await answer(session, plainResponse(request, accepted ? 200 : 503, accepted ? "ok\n" : "busy\n"));
}

/** Status for a request that could not be read; 0 when the connection ended and nobody waits for an answer. */
unsigned statusOfReadError(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return 413;
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return 431;
    }
    if (error == asio::error::no_buffer_space) {
        return 503;
    }
    const bool malformed = error.category() == make_error_code(http::error::bad_method).category();
    return malformed && error != http::error::end_of_stream && error != http::error::partial_message ? 400 : 0;
}

/** Tells the caller why its request could not be read, then drops what it still sends. */
asio::awaitable<void> rejectAndClose(Session &session, RefusalReason reason, unsigned status, std::string message)
{
    session.thread.logRejected(message);
    session.thread.metrics().refused(reason);
    co_await sendResponse(session.stream, makeProtocolError(session.thread.nextRequestId(), reason, status, message));
    boost::system::error_code ignored;
    session.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    session.stream.expires_after(dropTimeout);
    std::size_t dropped = 0;
    std::array<char, idleBufferBytes> space{};
    while (dropped < maximumDroppedBytes) {
        const auto [error, bytes] = co_await session.stream.async_read_some(asio::buffer(space), asio::as_tuple(asio::use_awaitable));
        if (error) {
            break;
        }
        dropped += bytes;
    }
}

/** Waits for the first byte of a request, which may take long. Returns false when the connection has ended. */
asio::awaitable<bool> waitForRequest(Session &session)
{
    if (session.buffer.size() > 0) {
        co_return true;
    }
    if (session.buffer.capacity() > idleBufferBytes) {
        session.buffer.shrink_to_fit();
    }
    session.stream.expires_after(session.thread.settings().idleTimeout);
    session.thread.connectionIdle(session.stream);
    const auto [error, bytes] = co_await session.stream.async_read_some(session.buffer.prepare(idleBufferBytes), asio::as_tuple(asio::use_awaitable));
    session.thread.connectionBusy(session.stream);
    session.buffer.commit(bytes);
    co_return !error;
}

/** Space that the body of one request takes of the memory for all bodies. */
class BodySpace
{
public:
    explicit BodySpace(GatewayThread &thread) : m_thread(thread)
    {
    }
    ~BodySpace()
    {
        m_thread.releaseBody(m_bytes);
    }
    BodySpace(const BodySpace &) = delete;
    BodySpace &operator=(const BodySpace &) = delete;

    [[nodiscard]] bool reserve(std::uint64_t bytes) noexcept
    {
        const bool reserved = m_thread.reserveBody(bytes);
        m_bytes += reserved ? bytes : 0;
        return reserved;
    }

private:
    GatewayThread &m_thread;
    std::uint64_t m_bytes = 0;
};

/** Reads one request, which must arrive within the time limit once it has begun. */
asio::awaitable<boost::system::error_code> readRequest(Session &session, RequestParser &parser, BodySpace &space)
{
    const settings::Settings &settings = session.thread.settings();
    parser.header_limit(static_cast<std::uint32_t>(settings.maximumHeadBytes));
    parser.body_limit(settings.maximumBodyBytes);
    session.stream.expires_after(settings.headTimeout);
    const auto [headError, headBytes] = co_await http::async_read_header(session.stream, session.buffer, parser, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(headBytes);
    if (headError || parser.is_done()) {
        co_return headError;
    }
    // A chunked body may grow up to the limit.
    if (!space.reserve(parser.content_length().value_or(settings.maximumBodyBytes))) {
        co_return asio::error::no_buffer_space;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") && parser.get().version() >= 11) {
        // Limits on the head and the declared body have been checked; the caller may send the body.
        constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto [error, bytes] = co_await asio::async_write(session.stream, asio::buffer(interim), asio::as_tuple(asio::use_awaitable));
        static_cast<void>(bytes);
        if (error) {
            co_return error;
        }
    }
    const auto [error, bytes] = co_await http::async_read(session.stream, session.buffer, parser, asio::as_tuple(asio::use_awaitable));
    static_cast<void>(bytes);
    co_return error;
}

/** Counts a request as running from its first byte, so that a graceful shutdown waits for it. */
class RunningRequest
{
public:
    explicit RunningRequest(GatewayThread &thread) : m_thread(thread)
    {
        m_thread.requestStarted();
    }
    ~RunningRequest()
    {
        m_thread.requestEnded();
    }
    RunningRequest(const RunningRequest &) = delete;
    RunningRequest &operator=(const RunningRequest &) = delete;

private:
    GatewayThread &m_thread;
};

/** Watches the caller for as long as it lives; the watch refers to the session only in that time. */
class WatchedCall
{
public:
    explicit WatchedCall(CallerWatch &watch) : m_watch(watch)
    {
        m_watch.beginCall();
    }
    ~WatchedCall()
    {
        m_watch.endCall();
    }
    WatchedCall(const WatchedCall &) = delete;
    WatchedCall &operator=(const WatchedCall &) = delete;

private:
    CallerWatch &m_watch;
};

asio::awaitable<ConnectionState> serveRequest(Session &session, ListenerRole role)
{
    const RunningRequest running(session.thread);
    BodySpace space(session.thread);
    RequestParser parser;
    const boost::system::error_code error = co_await readRequest(session, parser, space);
    if (error) {
        if (error == beast::error::timeout) {
            session.thread.logRejected("the request did not arrive in time"); // the timer has closed the connection
        } else if (const unsigned status = statusOfReadError(error)) {
            co_await rejectAndClose(session, status == 503 ? RefusalReason::Overloaded : RefusalReason::InvalidRequest, status, error.message());
        }
        co_return ConnectionState::Close;
    }
    const HttpRequest request = parser.release();
    if (const std::string problem = httpio::findFramingError(request); !problem.empty()) {
        co_await rejectAndClose(session, RefusalReason::InvalidRequest, 400, problem);
        co_return ConnectionState::Close;
    }
    if (role == ListenerRole::Backends) {
        co_return co_await handleBackendRequest(session, request);
    }
    ConnectionState state = ConnectionState::Close;
    {
        const WatchedCall watched(*session.watch);
        state = co_await handleCallerRequest(session, request);
    }
    co_return session.watch->callerLeft() ? ConnectionState::Close : state;
}

} // namespace

asio::awaitable<void> serveConnection(GatewayThread &thread, asio::ip::tcp::socket socket, ListenerRole role)
{
    Session session{thread, beast::tcp_stream(std::move(socket)), beast::flat_buffer(), nullptr};
    session.buffer.max_size(thread.settings().maximumHeadBytes + bufferBytesBeyondHead);
    session.watch = std::make_shared<CallerWatch>(session.stream, session.buffer);
    boost::system::error_code ignored;
    session.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    session.stream.socket().non_blocking(true, ignored);
    ConnectionState state = ConnectionState::KeepAlive;
    while (state == ConnectionState::KeepAlive) {
        const bool begun = co_await waitForRequest(session);
        state = begun ? co_await serveRequest(session, role) : ConnectionState::Close;
    }
    session.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

} // namespace mimosahollow::gateway
