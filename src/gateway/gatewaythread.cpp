#include "gatewaythread.h"

#include "addresses.h"
#include "callerwatch.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/observability/metrics.h"
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
// Far more than the prompts of all calls that a fleet of engines can run; without it, slow senders on all connections could hold
// their number times the limit of one body.
constexpr std::uint64_t maximumBodyMemory = 256ULL << 20U;
// Enough lines to see what is wrong; a flood of bad input must not displace other log lines.
constexpr seconds rejectionWindow{1};
constexpr std::uint32_t maximumRejectionLines = 10;

ServingReply refusal(RequestId id, RefusalReason reason)
{
    return {id, ServingRefusal{reason, CallOutcome::NotRun, {}}};
}

} // namespace

GatewayThread::GatewayThread(const GatewayShared &shared, std::uint32_t index, std::uint32_t connectionLimit)
    : m_shared(shared)
    , m_index(index)
    , m_connectionLimit(connectionLimit)
    // Replies to waiting calls fill at most one half; the other half takes replies to calls that ended meanwhile.
    , m_replies(std::size_t{2} * shared.settings.ringCapacity)
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
    m_listeners.push_back({std::move(acceptor), role});
    asio::co_spawn(m_context, accept(m_listeners.back().acceptor, role), asio::detached);
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
        closeListeners();
    });
}

void GatewayThread::closeListeners()
{
    for (Listener &listener : m_listeners) {
        boost::system::error_code error;
        // Connections that the kernel has accepted already get an answer instead of a reset.
        listener.acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(m_context);
            listener.acceptor.accept(socket, error);
            if (!error) {
                takeConnection(std::move(socket), listener.role);
            }
        }
        listener.acceptor.close(error);
    }
}

bool GatewayThread::isIdle() const noexcept
{
    return m_runningRequests == 0;
}

void GatewayThread::closeIdleConnections()
{
    asio::post(m_context, [this] {
        m_closing = true;
        for (boost::beast::tcp_stream *stream : m_idleConnections) {
            stream->cancel();
        }
    });
}

bool GatewayThread::hasConnections() const noexcept
{
    return m_connections != 0;
}

void GatewayThread::connectionIdle(boost::beast::tcp_stream &stream)
{
    if (m_closing) {
        boost::system::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
    m_idleConnections.insert(&stream);
}

void GatewayThread::connectionBusy(boost::beast::tcp_stream &stream)
{
    m_idleConnections.erase(&stream);
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
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            // Out of file descriptors: wait for connections to close instead of spinning.
            asio::steady_timer pause(m_context, milliseconds(20));
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        takeConnection(std::move(socket), role);
    }
}

void GatewayThread::takeConnection(tcp::socket socket, ListenerRole role)
{
    if (m_shared.connections.fetch_add(1, std::memory_order_relaxed) >= m_connectionLimit) {
        m_shared.connections.fetch_sub(1, std::memory_order_relaxed);
        logRejected("too many connections");
        return; // closes the socket
    }
    metrics().setConnections(++m_connections);
    asio::co_spawn(m_context, serveConnection(*this, std::move(socket), role), [this](const std::exception_ptr &failure) {
        m_shared.connections.fetch_sub(1, std::memory_order_relaxed);
        metrics().setConnections(--m_connections);
        if (failure) {
            logRejected("a connection ended with an exception");
        }
    });
}

asio::awaitable<std::optional<ServingReply>> GatewayThread::submit(ServingRequest request, CallerWatch &watch)
{
    const RequestId id = request.id;
    const TimePoint deadline = request.deadline;
    if (m_waiters.size() >= m_shared.settings.ringCapacity) {
        co_return refusal(id, RefusalReason::Overloaded);
    }
    request.gatewayThread = m_index;
    ServingEvent event(std::move(request));
    if (!m_shared.dispatchRing.tryPush(event)) {
        metrics().ringFull();
        co_return refusal(id, RefusalReason::Overloaded);
    }
    co_return co_await waitForReply(id, deadline, watch);
}

