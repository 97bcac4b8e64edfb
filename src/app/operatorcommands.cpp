#include "operatorcommands.h"

#include "adminoptions.h"
#include "commandline.h"
#include "exitcodes.h"
#include "mimosahollow/settings/keysecret.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <stdexcept>

namespace mimosahollow::app {

namespace options = boost::program_options;
namespace json = boost::json;
using Arguments = std::vector<std::string>;

namespace {

/** First argument of a subcommand with actions; the rest are its options. */
std::pair<std::string, Arguments> splitAction(const Arguments &arguments, const std::string &usage)
{
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h") {
        std::cout << usage << '\n';
        return {};
    }
    return {arguments.front(), Arguments(arguments.begin() + 1, arguments.end())};
}

int unknownAction(const std::string &action, const std::string &usage)
{
    std::cerr << "unknown action " << action << "\n" << usage << '\n';
    return UsageError;
}

int newKey(const Arguments &arguments)
{
    options::options_description description("mimosahollow key new: makes an API key and prints it once, with its hash");
    description.add_options()("help,h", "shows this text")("key-secret-file", options::value<std::string>()->required(), "file with the fleet secret");
    options::variables_map values;
    if (!parseCommandLine(description, {}, arguments, values)) {
        return Success;
    }
    const auto secret = settings::readKeySecret(values["key-secret-file"].as<std::string>());
    if (!secret) {
        throw std::runtime_error("the key secret file must hold 64 hexadecimal digits");
    }
    const std::string key = settings::makeKey();
    std::cout << "key = " << key << "\nhash = " << settings::toHex(settings::hashKey(*secret, key)) << '\n';
    return Success;
}

int grantKey(const Arguments &arguments)
{
    auto description = adminOptions("mimosahollow key grant: grants a key to an organisation");
    description.add_options()("name", options::value<std::string>()->required(), "name of the key")(
        "organisation", options::value<std::string>()->required(), "organisation")("hash", options::value<std::string>()->required(), "hash of the key");
    options::variables_map values;
    if (!parseCommandLine(description, {}, arguments, values)) {
        return Success;
    }
    json::object body;
    for (const char *field : {"name", "organisation", "hash"}) {
        body[field] = values[field].as<std::string>();
    }
    return reportAnswer(admin::adminPost(adminTarget(values), "/admin/v1/keys/grant", json::serialize(body)));
}

int withdrawKey(const Arguments &arguments)
{
    auto description = adminOptions("mimosahollow key withdraw: withdraws a key; done when no instance accepts it any more");
    description.add_options()("name", options::value<std::string>()->required(), "name of the key");
    options::variables_map values;
    if (!parseCommandLine(description, {}, arguments, values)) {
        return Success;
    }
    json::object body;
    body["name"] = values["name"].as<std::string>();
    return reportAnswer(admin::adminPost(adminTarget(values), "/admin/v1/keys/withdraw", json::serialize(body)));
}

int setOut(const Arguments &arguments, const std::string &subcommand, const std::string &path)
{
    const std::string usage = "mimosahollow " + subcommand + " out|in NAME: takes it out of service, or returns it";
    const auto [action, rest] = splitAction(arguments, usage);
    if (action.empty()) {
        return Success;
    }
    if (action != "out" && action != "in") {
        return unknownAction(action, usage);
    }
    auto description = adminOptions(usage);
    description.add_options()("name", options::value<std::string>()->required(), "name");
    options::positional_options_description positional;
    positional.add("name", 1);
    options::variables_map values;
    if (!parseCommandLine(description, positional, rest, values)) {
        return Success;
    }
    json::object body;
    body["name"] = values["name"].as<std::string>();
    body["out"] = action == "out";
    return reportAnswer(admin::adminPost(adminTarget(values), path, json::serialize(body)));
}

} // namespace

int runKey(const Arguments &arguments)
{
    const std::string usage = "mimosahollow key new|grant|withdraw [options]";
    const auto [action, rest] = splitAction(arguments, usage);
    if (action.empty()) {
        return Success;
    }
    if (action == "new") {
        return newKey(rest);
    }
    if (action == "grant") {
        return grantKey(rest);
    }
    return action == "withdraw" ? withdrawKey(rest) : unknownAction(action, usage);
}

int runDomain(const Arguments &arguments)
{
    return setOut(arguments, "domain", "/admin/v1/domains");
}

int runBackend(const Arguments &arguments)
{
    return setOut(arguments, "backend", "/admin/v1/backends");
}

} // namespace mimosahollow::app
