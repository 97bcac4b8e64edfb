#include "instance.h"

#include "commandline.h"
#include "fleetstatus.h"
#include "mimosahollow/control/configuration.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/settings/bundle.h"
#include "mimosahollow/settings/settingsproblem.h"
#include "modellist.h"

#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace mimosahollow::app {

namespace {

constexpr std::string_view fleetName = "mimosahollow";
// Calls with an idempotency key wait this long for the record; longer than an election.
constexpr Duration recordPatience = seconds(3);
// An answer is stored as long as a majority may be reached again; a longer cut turns the record into "unknown".
constexpr Duration completionPatience = seconds(120);
constexpr Duration leavePatience = seconds(2);
constexpr milliseconds leavePollInterval{20};

std::uint64_t randomNumber()
{
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value;
}

/** Grows with each start of a process on the same machine. */
std::uint64_t makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::shared_ptr<const control::Configuration> readFirstBundle(const settings::Settings &settings)
{
    if (settings.bundleFile.empty()) {
        return nullptr;
    }
    auto result = settings::parseBundle(readFile(settings.bundleFile));
    if (const auto *problems = std::get_if<std::vector<settings::SettingsProblem>>(&result)) {
        std::string message = "the bundle is not valid:";
        for (const settings::SettingsProblem &problem : *problems) {
            message += "\n" + settings::describe(problem, settings.bundleFile);
        }
        throw std::runtime_error(message);
    }
    return std::make_shared<control::Configuration>(std::get<control::Configuration>(std::move(result)));
}

std::vector<admin::OperatorRecord> readOperators(const settings::Settings &settings)
{
    auto result = admin::parseOperators(readFile(settings.operatorsFile));
    if (const auto *problem = std::get_if<std::string>(&result)) {
        throw std::runtime_error(settings.operatorsFile + ": " + *problem);
    }
    return std::get<std::vector<admin::OperatorRecord>>(std::move(result));
}

admin::CommandEnd toCommandEnd(coordination::CommandState state)
{
    switch (state) {
    case coordination::CommandState::NotSent:
        return admin::CommandEnd::NotSent;
    case coordination::CommandState::Unknown:
        return admin::CommandEnd::Unknown;
    case coordination::CommandState::Done:
        return admin::CommandEnd::Done;
    }
    return admin::CommandEnd::Unknown;
}

coordination::Options coordinationOptions(const settings::Settings &settings)
{
    coordination::Options options;
    options.name = settings.instanceName;
    options.failureDomain = settings.failureDomain;
    options.linkAddress = settings.linkAddress;
    options.incarnation = makeIncarnation();
    // A fleet of one decides alone.
    options.voters = settings.voters.empty() ? std::vector<std::string>{settings.instanceName} : settings.voters;
    options.times.freshness = settings.freshnessTime;
    options.seed = randomNumber();
    options.initialBundle = readFirstBundle(settings);
    return options;
}

link::LinkOptions linkOptions(const settings::Settings &settings, std::uint64_t incarnation)
{
    link::LinkOptions options;
    options.fleet = std::string(fleetName);
    options.self = {settings.instanceName, settings.failureDomain, settings.linkAddress, incarnation};
    options.seeds = settings.seeds;
    options.tls = {settings.certificateFile, settings.privateKeyFile, settings.authorityFile};
    options.seed = randomNumber();
    return options;
}

} // namespace

Instance::Instance(settings::Settings settings, bool founding) : m_settings(std::move(settings)), m_founding(founding)
{
}

Instance::~Instance()
{
    // The order matters: no thread may call into one that is gone.
    m_admin.reset();
    if (m_links) {
        m_links->stop();
    }
    m_gateway.reset();
    if (m_serving) {
        m_serving->stop();
    }
    if (m_control) {
        m_control->stop();
    }
}

void Instance::readKeySecret()
{
    if (m_settings.keySecretFile.empty()) {
        return;
    }
    const auto secret = settings::readKeySecret(m_settings.keySecretFile);
    if (!secret) {
        throw std::runtime_error("fleet.key_secret_file must hold 64 hexadecimal digits: " + m_settings.keySecretFile);
    }
    m_secret = *secret;
}

void Instance::start()
{
    readKeySecret();
    const coordination::Options options = coordinationOptions(m_settings);
    m_serving = std::make_unique<ServingThread>(randomNumber(), randomNumber(), m_settings.ringCapacity);
    m_control = std::make_unique<ControlThread>(options, m_settings.dataFolder, m_founding, m_settings.ringCapacity);
    m_gateway = std::make_unique<gateway::Gateway>(m_settings, gatewayPorts(), m_serving->events());
    m_orders = std::make_unique<gateway::OrderSender>(m_serving->events());
    if (!m_settings.linkAddress.empty()) {
        m_links = std::make_unique<link::LinkNetwork>(linkOptions(m_settings, options.incarnation), m_serving->linkEvents());
        const std::string error = m_links->start();
        if (!error.empty()) {
            throw std::runtime_error(error);
        }
    }
    m_orders->start();
    m_serving->start(servingPorts());
    const std::string error = m_control->start(controlPorts());
    if (!error.empty()) {
        throw std::runtime_error(error);
    }
    m_gateway->start();
    if (!m_settings.adminAddress.empty()) {
        m_admin = std::make_unique<admin::AdminServer>(m_settings.adminAddress, readOperators(m_settings), adminPorts());
        m_admin->start();
    }
}

