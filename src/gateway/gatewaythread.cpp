#include "gatewaythread.h"

#include "addresses.h"
#include "session.h"
#include "upstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stdexcept>

namespace mimosahollow::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// The dispatch thread answers at the deadline itself; the extra time covers the way through the rings.
constexpr milliseconds replyGrace{250};
// Pause before results that found the dispatch ring full are offered again.
constexpr milliseconds resendInterval{2};

ServingReply refusal(RequestId id, RefusalReason reason)
{
    return {id, ServingRefusal{reason, CallOutcome::NotRun, {}}};
}

} // namespace

GatewayThread::GatewayThread(
    const settings::Settings &settings, const GatewayPorts &ports, BoundedRing<ServingEvent> &dispatchRing, std::uint32_t index, std::uint64_t processNumber)
    : m_settings(settings)
    , m_ports(ports)
    , m_dispatchRing(dispatchRing)
    , m_index(index)
    , m_processNumber(processNumber)
    , m_replies(settings.ringCapacity)
    , m_context(1)
    , m_upstream(std::make_unique<UpstreamConnections>(m_context))
{
    m_replies.setWakeFunction([this] {
        asio::post(m_context, [this] {
            deliverReplies();
        });
    });
}

GatewayThread::~GatewayThread()
{
    stop();
}

void GatewayThread::listen(const std::string &address, ListenerRole role)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw std::runtime_error("not an address: " + address);
    }
    tcp::acceptor acceptor(m_context);
    boost::system::error_code error;
    const auto check = [&](const char *step) {
        if (error) {
            throw std::runtime_error("cannot listen on " + address + ": " + step + ": " + error.message());
        }
    };
    acceptor.open(endpoint->protocol(), error);
    check("open");
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Every gateway thread listens on the same address; the kernel spreads the connections.
    acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor.bind(*endpoint, error);
    check("bind");
    acceptor.listen(asio::socket_base::max_listen_connections, error);
    check("listen");
    m_acceptors.push_back(std::move(acceptor));
    asio::co_spawn(m_context, accept(m_acceptors.back(), role), asio::detached);
}

void GatewayThread::start()
{
    m_thread = std::thread([this] {
        m_context.run();
    });
}

void GatewayThread::stopAccepting()
{
    m_draining = true;
    asio::post(m_context, [this] {
        for (tcp::acceptor &acceptor : m_acceptors) {
            boost::system::error_code ignored;
            acceptor.close(ignored);
        }
    });
}

bool GatewayThread::isIdle() const noexcept
{
    return m_runningCalls == 0;
}

void GatewayThread::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

BoundedRing<ServingReply> &GatewayThread::replies() noexcept
{
    return m_replies;
}

asio::awaitable<void> GatewayThread::accept(tcp::acceptor &acceptor, ListenerRole role)
{
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted || m_draining) {
            co_return;
        }
        if (error) {
            // Out of file descriptors: wait for connections to close instead of spinning.
            asio::steady_timer pause(m_context, milliseconds(20));
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (m_connections >= m_settings.maximumConnections / m_settings.gatewayThreads + 1) {
            continue; // closes the socket
        }
        ++m_connections;
        asio::co_spawn(m_context, serveConnection(*this, std::move(socket), role), [this](const std::exception_ptr &) {
            --m_connections;
        });
    }
}

asio::awaitable<ServingReply> GatewayThread::submit(ServingRequest request)
{
    const RequestId id = request.id;
    const TimePoint deadline = request.deadline;
    // Every waiter receives one reply, so the reply ring can never overflow while this bound holds.
    if (m_waiters.size() >= m_settings.ringCapacity) {
        co_return refusal(id, RefusalReason::Overloaded);
    }
    request.gatewayThread = m_index;
    ServingEvent event(std::move(request));
    if (!m_dispatchRing.tryPush(event)) {
        co_return refusal(id, RefusalReason::Overloaded);
    }
    co_return co_await waitForReply(id, deadline);
}

asio::awaitable<ServingReply> GatewayThread::waitForReply(RequestId id, TimePoint deadline)
{
    auto waiter = std::make_shared<Waiter>(m_context);
    m_waiters.emplace(id, waiter);
    waiter->signal.expires_at(deadline + replyGrace);
    co_await waiter->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waiters.erase(id);
    if (waiter->reply) {
        co_return std::move(*waiter->reply);
    }
    co_return refusal(id, RefusalReason::DeadlineExceeded);
}

void GatewayThread::report(ServingResult result)
{
    ServingEvent event(std::move(result));
    if (m_unsentResults.empty() && m_dispatchRing.tryPush(event)) {
        return;
    }
    m_unsentResults.push_back(std::move(event));
    if (!m_resending) {
        m_resending = true;
        asio::co_spawn(m_context, resendResults(), asio::detached);
    }
}

asio::awaitable<ServingReply> GatewayThread::reportAndWait(ServingResult result)
{
    const RequestId id = result.id;
    result.awaitsReply = true;
    report(std::move(result));
    co_return co_await waitForReply(id, std::chrono::steady_clock::now() + m_settings.requestDeadline);
}

asio::awaitable<void> GatewayThread::resendResults()
{
    // A lost result would leave a slot of a backend server occupied until the deadline, so results are never dropped.
    while (!m_unsentResults.empty()) {
        if (m_dispatchRing.tryPush(m_unsentResults.front())) {
            m_unsentResults.pop_front();
            continue;
        }
        asio::steady_timer pause(m_context, resendInterval);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_resending = false;
}

bool GatewayThread::forward(ServingEvent event)
{
    return m_dispatchRing.tryPush(event);
}

void GatewayThread::deliverReplies()
{
    std::vector<ServingReply> replies;
    m_replies.take(replies);
    for (ServingReply &reply : replies) {
        const auto found = m_waiters.find(reply.id);
        if (found == m_waiters.end()) {
            // The call ended at its deadline; give the server's slot back.
            if (const auto *grant = std::get_if<ServingGrant>(&reply.content)) {
                ServingResult result;
                result.id = reply.id;
                result.grant = grant->grant;
                result.outcome = AttemptOutcome::CallerLeft;
                report(std::move(result));
            }
            continue;
        }
        found->second->reply = std::move(reply);
        found->second->signal.cancel();
    }
}

RequestId GatewayThread::nextRequestId() noexcept
{
    // The thread index in the low bits keeps the sequences of the threads apart.
    return {m_processNumber, (m_nextSequence++ << 8U) | m_index};
}

std::uint32_t GatewayThread::index() const noexcept
{
    return m_index;
}

bool GatewayThread::isDraining() const noexcept
{
    return m_draining;
}

const settings::Settings &GatewayThread::settings() const noexcept
{
    return m_settings;
}

const GatewayPorts &GatewayThread::ports() const noexcept
{
    return m_ports;
}

UpstreamConnections &GatewayThread::upstream() noexcept
{
    return *m_upstream;
}

void GatewayThread::callStarted() noexcept
{
    ++m_runningCalls;
}

void GatewayThread::callEnded() noexcept
{
    --m_runningCalls;
}

} // namespace mimosahollow::gateway