asio::awaitable<std::optional<ServingReply>> GatewayThread::waitForReply(RequestId id, TimePoint deadline, CallerWatch &watch)
{
    auto waiter = std::make_shared<Waiter>(m_context);
    m_waiters.emplace(id, waiter);
    metrics().setWaitingCalls(m_waiters.size());
    waiter->signal.expires_at(deadline + replyGrace);
    watch.setInterrupt([waiter] {
        waiter->signal.cancel();
    });
    if (!watch.callerLeft()) {
        co_await waiter->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    watch.clearInterrupt();
    m_waiters.erase(id);
    metrics().setWaitingCalls(m_waiters.size());
    if (watch.callerLeft()) {
        const auto *grant = waiter->reply ? std::get_if<ServingGrant>(&waiter->reply->content) : nullptr;
        if (grant != nullptr || !waiter->reply) {
            giveBack(id, grant == nullptr ? 0 : grant->grant, AttemptOutcome::CallerLeft);
        }
        co_return std::nullopt;
    }
    if (waiter->reply) {
        co_return std::move(waiter->reply);
    }
    giveBack(id, 0, AttemptOutcome::DeadlineExceeded);
    co_return refusal(id, RefusalReason::DeadlineExceeded);
}

/** Tells dispatch that a call ended without an attempt, so that it gives the slot or the place in the queue to another one. */
void GatewayThread::giveBack(RequestId id, std::uint64_t grant, AttemptOutcome outcome)
{
    ServingResult result;
    result.id = id;
    result.grant = grant;
    result.outcome = outcome;
    report(std::move(result));
}

void GatewayThread::report(ServingResult result)
{
    ServingEvent event(std::move(result));
    if (m_unsentResults.empty() && m_shared.dispatchRing.tryPush(event)) {
        return;
    }
    metrics().ringFull();
    m_unsentResults.push_back(std::move(event));
    if (!m_resending) {
        m_resending = true;
        asio::co_spawn(m_context, resendResults(), asio::detached);
    }
}

asio::awaitable<std::optional<ServingReply>> GatewayThread::reportAndWait(ServingResult result, TimePoint deadline, CallerWatch &watch)
{
    const RequestId id = result.id;
    result.awaitsReply = true;
    report(std::move(result));
    co_return co_await waitForReply(id, deadline, watch);
}

asio::awaitable<void> GatewayThread::resendResults()
{
    // A lost result would leave a slot of a backend server occupied until the deadline, so results are never dropped.
    while (!m_unsentResults.empty()) {
        if (m_shared.dispatchRing.tryPush(m_unsentResults.front())) {
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
    return m_shared.dispatchRing.tryPush(event);
}

void GatewayThread::deliverReplies()
{
    std::vector<ServingReply> replies;
    m_replies.take(replies);
    metrics().repliesTaken(replies.size());
    for (ServingReply &reply : replies) {
        const auto found = m_waiters.find(reply.id);
        if (found == m_waiters.end()) {
            // The call ended while the grant was under way.
            if (const auto *grant = std::get_if<ServingGrant>(&reply.content)) {
                giveBack(reply.id, grant->grant, AttemptOutcome::CallerLeft);
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
    return {m_shared.processNumber, (m_nextSequence++ << 8U) | m_index};
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
    return m_shared.settings;
}

const GatewayPorts &GatewayThread::ports() const noexcept
{
    return m_shared.ports;
}

UpstreamConnections &GatewayThread::upstream() noexcept
{
    return *m_upstream;
}

observability::ThreadMetrics &GatewayThread::metrics() noexcept
{
    return m_shared.metrics.thread(m_index);
}

std::string GatewayThread::metricsText() const
{
    return m_shared.metrics.text() + m_shared.ports.metricsText();
}

bool GatewayThread::reserveBody(std::uint64_t bytes) noexcept
{
    if (m_shared.bodyBytes.fetch_add(bytes, std::memory_order_relaxed) + bytes <= maximumBodyMemory) {
        return true;
    }
    releaseBody(bytes);
    return false;
}

void GatewayThread::releaseBody(std::uint64_t bytes) noexcept
{
    m_shared.bodyBytes.fetch_sub(bytes, std::memory_order_relaxed);
}

void GatewayThread::logRejected(std::string_view message)
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (now - m_rejectionWindow >= rejectionWindow) {
        if (m_rejections > maximumRejectionLines) {
            observability::logWarning("rejected input: " + std::to_string(m_rejections - maximumRejectionLines) + " more lines were left out");
        }
        m_rejectionWindow = now;
        m_rejections = 0;
    }
    if (++m_rejections <= maximumRejectionLines) {
        observability::logWarning("rejected input: " + std::string(message));
    }
}

void GatewayThread::requestStarted() noexcept
{
    ++m_runningRequests;
}

void GatewayThread::requestEnded() noexcept
{
    --m_runningRequests;
}

} // namespace mimosahollow::gateway