bool Instance::drain()
{
    m_serving->beginDrain();
    const bool finished = m_gateway->drain();
    const TimePoint patience = std::chrono::steady_clock::now() + leavePatience;
    if (m_control->leave()) {
        // The fleet forgets this instance at once instead of after a lease; without a majority the leases do it.
        const auto registered = [this] {
            const ControlStatus status = m_control->status();
            return status.configuration
                   && std::any_of(status.configuration->instances.begin(), status.configuration->instances.end(), [this](const control::Instance &instance) {
                          return instance.name == m_settings.instanceName;
                      });
        };
        while (std::chrono::steady_clock::now() < patience && registered()) {
            std::this_thread::sleep_for(leavePollInterval);
        }
    }
    if (m_links) {
        m_links->stop();
    }
    m_serving->stop();
    m_control->stop();
    m_orders->stop();
    return finished;
}

ControlThread &Instance::control() noexcept
{
    return *m_control;
}

ServingThread &Instance::serving() noexcept
{
    return *m_serving;
}

const settings::Settings &Instance::settings() const noexcept
{
    return m_settings;
}

gateway::GatewayPorts Instance::gatewayPorts()
{
    gateway::GatewayPorts ports;
    ports.hashKey = [this](std::string_view key) {
        return settings::hashKey(m_secret, key);
    };
    ports.modelList = [this](const KeyHash &key) -> std::optional<std::string> {
        const auto configuration = m_control->status().configuration;
        return configuration ? modelList(*configuration, key) : std::nullopt;
    };
    ports.metricsText = [] {
        return std::string();
    };
    ports.isReady = [this] {
        return m_control->status().fresh;
    };
    return ports;
}

ServingPorts Instance::servingPorts()
{
    ServingPorts ports;
    ports.reply = [this](std::uint32_t thread, gateway::ServingReply &reply) {
        return m_gateway->reply(thread, reply);
    };
    ports.sendOrder = [this](gateway::BackendOrder &&order) {
        return m_orders->send(std::move(order));
    };
    ports.sendFrame = [this](const std::string &peer, Frame &&frame) {
        return m_links && m_links->send(peer, frame.kind, std::move(frame.payload));
    };
    ports.commit = [this](serving::CommitCommand &&command) {
        return commit(std::move(command));
    };
    ports.passToControl = [this](link::LinkEvent &event) {
        return m_control->deliver(event);
    };
    return ports;
}

ControlPorts Instance::controlPorts()
{
    ControlPorts ports;
    ports.sendFrame = [this](const std::string &peer, Frame &&frame) {
        return m_links && m_links->send(peer, frame.kind, std::move(frame.payload));
    };
    ports.connect = [this](const std::string &address) {
        if (m_links && !address.empty()) {
            m_links->connect(address);
        }
    };
    ports.tellServing = [this](ControlNews &news) {
        return m_serving->news().tryPush(news);
    };
    return ports;
}

admin::AdminPorts Instance::adminPorts()
{
    admin::AdminPorts ports;
    ports.submit = [this](control::Command command, Duration patience, std::function<void(admin::CommandReport)> done) {
        return m_control->submit(std::move(command), patience, [done = std::move(done)](const coordination::CommandDone &end) {
            done({toCommandEnd(end.state), end.result, end.inForceEverywhere});
        });
    };
    ports.statusJson = [this] {
        return fleetStatusJson(*this);
    };
    ports.auditJson = [this](std::function<void(std::string)> done) {
        return m_control->inspect([done = std::move(done)](const control::ControlState *state) {
            done(state != nullptr ? auditJson(state->audit) : std::string(R"({"error":"this instance is no voter; ask one that is"})") + "\n");
        });
    };
    ports.configuration = [this] {
        return m_control->status().configuration;
    };
    ports.hashKey = [this](std::string_view key) {
        return settings::hashKey(m_secret, key);
    };
    return ports;
}

bool Instance::commit(serving::CommitCommand &&command)
{
    const RequestId call = command.call;
    const bool isBegin = std::holds_alternative<control::BeginCall>(command.body);
    control::Command content;
    content.id = command.id;
    content.sender = m_settings.instanceName;
    content.body = std::move(command.body);
    return m_control->submit(std::move(content), isBegin ? recordPatience : completionPatience, [this, call, isBegin](const coordination::CommandDone &done) {
        if (!isBegin) {
            return; // the call has its answer already
        }
        const bool committed = done.state == coordination::CommandState::Done;
        const bool sent = done.state != coordination::CommandState::NotSent;
        ControlNews news(serving::CommitResult{call, committed, sent, done.result});
        if (!m_serving->news().tryPush(news)) {
            observability::logWarning("the serving thread is behind; a call with an idempotency key ends at its deadline");
        }
    });
}

} // namespace mimosahollow::app
