#include "serve.h"

#include "exitcodes.h"
#include "instance.h"
#include "mimosahollow/observability/log.h"
#include "mimosahollow/settings/load.h"
#include "mimosahollow/settings/settings.h"
#include "mimosahollow/settings/settingsproblem.h"
#include "mimosahollow/standin/engine.h"
#include "waitforsignal.h"

#include <iostream>
#include <stdexcept>

namespace mimosahollow::app {

namespace {

using settings::Settings;

standin::EngineOptions embeddedEngine(const Settings &settings)
{
    standin::EngineOptions options;
    options.address = settings.standinAddress;
    options.failureDomain = settings.failureDomain;
    options.announceTo = {settings.backendAddress};
    return options;
}

int run(const Settings &settings, bool founding)
{
    Instance instance(settings, founding);
    instance.start();
    std::unique_ptr<standin::Engine> engine;
    if (settings.standinEnabled) {
        engine = std::make_unique<standin::Engine>(embeddedEngine(settings));
        engine->start();
    }
    observability::logInfo("serving callers on " + settings.callerAddress);
    waitForSignal();
    observability::logInfo("draining");
    const bool finished = instance.drain();
    observability::logInfo(finished ? "stopped" : "stopped with calls unfinished at the drain timeout");
    return finished ? Success : DrainTimedOut;
}

} // namespace

int serve(const std::string &settingsFile, bool founding)
{
    const auto result = settings::loadFile(settingsFile);
    if (const auto *problems = std::get_if<std::vector<settings::SettingsProblem>>(&result)) {
        for (const settings::SettingsProblem &problem : *problems) {
            std::cerr << settings::describe(problem, settingsFile) << '\n';
        }
        return InvalidSettings;
    }
    const Settings &settings = std::get<Settings>(result);
    const std::string logError = observability::setUpLog(settings.logLevel, settings.logFile);
    if (!logError.empty()) {
        std::cerr << logError << '\n';
        return StartFailed;
    }
    int code = StartFailed;
    try {
        code = run(settings, founding);
    } catch (const std::runtime_error &error) {
        observability::logError(error.what());
        std::cerr << error.what() << '\n';
    }
    observability::shutDownLog();
    return code;
}

} // namespace mimosahollow::app
