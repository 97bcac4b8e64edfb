#pragma once

#include "mimosahollow/core/keyhash.h"
#include "mimosahollow/gateway/servingevent.h"
#include "mimosahollow/gateway/servingreply.h"
#include "mimosahollow/rings/boundedring.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosahollow::settings {
struct Settings;
}

namespace mimosahollow::observability {
class Metrics;
}

namespace mimosahollow::gateway {

class GatewayThread;

/** What the gateway asks of the rest of the process. The functions are called on gateway threads and must not block. */
struct GatewayPorts
{
    std::function<KeyHash(std::string_view key)> hashKey;
    /** JSON body of GET /v1/models with what the key may use; empty when the key is not known. */
    std::function<std::optional<std::string>(const KeyHash &key)> modelList;
    std::function<std::string()> metricsText; /**< Prometheus text of the other parts, after the gateway's own. */
    std::function<bool()> isReady;
};

/** HTTP towards callers and backend servers. Owns its threads; every connection stays on one of them. */
class Gateway
{
public:
    Gateway(const settings::Settings &settings, GatewayPorts ports, BoundedRing<ServingEvent> &dispatchRing);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Opens the listeners and starts the threads. Throws std::runtime_error when an address cannot be used. */
    void start();
    /** Delivers @p reply to the gateway thread that waits for it. Returns false, and leaves it untouched, when its ring is full: try again. */
    [[nodiscard]] bool reply(std::uint32_t gatewayThread, ServingReply &reply);
    /** Stops accepting, waits for running calls up to the drain timeout, then stops the threads. Returns whether all finished. */
    bool drain();

private:
    const settings::Settings &m_settings;
    GatewayPorts m_ports;
    std::unique_ptr<observability::Metrics> m_metrics;
    std::atomic<std::uint32_t> m_connections = 0; // of all threads
    std::atomic<std::uint64_t> m_bodyBytes = 0;
    std::vector<std::unique_ptr<GatewayThread>> m_threads;
};

} // namespace mimosahollow::gateway
