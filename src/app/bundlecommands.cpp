#include "adminoptions.h"
#include "commandline.h"
#include "exitcodes.h"
#include "mimosahollow/control/signedbundle.h"
#include "mimosahollow/settings/bundle.h"
#include "mimosahollow/settings/keysecret.h"
#include "operatorcommands.h"
#include "statustable.h"

#include <boost/program_options.hpp>
#include <sodium.h>

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace mimosahollow::app {

namespace options = boost::program_options;
using Arguments = std::vector<std::string>;

namespace {

control::KeyPair readSignatureKey(const std::string &file)
{
    const auto seed = settings::hashFromHex(readWord(file));
    if (!seed) {
        throw std::runtime_error(file + " must hold 64 hexadecimal digits");
    }
    return control::keyPairFromSeed(*seed);
}

void writeFile(const std::string &file, const std::string &text)
{
    std::ofstream output(file, std::ios::binary | std::ios::trunc);
    output << text;
    output.close();
    if (!output) {
        throw std::runtime_error("cannot write " + file);
    }
}

int pack(const Arguments &arguments)
{
    options::options_description description("mimosahollow bundle pack: checks a bundle's text, packs it and signs it as its author");
    description.add_options()("help,h", "shows this text")("text", options::value<std::string>()->required(), "bundle text (TOML)")(
        "expected", options::value<Version>()->required(), "version in force that it was written against")(
        "author", options::value<std::string>()->required(), "name of the author")(
        "signature-key-file", options::value<std::string>()->required(), "file with the author's signature seed")(
        "out", options::value<std::string>()->required(), "packed bundle");
    options::variables_map values;
    if (!parseCommandLine(description, {}, arguments, values)) {
        return Success;
    }
    const auto file = values["text"].as<std::string>();
    std::string text = readFile(file);
    const auto parsed = settings::parseBundle(text);
    if (const auto *problems = std::get_if<std::vector<settings::SettingsProblem>>(&parsed)) {
        for (const settings::SettingsProblem &problem : *problems) {
            std::cerr << settings::describe(problem, file) << '\n';
        }
        return InvalidSettings;
    }
    const Version version = std::get<control::Configuration>(parsed).version;
    const control::KeyPair key = readSignatureKey(values["signature-key-file"].as<std::string>());
    const auto bundle = control::signBundle(std::move(text), version, values["expected"].as<Version>(), values["author"].as<std::string>(), key.secretKey);
    writeFile(values["out"].as<std::string>(), control::packBundle(bundle));
    std::cout << "packed version " << version << '\n';
    return Success;
}

int sign(const Arguments &arguments)
{
    options::options_description description("mimosahollow bundle sign: adds the approver's signature to a packed bundle");
    description.add_options()("help,h", "shows this text")("bundle", options::value<std::string>()->required(), "packed bundle; it is replaced")(
        "approver", options::value<std::string>()->required(), "name of the approver")(
        "signature-key-file", options::value<std::string>()->required(), "file with the approver's signature seed");
    options::variables_map values;
    if (!parseCommandLine(description, {}, arguments, values)) {
        return Success;
    }
    const auto file = values["bundle"].as<std::string>();
    auto unpacked = control::unpackBundle(readFile(file));
    if (const auto *error = std::get_if<control::BundleError>(&unpacked)) {
        throw std::runtime_error(error->message);
    }
    auto &bundle = std::get<control::SignedBundle>(unpacked);
    control::approveBundle(bundle, values["approver"].as<std::string>(), readSignatureKey(values["signature-key-file"].as<std::string>()).secretKey);
    writeFile(file, control::packBundle(bundle));
    std::cout << "signed version " << bundle.version << '\n';
    return Success;
}

int send(const Arguments &arguments, const std::string &title, const std::string &path)
{
    auto description = adminOptions(title);
    description.add_options()("bundle", options::value<std::string>()->required(), "packed bundle");
    options::positional_options_description positional;
    positional.add("bundle", 1);
    options::variables_map values;
    if (!parseCommandLine(description, positional, arguments, values)) {
        return Success;
    }
    return reportAnswer(admin::adminPost(adminTarget(values), path, readFile(values["bundle"].as<std::string>())));
}

int showStatus(const Arguments &arguments, bool asTable)
{
    auto description = adminOptions("mimosahollow status: shows the fleet as one instance sees it");
    description.add_options()("json", options::bool_switch(), "prints JSON");
    options::variables_map values;
    if (!parseCommandLine(description, {}, arguments, values)) {
        return Success;
    }
    const admin::AdminResult result = admin::adminGet(adminTarget(values), "/admin/v1/status");
    const auto *answer = std::get_if<admin::AdminAnswer>(&result);
    if (answer == nullptr || !isOk(*answer) || values["json"].as<bool>()) {
        return reportAnswer(result);
    }
    std::cout << (asTable ? statusTable(answer->body) : bundleStatus(answer->body));
    return Success;
}

} // namespace

int runBundle(const Arguments &arguments)
{
    const std::string usage = "mimosahollow bundle pack|sign|check|diff|submit|status [options]";
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h") {
        std::cout << usage << '\n';
        return Success;
    }
    const std::string &action = arguments.front();
    const Arguments rest(arguments.begin() + 1, arguments.end());
    if (action == "pack") {
        return pack(rest);
    }
    if (action == "sign") {
        return sign(rest);
    }
    if (action == "check" || action == "diff") {
        return send(rest, "mimosahollow bundle " + action + ": checks a packed bundle and shows what it would change", "/admin/v1/bundles/check");
    }
    if (action == "submit") {
        return send(rest, "mimosahollow bundle submit: puts a signed bundle in force", "/admin/v1/bundles");
    }
    if (action == "status") {
        return showStatus(rest, false);
    }
    std::cerr << "unknown action " << action << "\n" << usage << '\n';
    return UsageError;
}

int runStatus(const Arguments &arguments)
{
    return showStatus(arguments, true);
}

int runOperator(const Arguments &arguments)
{
    options::options_description description("mimosahollow operator new: makes the keys of an operator and an entry for the operators file");
    description.add_options()("help,h", "shows this text")("action", options::value<std::string>()->required(), "new")(
        "name", options::value<std::string>()->required(), "name of the operator")(
        "key-secret-file", options::value<std::string>()->required(), "file with the fleet secret");
    options::positional_options_description positional;
    positional.add("action", 1);
    options::variables_map values;
    if (!parseCommandLine(description, positional, arguments, values)) {
        return Success;
    }
    const auto secret = settings::readKeySecret(values["key-secret-file"].as<std::string>());
    if (!secret || values["action"].as<std::string>() != "new") {
        throw std::runtime_error("the action must be new, and the key secret file must hold 64 hexadecimal digits");
    }
    std::array<std::uint8_t, 32> seed{};
    randombytes_buf(seed.data(), seed.size());
    const std::string key = settings::makeKey();
    const control::KeyPair pair = control::keyPairFromSeed(seed);
    std::cout << "# to be kept by the operator\noperator_key = " << key << "\nsignature_seed = " << settings::toHex(seed)
              << "\n\n# for the operators file\n[[operator]]\nname = \"" << values["name"].as<std::string>() << "\"\nkey_hash = \""
              << settings::toHex(settings::hashKey(*secret, key)) << "\"\npublic_key = \"" << settings::toHex(pair.publicKey) << "\"\nroles = [\"reader\"]\n";
    return Success;
}

} // namespace mimosahollow::app
