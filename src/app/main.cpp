#include "commandline.h"
#include "exitcodes.h"
#include "explain.h"
#include "loopprocess.h"
#include "mimosahollow/core/time.h"
#include "mimosahollow/hedging/secondcopy.h"
#include "mimosahollow/settings/keysecret.h"
#include "mimosahollow/settings/load.h"
#include "mimosahollow/settings/settings.h"
#include "mimosahollow/settings/settingsproblem.h"
#include "mimosahollow/standin/engine.h"
#include "operatorcommands.h"
#include "platform/bootsettings.h"
#include "platform/roles.h"
#include "serve.h"
#include "waitforsignal.h"

#include <boost/program_options.hpp>
#include <sodium.h>

#include <array>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

namespace options = boost::program_options;
using namespace mimosahollow;
using Arguments = std::vector<std::string>;

int runServe(const Arguments &arguments)
{
    options::options_description description("mimosahollow serve: runs an instance until SIGTERM");
    description.add_options()("help,h", "shows this text")("settings,s", options::value<std::string>()->required(), "settings file (TOML)")(
        "found", options::bool_switch(), "starts a new fleet: lets a voter with an empty data folder vote");
    options::variables_map values;
    if (!app::parseCommandLine(description, {}, arguments, values)) {
        return app::Success;
    }
    return app::serve(values["settings"].as<std::string>(), values["found"].as<bool>());
}

int runCheck(const Arguments &arguments)
{
    options::options_description description("mimosahollow check FILE: checks a settings file");
    description.add_options()("help,h", "shows this text")("file", options::value<std::string>()->required(), "settings file")("reference",
                                                                                                                               "prints all keys as a table");
    options::positional_options_description positional;
    positional.add("file", 1);
    if (arguments.size() == 1 && arguments.front() == "--reference") {
        std::cout << settings::referenceTable();
        return app::Success;
    }
    options::variables_map values;
    if (!app::parseCommandLine(description, positional, arguments, values)) {
        return app::Success;
    }
    const auto file = values["file"].as<std::string>();
    const auto result = settings::loadFile(file);
    if (const auto *problems = std::get_if<std::vector<settings::SettingsProblem>>(&result)) {
        for (const settings::SettingsProblem &problem : *problems) {
            std::cerr << settings::describe(problem, file) << '\n';
        }
        return app::InvalidSettings;
    }
    std::cout << file << ": valid\n";
    return app::Success;
}

int runEngine(const Arguments &arguments)
{
    standin::EngineOptions engineOptions;
    std::int64_t tokenMicroseconds = 20'000;
    std::int64_t loadMilliseconds = 250;
    std::int64_t delayMilliseconds = 0;
    std::int64_t loadDelayMilliseconds = 0;
    bool ignoreFencing = false;
    standin::EngineFaults &faults = engineOptions.faults;
    options::options_description description("mimosahollow engine: runs a stand-in backend server for trials and tests");
    description.add_options()("help,h", "shows this text")("name", options::value(&engineOptions.name), "name of the backend server")(
        "listen", options::value(&engineOptions.address), "address, IP:port")("domain", options::value(&engineOptions.failureDomain), "failure domain")(
        "kind", options::value(&engineOptions.kind), "base model or plain service")(
        "plain", options::bool_switch(&engineOptions.plainService), "answers as a plain service")(
        "announce", options::value(&engineOptions.announceTo)->multitoken(), "backend listeners of instances")(
        "slots", options::value(&engineOptions.slots), "calls at one time")(
        "adapter-slots", options::value(&engineOptions.adapterSlots), "adapters at one time")(
        "cold-limit", options::value(&engineOptions.coldLimit), "calls at one time when freshly started")(
        "token-us", options::value(&tokenMicroseconds), "microseconds for each token")(
        "load-ms", options::value(&loadMilliseconds), "milliseconds for each adapter load")(
        "bears-when-cold", options::value(&engineOptions.bearsWhenCold), "resets connections above so many calls while cold; 0: never")(
        "warm-after", options::value(&engineOptions.warmAfterCalls), "completed calls after which it is warm")(
        "ignore-fencing", options::bool_switch(&ignoreFencing), "carries out orders with old fencing numbers")(
        "resume", options::bool_switch(&engineOptions.supportsResume), "resumes streams")(
        "batch-slowdown", options::value(&engineOptions.batchSlowdown), "part of the token time that each further call adds")(
        "die-after", options::value(&faults.dieAfterTokens), "resets streams after so many tokens; 0: never")(
        "end-after", options::value(&faults.endAfterTokens), "ends streams early after so many tokens; 0: never")(
        "wrong-id", options::bool_switch(&faults.wrongRequestId), "answers with another request id")(
        "close-silently", options::bool_switch(&faults.closeSilently), "closes connections after each answer")(
        "hang", options::bool_switch(&faults.hang), "never answers calls")("answer-delay-ms", options::value(&delayMilliseconds), "answers late")(
        "refuse-loads", options::bool_switch(&faults.refuseLoads), "refuses loads")("hang-loads", options::bool_switch(&faults.hangLoads), "never ends a load")(
        "load-delay-ms", options::value(&loadDelayMilliseconds), "added to the time of each load")(
        "cold", options::bool_switch(&faults.cold), "is slower by a factor of 10 without notice");
    options::variables_map values;
    if (!app::parseCommandLine(description, {}, arguments, values)) {
        return app::Success;
    }
    engineOptions.tokenTime = std::chrono::microseconds(tokenMicroseconds);
    engineOptions.loadTime = milliseconds(loadMilliseconds);
    engineOptions.checksFencing = !ignoreFencing;
    faults.answerDelay = milliseconds(delayMilliseconds);
    faults.loadDelay = milliseconds(loadDelayMilliseconds);
    standin::Engine engine(std::move(engineOptions));
    engine.start();
    app::waitForSignal();
    return app::Success;
}

