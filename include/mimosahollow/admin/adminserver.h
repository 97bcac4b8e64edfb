#pragma once

#include "mimosahollow/admin/operators.h"
#include "mimosahollow/control/command.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/core/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mimosahollow::admin {

enum class CommandEnd : std::uint8_t {
    NotSent, /**< The command has no effect. */
    Unknown, /**< It may take effect; the same command id tells. */
    Done,
};

struct CommandReport
{
    CommandEnd end{};
    control::CommandResult result;
    bool inForceEverywhere = false;
};

/** What the admin API asks of the rest of the process. Called on the admin thread; must not block. */
struct AdminPorts
{
    /** Commits @p command; @p done may be called on any thread. False when the process is too busy. */
    std::function<bool(control::Command command, Duration patience, std::function<void(CommandReport)> done)> submit;
    std::function<std::string()> statusJson;
    /** Calls @p done with the JSON of the audit log, on any thread. */
    std::function<bool(std::function<void(std::string)> done)> auditJson;
    std::function<std::shared_ptr<const control::Configuration>()> configuration;
    std::function<KeyHash(std::string_view key)> hashKey;
};

class AdminLoop;

/** HTTP listener for operators, on a thread of its own. */
class AdminServer
{
public:
    AdminServer(std::string address, std::vector<OperatorRecord> operators, AdminPorts ports);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** Throws std::runtime_error when the address cannot be used. */
    void start();
    void stop();

private:
    std::unique_ptr<AdminLoop> m_loop;
};

} // namespace mimosahollow::admin
