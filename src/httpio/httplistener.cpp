#include "httplistener.h"

#include "gateway/addresses.h"
#include "httpio/boundedread.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace mimosahollow::httpio {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

struct HttpListener::Impl
{
    Impl(asio::io_context &ioContext, HttpListenerOptions listenerOptions, HttpHandler callHandler)
        : context(ioContext), options(std::move(listenerOptions)), handler(std::move(callHandler)), acceptor(ioContext)
    {
        holdings.budget = options.callers;
    }

    asio::io_context &context;
    HttpListenerOptions options;
    HttpHandler handler;
    tcp::acceptor acceptor;
    callerlimits::CallerHoldings holdings;
    std::map<callerlimits::ConnectionNumber, beast::tcp_stream *> streams;
};

namespace {

constexpr milliseconds acceptPause{20}; // without it, a process without free descriptors would do nothing else

/** Closes connections until the budgets hold. Returns false if @p requester is the one to go, or no other one can. */
template<typename Impl>
bool makeRoom(Impl &impl, callerlimits::ConnectionNumber requester)
{
    while (const auto chosen = callerlimits::connectionToClose(impl.holdings)) {
        if (*chosen == requester) {
            return false;
        }
        callerlimits::closeConnection(impl.holdings, *chosen);
        impl.streams.at(*chosen)->close();
    }
    return !callerlimits::isOverBudget(impl.holdings);
}

/** Reads one request within the limits. */
template<typename Impl>
asio::awaitable<boost::system::error_code>
readRequest(Impl &impl, callerlimits::ConnectionNumber number, beast::tcp_stream &stream, beast::flat_buffer &buffer, RequestParser &parser)
{
    parser.header_limit(static_cast<std::uint32_t>(impl.options.headBytes));
    parser.body_limit(impl.options.bodyBytes);
    buffer.max_size(readAheadLimit(impl.options.headBytes));
    const HoldBytes hold = [&impl, number](std::size_t bytes) {
        callerlimits::holdBytes(impl.holdings, number, bytes);
        return makeRoom(impl, number);
    };
    stream.expires_after(impl.options.readTimeout);
    auto error = co_await awaitRequest(stream, buffer);
    if (!error) {
        error = co_await readHead(stream, buffer, parser, hold);
    }
    if (!error) {
        error = co_await readBody(stream, buffer, parser, hold);
    }
    stream.expires_never();
    co_return error;
}

template<typename Impl>
asio::awaitable<void> serveRequests(std::shared_ptr<Impl> impl, callerlimits::ConnectionNumber number, beast::tcp_stream &stream)
{
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    beast::flat_buffer buffer;
    for (;;) {
        RequestParser parser;
        if (co_await readRequest(*impl, number, stream, buffer, parser)) {
            break;
        }
        callerlimits::beginCall(impl->holdings, number);
        auto request = parser.release();
        const bool keepAlive = request.keep_alive();
        // GCC 12 destroys aggregates twice that are temporaries of an expression with co_await.
        HttpCall call{std::string(request.method_string()), std::string(request.target()), std::move(request.body())};
        HttpReply reply = co_await impl->handler(std::move(call));
        http::response<http::string_body> response(static_cast<http::status>(reply.status), 11);
        response.set(http::field::content_type, reply.contentType);
        for (const auto &[name, value] : reply.headers) {
            response.set(name, value);
        }
        response.body() = std::move(reply.body);
        response.keep_alive(keepAlive);
        response.prepare_payload();
        stream.expires_after(impl->options.readTimeout);
        if (const auto [error, count] = co_await http::async_write(stream, response, token); error || !keepAlive) {
            break;
        }
        callerlimits::endCall(impl->holdings, number);
        callerlimits::holdBytes(impl->holdings, number, 0);
    }
}

template<typename Impl>
asio::awaitable<void> serveConnection(std::shared_ptr<Impl> impl, beast::tcp_stream stream)
{
    boost::system::error_code ignored; // the peer may have closed the connection already
    const auto endpoint = stream.socket().remote_endpoint(ignored);
    const auto number = callerlimits::openConnection(impl->holdings, ignored ? std::string() : endpoint.address().to_string());
    impl->streams.emplace(number, &stream);
    if (makeRoom(*impl, number)) {
        co_await serveRequests(impl, number, stream);
    }
    callerlimits::closeConnection(impl->holdings, number);
    impl->streams.erase(number);
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

template<typename Impl>
asio::awaitable<void> acceptConnections(std::shared_ptr<Impl> impl)
{
    for (;;) {
        beast::tcp_stream stream(impl->context);
        const auto [error] = co_await impl->acceptor.async_accept(stream.socket(), asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            observability::logWarning("listener " + impl->options.address + ": " + error.message());
            asio::steady_timer pause(impl->context, acceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        asio::co_spawn(impl->context, serveConnection(impl, std::move(stream)), asio::detached);
    }
}

} // namespace

std::string listen(tcp::acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return "invalid address " + address;
    }
    const boost::system::error_code error = openListener(acceptor, *endpoint);
    return error ? "cannot listen on " + address + ": " + error.message() : std::string();
}

HttpListener::HttpListener(asio::io_context &context, HttpListenerOptions options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(handler)))
{
}

HttpListener::~HttpListener()
{
    boost::system::error_code ignored; // closing an acceptor that is not open is no fault
    m_impl->acceptor.close(ignored);
}

std::string HttpListener::start()
{
    if (auto problem = listen(m_impl->acceptor, m_impl->options.address); !problem.empty()) {
        return problem;
    }
    asio::co_spawn(m_impl->context, acceptConnections(m_impl), asio::detached);
    return {};
}

} // namespace mimosahollow::httpio
