#include "mimosahollow/settings/load.h"

#include "gateway/addresses.h"
#include "mimosahollow/settings/settings.h"
#include "mimosahollow/settings/settingsproblem.h"
#include "table.h"

#include "tomlparser.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace mimosahollow::settings {

namespace {

struct Checker
{
    Settings settings;
    std::vector<SettingsProblem> problems;

    void report(const toml::node *node, std::string key, std::string message)
    {
        SettingsProblem problem;
        problem.key = std::move(key);
        problem.message = std::move(message);
        if (node != nullptr) {
            problem.line = node->source().begin.line;
            std::ostringstream text;
            node->visit([&text](const auto &value) {
                text << value;
            });
            problem.value = text.str();
        }
        problems.push_back(std::move(problem));
    }
};

std::string fullKey(const SettingEntry &entry)
{
    return std::string(entry.section) + "." + std::string(entry.key);
}

std::string rangeText(std::int64_t minimum, std::int64_t maximum)
{
    return std::to_string(minimum) + " to " + std::to_string(maximum);
}

std::string joinAllowed(std::span<const std::string_view> allowed)
{
    std::string text;
    for (const std::string_view value : allowed) {
        text += (text.empty() ? "" : ", ") + std::string(value);
    }
    return text;
}

void apply(Checker &checker, const SettingEntry &entry, const TextRule &rule, const toml::node *node)
{
    checker.settings.*rule.field = rule.defaultValue;
    if (node == nullptr) {
        return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text) {
        checker.report(node, fullKey(entry), "must be a string");
    } else if (!rule.allowed.empty() && std::find(rule.allowed.begin(), rule.allowed.end(), *text) == rule.allowed.end()) {
        checker.report(node, fullKey(entry), "must be one of " + joinAllowed(rule.allowed));
    } else if (rule.isAddress && !parseEndpoint(*text)) {
        checker.report(node, fullKey(entry), "must be an IP number and a port, for example 127.0.0.1:8080");
    } else if (entry.presence == Presence::Required && text->empty()) {
        checker.report(node, fullKey(entry), "must not be empty");
    } else {
        checker.settings.*rule.field = *text;
    }
}

void apply(Checker &checker, const SettingEntry &entry, const ListRule &rule, const toml::node *node)
{
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        checker.report(node, fullKey(entry), "must be a list of strings");
        return;
    }
    for (const toml::node &element : *array) {
        if (const auto text = element.value_exact<std::string>()) {
            (checker.settings.*rule.field).push_back(*text);
        } else {
            checker.report(&element, fullKey(entry), "must contain strings only");
        }
    }
}

void apply(Checker &checker, const SettingEntry &entry, const FlagRule &rule, const toml::node *node)
{
    checker.settings.*rule.field = rule.defaultValue;
    if (node == nullptr) {
        return;
    }
    if (const auto flag = node->value_exact<bool>()) {
        checker.settings.*rule.field = *flag;
    } else {
        checker.report(node, fullKey(entry), "must be true or false");
    }
}

template<typename Store>
void applyInteger(Checker &checker, const SettingEntry &entry, std::int64_t minimum, std::int64_t maximum, const toml::node *node, Store store)
{
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        checker.report(node, fullKey(entry), "must be a whole number, " + rangeText(minimum, maximum));
    } else if (*value < minimum || *value > maximum) {
        checker.report(node, fullKey(entry), "is out of range, allowed is " + rangeText(minimum, maximum));
    } else {
        store(*value);
    }
}

template<typename Number>
void apply(Checker &checker, const SettingEntry &entry, const NumberRule<Number> &rule, const toml::node *node)
{
    checker.settings.*rule.field = static_cast<Number>(rule.defaultValue);
    applyInteger(checker, entry, rule.minimum, rule.maximum, node, [&](std::int64_t value) {
        checker.settings.*rule.field = static_cast<Number>(value);
    });
}

void apply(Checker &checker, const SettingEntry &entry, const DurationRule &rule, const toml::node *node)
{
    checker.settings.*rule.field = milliseconds(rule.defaultMilliseconds);
    applyInteger(checker, entry, rule.minimumMilliseconds, rule.maximumMilliseconds, node, [&](std::int64_t value) {
        checker.settings.*rule.field = milliseconds(value);
    });
}

void reportUnknownKeys(Checker &checker, const toml::table &root)
{
    std::set<std::string, std::less<>> sections;
    std::set<std::string, std::less<>> keys;
    for (const SettingEntry &entry : settingTable()) {
        sections.emplace(entry.section);
        keys.insert(fullKey(entry));
    }
    for (const auto &[section, node] : root) {
        const std::string sectionName(section.str());
        const toml::table *table = node.as_table();
        if (table == nullptr || !sections.contains(sectionName)) {
            checker.report(&node, sectionName, "unknown section or key");
            checker.problems.back().value.clear();
            continue;
        }
        for (const auto &[key, value] : *table) {
            const std::string name = sectionName + "." + std::string(key.str());
            if (!keys.contains(name)) {
                checker.report(&value, name, "unknown key");
            }
        }
    }
}

