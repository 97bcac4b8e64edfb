#include "serve.h"

#include "dispatcher.h"
#include "exitcodes.h"
#include "mimosahollow/gateway/gateway.h"
#include "mimosahollow/gateway/ordersender.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/settings/bundle.h"
#include "mimosahollow/settings/keysecret.h"
#include "mimosahollow/settings/load.h"
#include "mimosahollow/settings/settings.h"
#include "mimosahollow/settings/settingsproblem.h"
#include "mimosahollow/standin/engine.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <sodium.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace mimosahollow::app {

namespace {

using settings::Settings;

void print(const std::vector<settings::SettingsProblem> &problems, const std::string &file)
{
    for (const settings::SettingsProblem &problem : problems) {
        std::cerr << settings::describe(problem, file) << '\n';
    }
}

std::string readText(const std::string &file)
{
    const std::ifstream input(file, std::ios::binary);
    if (!input) {
        throw std::runtime_error("cannot open " + file);
    }
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

std::shared_ptr<const control::Configuration> readBootstrapBundle(const Settings &settings)
{
    if (settings.bundleFile.empty()) {
        return std::make_shared<control::Configuration>();
    }
    auto result = settings::parseBundle(readText(settings.bundleFile));
    if (const auto *problems = std::get_if<std::vector<settings::SettingsProblem>>(&result)) {
        print(*problems, settings.bundleFile);
        throw std::runtime_error("the bundle is not valid: " + settings.bundleFile);
    }
    return std::make_shared<control::Configuration>(std::get<control::Configuration>(std::move(result)));
}

std::optional<std::string> modelListBody(const control::Configuration &configuration, const KeyHash &hash)
{
    const auto key = std::find_if(configuration.keys.begin(), configuration.keys.end(), [&](const control::ApiKey &candidate) {
        return candidate.hash == hash;
    });
    if (key == configuration.keys.end()) {
        return std::nullopt;
    }
    boost::json::array models;
    for (const std::string &model : configuration.baseModels) {
        models.push_back(boost::json::object{{"id", model}, {"object", "model"}});
    }
    for (const control::Adapter &adapter : configuration.adapters) {
        const auto &organisations = adapter.organisations;
        if (std::find(organisations.begin(), organisations.end(), key->organisation) != organisations.end()) {
            models.push_back(boost::json::object{{"id", adapter.baseModel + ":" + adapter.name + "@" + adapter.version}, {"object", "model"}});
        }
    }
    return boost::json::serialize(boost::json::object{{"object", "list"}, {"data", std::move(models)}});
}

void waitForSignal()
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code &, int) {});
    context.run();
}

standin::EngineOptions embeddedEngine(const Settings &settings, const control::Configuration &configuration)
{
    standin::EngineOptions options;
    options.address = settings.standinAddress;
    options.failureDomain = settings.failureDomain;
    options.kind = configuration.baseModels.empty() ? "base" : configuration.baseModels.front();
    options.announceTo = {settings.backendAddress};
    return options;
}

int run(const Settings &settings)
{
    const auto configuration = readBootstrapBundle(settings);
    settings::KeySecret secret{};
    if (!settings.keySecretFile.empty()) {
        const auto read = settings::readKeySecret(settings.keySecretFile);
        if (!read) {
            throw std::runtime_error("fleet.key_secret_file must hold 64 hexadecimal digits: " + settings.keySecretFile);
        }
        secret = *read;
    }
    BoundedRing<gateway::ServingEvent> dispatchRing(settings.ringCapacity);
    gateway::GatewayPorts gatewayPorts;
    gatewayPorts.hashKey = [&secret](std::string_view key) {
        return settings::hashKey(secret, key);
    };
    gatewayPorts.modelList = [configuration](const KeyHash &key) {
        return modelListBody(*configuration, key);
    };
    gatewayPorts.metricsText = [] {
        return std::string("# TYPE mimosahollow_up gauge\nmimosahollow_up 1\n");
    };
    gatewayPorts.isReady = [] {
        return true;
    };
    gateway::Gateway gateway(settings, std::move(gatewayPorts), dispatchRing);
    gateway::OrderSender orders(dispatchRing);
    DispatchPorts dispatchPorts;
    dispatchPorts.reply = [&gateway](std::uint32_t thread, gateway::ServingReply &reply) {
        if (!gateway.reply(thread, reply)) {
            observability::logError("reply ring is full although pending calls are bounded");
        }
    };
    dispatchPorts.sendOrder = [&orders](gateway::BackendOrder &&order) {
        return orders.send(std::move(order));
    };
    dispatchPorts.logDecision = observability::logDecision;
    Dispatcher dispatcher(configuration, std::move(dispatchPorts), dispatchRing);

    gateway.start();
    orders.start();
    dispatcher.start();
    std::unique_ptr<standin::Engine> engine;
    if (settings.standinEnabled) {
        engine = std::make_unique<standin::Engine>(embeddedEngine(settings, *configuration));
        engine->start();
    }
    observability::logInfo("serving callers on " + settings.callerAddress);
    waitForSignal();
    observability::logInfo("draining");
    const bool finished = gateway.drain();
    dispatcher.stop();
    orders.stop();
    observability::logInfo(finished ? "stopped" : "stopped with calls unfinished at the drain timeout");
    return finished ? Success : DrainTimedOut;
}

} // namespace

int serve(const std::string &settingsFile)
{
    const auto result = settings::loadFile(settingsFile);
    if (const auto *problems = std::get_if<std::vector<settings::SettingsProblem>>(&result)) {
        print(*problems, settingsFile);
        return InvalidSettings;
    }
    const Settings &settings = std::get<Settings>(result);
    if (sodium_init() < 0) {
        std::cerr << "cannot initialise libsodium\n";
        return StartFailed;
    }
    const std::string logError = observability::setUpLog(settings.logLevel, settings.logFile);
    if (!logError.empty()) {
        std::cerr << logError << '\n';
        return StartFailed;
    }
    int code = StartFailed;
    try {
        code = run(settings);
    } catch (const std::runtime_error &error) {
        observability::logError(error.what());
        std::cerr << error.what() << '\n';
    }
    observability::shutDownLog();
    return code;
}

} // namespace mimosahollow::app
