#pragma once

#include "controlthread.h"
#include "mimosahollow/admin/adminserver.h"
#include "mimosahollow/gateway/gateway.h"
#include "mimosahollow/gateway/ordersender.h"
#include "mimosahollow/link/linknetwork.h"
#include "mimosahollow/settings/keysecret.h"
#include "mimosahollow/settings/settings.h"
#include "servingthread.h"

#include <memory>

namespace mimosahollow::app {

/** One instance of the system: its threads and the rings between them. */
class Instance
{
public:
    /** @p founding: this instance starts a new fleet, see ControlThread. */
    Instance(settings::Settings settings, bool founding);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** Starts all threads. Throws std::runtime_error with the reason when it cannot start. */
    void start();

    /** Finishes running calls, gives up pools and tokens, and stops. Returns whether all calls finished in time. */
    [[nodiscard]] bool drain();

    [[nodiscard]] ControlThread &control() noexcept;
    [[nodiscard]] ServingThread &serving() noexcept;
    [[nodiscard]] const settings::Settings &settings() const noexcept;

private:
    void readKeySecret();
    [[nodiscard]] gateway::GatewayPorts gatewayPorts();
    [[nodiscard]] ServingPorts servingPorts();
    [[nodiscard]] ControlPorts controlPorts();
    [[nodiscard]] admin::AdminPorts adminPorts();
    [[nodiscard]] bool commit(serving::CommitCommand &&command);

    settings::Settings m_settings;
    bool m_founding;
    settings::KeySecret m_secret{};
    std::unique_ptr<ServingThread> m_serving;
    std::unique_ptr<ControlThread> m_control;
    std::unique_ptr<link::LinkNetwork> m_links;
    std::unique_ptr<gateway::OrderSender> m_orders;
    std::unique_ptr<gateway::Gateway> m_gateway;
    std::unique_ptr<admin::AdminServer> m_admin;
};

} // namespace mimosahollow::app
