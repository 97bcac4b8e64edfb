#include "mimosahollow/gateway/gateway.h"

#include "gatewaythread.h"

#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace mimosahollow::gateway {

namespace {

constexpr milliseconds drainPollInterval{10};

std::uint64_t randomProcessNumber()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value;
}

} // namespace

Gateway::Gateway(const settings::Settings &settings, GatewayPorts ports, BoundedRing<ServingEvent> &dispatchRing)
    : m_settings(settings), m_ports(std::move(ports))
{
    const std::uint64_t processNumber = randomProcessNumber();
    for (std::uint32_t i = 0; i < settings.gatewayThreads; ++i) {
        m_threads.push_back(std::make_unique<GatewayThread>(m_settings, m_ports, dispatchRing, i, processNumber));
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
    for (const auto &thread : m_threads) {
        thread->stop();
    }
    return finished;
}

} // namespace mimosahollow::gateway
