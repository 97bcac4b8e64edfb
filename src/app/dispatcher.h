#pragma once

#include "mimosahollow/control/configuration.h"
#include "mimosahollow/gateway/backendorder.h"
#include "mimosahollow/gateway/servingevent.h"
#include "mimosahollow/gateway/servingreply.h"
#include "mimosahollow/rings/boundedring.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <unordered_map>

namespace mimosahollow::app {

/** Functions through which decisions leave the dispatch thread. */
struct DispatchPorts
{
    std::function<void(std::uint32_t gatewayThread, gateway::ServingReply &reply)> reply;
    std::function<bool(gateway::BackendOrder &&order)> sendOrder;
    std::function<void(std::string_view line)> logDecision;
};

/** The dispatch thread: the only one that touches the state of the serving path. */
class Dispatcher
{
public:
    Dispatcher(std::shared_ptr<const control::Configuration> configuration, DispatchPorts ports, BoundedRing<gateway::ServingEvent> &ring);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    void start();
    void stop();

private:
    struct Server
    {
        std::string name;
        std::string address;
        std::uint64_t incarnation = 0;
        std::uint32_t slots = 0;
        std::uint32_t running = 0;
        std::uint32_t adapterSlots = 0;
        std::map<std::string, bool> adapters; /**< Resident (true) or being loaded. */
    };

    struct RunningCall
    {
        gateway::ServingRequest request;
        std::string server;
    };

    struct Resolved
    {
        const control::Organisation *organisation = nullptr;
        const control::Adapter *adapter = nullptr;
        std::string kind;
        bool repeatable = false;
    };

    void run();
    void handle(gateway::ServingRequest &&request);
    void handle(gateway::ServingResult &&result);
    void handle(gateway::BackendAnnouncement &&announcement);
    void handle(gateway::BackendReport &&report);
    void handle(gateway::BackendOrderResult &&result);
    [[nodiscard]] std::variant<Resolved, RefusalReason> resolve(const gateway::ServingRequest &request) const;
    void place(gateway::ServingRequest &&request, const Resolved &resolved);
    bool planLoad(const Resolved &resolved, const std::string &adapter);
    void grant(gateway::ServingRequest &&request, const Resolved &resolved, Server &server, std::size_t candidates);
    void refuse(const gateway::ServingRequest &request, RefusalReason reason);
    void retryWaiting();

    std::shared_ptr<const control::Configuration> m_configuration;
    DispatchPorts m_ports;
    BoundedRing<gateway::ServingEvent> &m_ring;
    std::map<std::string, std::map<std::string, Server>> m_serversByKind;
    std::unordered_map<RequestId, RunningCall> m_running;
    std::vector<gateway::ServingRequest> m_waiting;
    std::unordered_map<std::uint64_t, std::pair<std::string, std::pair<std::string, std::string>>> m_loads; // order to kind, server, adapter
    std::uint64_t m_nextNumber = 1;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace mimosahollow::app