bool isLoopbackAddress(const std::string &address)
{
    return address.empty() || address.starts_with("127.") || address.starts_with("[::1]");
}

void reportContradictions(Checker &checker)
{
    const Settings &settings = checker.settings;
    const auto &voters = settings.voters;
    const bool isVoter = std::find(voters.begin(), voters.end(), settings.instanceName) != voters.end();
    if (!voters.empty() && voters.size() != 1 && voters.size() != 3 && voters.size() != 5) {
        checker.report(nullptr, "fleet.voters", "must name 1, 3 or 5 instances: an even number adds a voter without tolerating another failure");
    }
    if (isVoter && settings.dataFolder.empty()) {
        checker.report(nullptr, "instance.data_folder", "is required because fleet.voters names this instance");
    }
    const std::set<std::string> distinctVoters(voters.begin(), voters.end());
    if (distinctVoters.size() != voters.size()) {
        checker.report(nullptr, "fleet.voters", "names an instance twice");
    }
    const bool hasCertificate = !settings.certificateFile.empty();
    if (hasCertificate != !settings.privateKeyFile.empty() || hasCertificate != !settings.authorityFile.empty()) {
        checker.report(nullptr, "tls", "certificate_file, private_key_file and authority_file must be set together");
    }
    if (!isLoopbackAddress(settings.linkAddress) && !hasCertificate) {
        checker.report(nullptr, "listen.links", "is not a loopback address, so the tls section is required");
    }
    if (!settings.adminAddress.empty() && settings.operatorsFile.empty()) {
        checker.report(nullptr, "admin.operators_file", "is required because listen.admin is set");
    }
    if (!settings.seeds.empty() && settings.linkAddress.empty()) {
        checker.report(nullptr, "listen.links", "is required because fleet.seeds names other instances");
    }
}

SettingsResult check(const toml::table &root)
{
    Checker checker;
    reportUnknownKeys(checker, root);
    for (const SettingEntry &entry : settingTable()) {
        const toml::node *node = root[entry.section][entry.key].node();
        if (node == nullptr && entry.presence == Presence::Required) {
            checker.report(nullptr, fullKey(entry), "is required: " + std::string(entry.meaning));
        }
        std::visit(
            [&](const auto &rule) {
                apply(checker, entry, rule, node);
            },
            entry.rule);
    }
    reportContradictions(checker);
    if (!checker.problems.empty()) {
        return std::move(checker.problems);
    }
    return std::move(checker.settings);
}

std::string describeRule(const TextRule &rule)
{
    return rule.isAddress ? "address" : rule.allowed.empty() ? "text" : "one of " + joinAllowed(rule.allowed);
}

std::string describeRule(const ListRule &)
{
    return "list of text";
}

std::string describeRule(const FlagRule &rule)
{
    return std::string("true or false, default ") + (rule.defaultValue ? "true" : "false");
}

template<typename Number>
std::string describeRule(const NumberRule<Number> &rule)
{
    return rangeText(rule.minimum, rule.maximum) + ", default " + std::to_string(rule.defaultValue);
}

std::string describeRule(const DurationRule &rule)
{
    return "milliseconds, " + rangeText(rule.minimumMilliseconds, rule.maximumMilliseconds) + ", default " + std::to_string(rule.defaultMilliseconds);
}

} // namespace

SettingsResult loadText(std::string_view text)
{
    try {
        return check(toml::parse(text));
    } catch (const toml::parse_error &error) {
        return std::vector{SettingsProblem{error.source().begin.line, "", "", std::string(error.description())}};
    } catch (const TomlAssertion &) {
        return std::vector{SettingsProblem{0, "", "", "is not valid TOML: a key is malformed"}};
    }
}

SettingsResult loadFile(const std::string &file)
{
    const std::ifstream input(file, std::ios::binary);
    if (!input) {
        return std::vector{SettingsProblem{0, "", "", "cannot be opened"}};
    }
    std::ostringstream text;
    text << input.rdbuf();
    return loadText(text.str());
}

std::string describe(const SettingsProblem &problem, const std::string &file)
{
    std::string text = file;
    if (problem.line != 0) {
        text += ":" + std::to_string(problem.line);
    }
    if (!problem.key.empty()) {
        text += ": " + problem.key;
    }
    if (!problem.value.empty()) {
        text += " = " + problem.value;
    }
    return text + ": " + problem.message;
}

std::string referenceTable()
{
    std::string text = "| key | allowed | meaning |\n|---|---|---|\n";
    for (const SettingEntry &entry : settingTable()) {
        const std::string allowed = std::visit(
            [](const auto &rule) {
                return describeRule(rule);
            },
            entry.rule);
        text += "| `" + fullKey(entry) + "` | " + allowed + (entry.presence == Presence::Required ? ", required" : "") + " | " + std::string(entry.meaning)
                + " |\n";
    }
    return text;
}

} // namespace mimosahollow::settings
