#include "mimosahollow/gateway/gateway.h"

#include "gatewaythread.h"
#include "mimosahollow/observability/metrics.h"

#include <sodium.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <thread>

namespace mimosahollow::gateway {

namespace {

constexpr milliseconds drainPollInterval{10};
// Closing an idle connection takes no time; connections of callers that do not read end with the process.
constexpr milliseconds closeTimeout{500};
// One quarter of the open files; running calls are far fewer than idle connections.
constexpr rlim_t descriptorShareKept = 4;

std::uint64_t randomProcessNumber()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value;
}

/** Raises the limit of open files as far as the system allows. Returns how many caller connections fit below it. */
std::uint32_t raiseDescriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    if (limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        static_cast<void>(::setrlimit(RLIMIT_NOFILE, &limit));
        static_cast<void>(::getrlimit(RLIMIT_NOFILE, &limit));
    }
    // The rest is for connections to backend servers, files and links.
    const rlim_t usable = limit.rlim_cur - limit.rlim_cur / descriptorShareKept;
    return static_cast<std::uint32_t>(std::min<rlim_t>(usable, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

Gateway::Gateway(const settings::Settings &settings, GatewayPorts ports, BoundedRing<ServingEvent> &dispatchRing)
    : m_settings(settings), m_ports(std::move(ports)), m_metrics(std::make_unique<observability::Metrics>(settings.gatewayThreads))
{
    const std::uint32_t connectionLimit = std::min(settings.maximumConnections, raiseDescriptorLimit());
    const GatewayShared shared{m_settings, m_ports, dispatchRing, *m_metrics, m_connections, m_bodyBytes, randomProcessNumber()};
    for (std::uint32_t i = 0; i < settings.gatewayThreads; ++i) {
        m_threads.push_back(std::make_unique<GatewayThread>(shared, i, connectionLimit));
    }
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    for (const auto &thread : m_threads) {
        thread->listen(m_settings.callerAddress, ListenerRole::Callers);
        if (!m_settings.backendAddress.empty()) {
            thread->listen(m_settings.backendAddress, ListenerRole::Backends);
        }
    }
    for (const auto &thread : m_threads) {
        thread->start();
    }
}

bool Gateway::reply(std::uint32_t gatewayThread, ServingReply &reply)
{
    return m_threads[gatewayThread]->replies().tryPush(reply);
}

bool Gateway::drain()
{
    for (const auto &thread : m_threads) {
        thread->stopAccepting();
    }
    const auto deadline = std::chrono::steady_clock::now() + m_settings.drainTimeout;
    const auto allIdle = [this] {
        return std::all_of(m_threads.begin(), m_threads.end(), [](const auto &thread) {
            return thread->isIdle();
        });
    };
    while (!allIdle() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    const bool finished = allIdle();
    const auto anyConnection = [this] {
        return std::any_of(m_threads.begin(), m_threads.end(), [](const auto &thread) {
            return thread->hasConnections();
        });
    };
    for (const auto &thread : m_threads) {
        thread->closeIdleConnections();
    }
    const auto closeDeadline = std::chrono::steady_clock::now() + closeTimeout;
    while (finished && anyConnection() && std::chrono::steady_clock::now() < closeDeadline) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    for (const auto &thread : m_threads) {
        thread->stop();
    }
    return finished;
}

} // namespace mimosahollow::gateway