/** Options of the roles on the users' platform. */
void addSettingsOption(options::options_description &description)
{
    description.add_options()("help,h", "shows this text")(
        "settings,s", options::value<std::string>()->default_value(""), "settings file; the one that MIMOSAHOLLOW_BOOT names when it is not given");
}

int runEntry(const Arguments &arguments)
{
    app::blockLoopSignals();
    double secondCopies = 0;
    options::options_description description("mimosahollow entry: runs an entry instance on the users' platform until SIGTERM");
    addSettingsOption(description);
    description.add_options()("second-copies",
                              options::value(&secondCopies)->default_value(0, "0"),
                              "second copies of slow calls that may be repeated, as a share of calls, 0 to 0.2; 0: none");
    options::variables_map values;
    if (!app::parseCommandLine(description, {}, arguments, values)) {
        return app::Success;
    }
    if (!(secondCopies >= 0 && secondCopies <= hedging::maximumShare)) {
        std::cerr << "--second-copies must be between 0 and 0.2\n";
        return app::UsageError;
    }
    return platform::runEntry(platform::bootPath(values["settings"].as<std::string>()), secondCopies);
}

int runCoordinator(const Arguments &arguments)
{
    app::blockLoopSignals();
    options::options_description description("mimosahollow coordinator: runs a coordinator on the users' platform until SIGTERM");
    addSettingsOption(description);
    options::variables_map values;
    if (!app::parseCommandLine(description, {}, arguments, values)) {
        return app::Success;
    }
    return platform::runCoordinator(platform::bootPath(values["settings"].as<std::string>()));
}

struct Subcommand
{
    std::string_view name;
    std::string_view summary;
    int (*run)(const Arguments &arguments);
};

constexpr std::array subcommands{
    Subcommand{"serve", "runs an instance", runServe},
    Subcommand{"entry", "runs an entry instance on the users' platform", runEntry},
    Subcommand{"coordinator", "runs a coordinator on the users' platform", runCoordinator},
    Subcommand{"check", "checks a settings file", runCheck},
    Subcommand{"engine", "runs a stand-in backend server", runEngine},
    Subcommand{"bundle", "packs, signs, checks and submits configuration bundles", app::runBundle},
    Subcommand{"key", "makes, grants and withdraws API keys", app::runKey},
    Subcommand{"domain", "takes a failure domain out of service or returns it", app::runDomain},
    Subcommand{"backend", "takes a backend server out of service or returns it", app::runBackend},
    Subcommand{"operator", "makes the keys of an operator", app::runOperator},
    Subcommand{"status", "shows the fleet", app::runStatus},
    Subcommand{"explain", "tells where an entry instance would send a call now, and why", app::runExplain},
};

void printUsage(std::ostream &output)
{
    output << "mimosahollow SUBCOMMAND [options]; --help after a subcommand shows its options\n\n";
    for (const Subcommand &subcommand : subcommands) {
        output << "  " << subcommand.name << std::string(12 - subcommand.name.size(), ' ') << subcommand.summary << '\n';
    }
}

int runSubcommand(const Arguments &arguments)
{
    if (arguments.empty()) {
        printUsage(std::cerr);
        return app::UsageError;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        printUsage(std::cout);
        return app::Success;
    }
    for (const Subcommand &subcommand : subcommands) {
        if (subcommand.name == arguments.front()) {
            return subcommand.run(Arguments(arguments.begin() + 1, arguments.end()));
        }
    }
    std::cerr << "unknown subcommand " << arguments.front() << "\n\n";
    printUsage(std::cerr);
    return app::UsageError;
}

} // namespace

int main(int argc, char **argv)
{
    if (sodium_init() < 0) {
        std::cerr << "cannot initialise libsodium\n";
        return app::StartFailed;
    }
    try {
        return runSubcommand(Arguments(argv + 1, argv + argc));
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return app::UsageError;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return app::StartFailed;
    }
}
