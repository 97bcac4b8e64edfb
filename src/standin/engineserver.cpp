#include "engineserver.h"

#include "gateway/addresses.h"
#include "gateway/answers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <future>
#include <stdexcept>

namespace mimosahollow::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using gateway::HttpRequest;

namespace {

constexpr seconds connectionTimeout{600};

} // namespace

EngineServer::EngineServer(EngineOptions options) : m_context(1), m_acceptor(m_context)
{
    m_state.options = std::move(options);
    m_state.incarnation = randomIncarnation();
}

EngineServer::~EngineServer()
{
    stop();
}

void EngineServer::start()
{
    const auto endpoint = parseEndpoint(m_state.options.address);
    if (!endpoint) {
        throw std::runtime_error("not an address: " + m_state.options.address);
    }
    m_acceptor.open(endpoint->protocol());
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind(*endpoint);
    m_acceptor.listen();
    asio::co_spawn(m_context, accept(), asio::detached);
    for (const std::string &target : m_state.options.announceTo) {
        asio::co_spawn(m_context, announceTo(m_state, m_context, target), asio::detached);
    }
    m_thread = std::thread([this] {
        m_context.run();
    });
}

void EngineServer::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (EngineConnection *connection : m_state.connections) {
        connection->stream.close();
    }
}

void EngineServer::runOnThread(const std::function<void()> &task)
{
    if (!m_thread.joinable()) {
        task();
        return;
    }
    std::promise<void> done;
    asio::post(m_context, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

std::vector<EngineCall> EngineServer::calls()
{
    std::vector<EngineCall> result;
    runOnThread([&] {
        for (const auto &call : m_state.calls) {
            result.push_back(*call);
        }
    });
    return result;
}

void EngineServer::setFaults(const EngineFaults &faults)
{
    runOnThread([&] {
        m_state.options.faults = faults;
    });
}

void EngineServer::restart()
{
    runOnThread([this] {
        restartEmpty(m_state);
    });
}

asio::awaitable<void> EngineServer::accept()
{
    for (;;) {
        auto [error, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> EngineServer::serve(asio::ip::tcp::socket socket)
{
    EngineConnection connection(std::move(socket));
    connection.watch = std::make_shared<gateway::CallerWatch>(connection.stream, connection.buffer);
    const auto forget = [this](EngineConnection *closed) {
        m_state.connections.erase(closed);
    };
    m_state.connections.insert(&connection);
    const std::unique_ptr<EngineConnection, decltype(forget)> entry(&connection, forget);
    boost::system::error_code ignored;
    connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    connection.stream.socket().non_blocking(true, ignored);
    bool keepAlive = true;
    while (keepAlive) {
        HttpRequest request;
        connection.stream.expires_after(connectionTimeout);
        const auto [error, bytes] = co_await http::async_read(connection.stream, connection.buffer, request, asio::as_tuple(asio::use_awaitable));
        static_cast<void>(bytes);
        if (error) {
            co_return;
        }
        connection.watch->beginCall();
        keepAlive = co_await handle(connection, request);
        connection.watch->endCall();
    }
}

asio::awaitable<bool> EngineServer::handle(EngineConnection &connection, const HttpRequest &request)
{
    if (request.target() == "/orders") {
        co_return co_await handleOrder(m_state, connection, request);
    }
    if (request.target().starts_with("/standin/")) {
        co_return co_await handleInspection(m_state, connection, request);
    }
    const std::uint32_t bears = m_state.options.bearsWhenCold;
    if (bears > 0 && isCold(m_state) && m_state.running >= bears) {
        // A real engine runs out of memory here; the callers see resets.
        recordCall(m_state, request)->state = EngineCallState::Failed;
        resetConnection(connection);
        co_return false;
    }
    const bool keepAlive =
        m_state.options.plainService ? co_await handleServiceCall(m_state, connection, request) : co_await handleModelCall(m_state, connection, request);
    co_return keepAlive && !m_state.options.faults.closeSilently;
}

} // namespace mimosahollow::standin
