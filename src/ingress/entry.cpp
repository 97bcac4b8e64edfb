#include "ingress/entryinternal.h"

#include "fleetlink/bootclock.h"
#include "httpio/httplistener.h"
#include "ingress/callersession.h"
#include "mimosahollow/observability/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosahollow::ingress {

namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;

constexpr milliseconds acceptPause{20};

} // namespace

Entry::Entry(asio::io_context &context, EntrySettings settings, catalog::CatalogDecoder decodeCatalog)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_decodeCatalog(std::move(decodeCatalog))
    , m_acceptor(context)
    , m_reportTimer(context)
    , m_waitingCallsTimer(context)
    , m_stopTimer(context)
    , m_lameDuckTimer(context)
    , m_upstream(context, {m_settings.connectTimeout, m_settings.lossTimeout})
    , m_metrics(1)
{
    m_dispatch.options = m_settings.dispatch;
    m_hedging.options = m_settings.hedging;
    m_holdings.budget = m_settings.callers;
    m_quotaCache.options = m_settings.quotaCache;
    m_usage.windowLength = std::chrono::duration_cast<milliseconds>(m_settings.usageWindow).count();
    m_dispatch.random.seed(static_cast<std::minstd_rand::result_type>(std::hash<std::string>{}(m_settings.name)));
}

Entry::~Entry() = default;

std::string Entry::start()
{
    if (auto problem = httpio::listen(m_acceptor, m_settings.address); !problem.empty()) {
        return problem;
    }
    fleetlink::LinkHubOptions options;
    options.self = {m_settings.name, {}, m_settings.domain, {}};
    m_hub = std::make_unique<fleetlink::LinkHub>(m_context,
                                                 options,
                                                 fleetlink::LinkHubEvents{[this](const fleetlink::Peer &peer) {
                                                                              linkOpened(peer);
                                                                          },
                                                                          [](const fleetlink::Peer &) {},
                                                                          [this](const fleetlink::Peer &peer, fleetlink::LinkMessage message) {
                                                                              linkMessage(peer, std::move(message));
                                                                          },
                                                                          [](const fleetlink::Peer &, std::span<const std::uint8_t>) {}});
    if (auto problem = m_hub->start(); !problem.empty()) {
        return problem;
    }
    setSeeds(m_settings.seeds);
    asio::co_spawn(m_context, acceptCallers(), asio::detached);
    scheduleReport(Clock::now());
    return {};
}

void Entry::setSeeds(const std::vector<std::string> &seeds)
{
    for (const std::string &seed : seeds) {
        m_hub->dial(seed);
    }
}

asio::awaitable<void> Entry::acceptCallers()
{
    for (;;) {
        asio::ip::tcp::socket socket(m_context);
        const auto [error] = co_await m_acceptor.async_accept(socket, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            observability::logWarning("accepting a client connection failed: " + error.message());
            // Without a pause, a process without free descriptors would do nothing else.
            asio::steady_timer pause(m_context, acceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        asio::co_spawn(m_context, serveCaller(*this, std::move(socket)), asio::detached);
    }
}

void Entry::stop(std::function<void()> stopped)
{
    m_stopping = true;
    m_stopSince = Clock::now();
    m_stopped = std::move(stopped);
    m_stopTimer.expires_after(m_settings.drainTimeout);
    m_stopTimer.async_wait([this](boost::system::error_code error) {
        if (!error && m_stopped) {
            observability::logWarning("drain timeout expired with " + std::to_string(m_sessions) + " connections open");
            std::exchange(m_stopped, nullptr)();
        }
    });
    m_lameDuckTimer.expires_after(m_settings.lameDuck);
    m_lameDuckTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            closeIdleCallers();
        }
    });
}

/**
 * Closes the connections on which no request is on its way. A caller sends its request right after it has opened a connection or has got an
 * answer, so that bytes may be in transit; such a connection stays open a little longer, and its request is answered.
 */
void Entry::closeIdleCallers()
{
    const TimePoint now = Clock::now();
    for (const IdleCaller &caller : m_idle) {
        boost::system::error_code error;
        const bool hasBytes = caller.buffer->size() > 0 || caller.stream->socket().available(error) > 0;
        if (!hasBytes && now - caller.since >= m_settings.requestTransit) {
            caller.stream->close();
        }
    }
    checkStopped();
    if (m_stopped) {
        m_lameDuckTimer.expires_after(m_settings.requestTransit / 4);
        m_lameDuckTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                closeIdleCallers();
            }
        });
    }
}

Entry::IdleCallers::iterator Entry::addIdleCaller(boost::beast::tcp_stream &stream, const boost::beast::flat_buffer &buffer)
{
    return m_idle.insert(m_idle.end(), {&stream, &buffer, Clock::now()});
}

void Entry::removeIdleCaller(IdleCallers::iterator position)
{
    m_idle.erase(position);
}

bool Entry::isReady() const
{
    return !m_stopping && m_dispatch.catalog != nullptr && isStateCurrent();
}

std::string Entry::metricsText() const
{
    return m_metrics.text();
}

const EntrySettings &Entry::settings() const noexcept
{
    return m_settings;
}

asio::io_context &Entry::context() noexcept
{
    return m_context;
}

dispatch::DispatchState &Entry::dispatchState() noexcept
{
    return m_dispatch;
}

gateway::UpstreamConnections &Entry::upstream() noexcept
{
    return m_upstream;
}

observability::ThreadMetrics &Entry::metrics() noexcept
{
    return m_metrics.thread(0);
}

const std::shared_ptr<const catalog::CatalogIndex> &Entry::catalog() const noexcept
{
    return m_dispatch.catalog;
}

Duration Entry::stateAge() const
{
    return m_confirmedAt == 0 ? Duration::max() : Duration(milliseconds(fleetlink::bootMilliseconds() - m_confirmedAt));
}

bool Entry::isStateCurrent() const
{
    return stateAge() < m_settings.freshness;
}

bool Entry::isStopping() const noexcept
{
    return m_stopping;
}

bool Entry::isLameDuckOver() const
{
    return m_stopping && Clock::now() - m_stopSince >= m_settings.lameDuck;
}

void Entry::checkStopped()
{
    if (m_stopping && m_sessions == 0 && isLameDuckOver() && m_stopped) {
        m_stopTimer.cancel();
        if (m_usage.windowLength > 0) {
            sendReport(Clock::now()); // with the calls since the last one; it is written before the process ends if the socket takes it
        }
        std::exchange(m_stopped, nullptr)();
    }
}

} // namespace mimosahollow::ingress
