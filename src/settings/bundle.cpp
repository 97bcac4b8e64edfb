#include "mimosahollow/settings/bundle.h"

#include "gateway/addresses.h"
#include "mimosahollow/settings/keysecret.h"

#include "tomlparser.h"

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <map>
#include <sstream>

namespace mimosahollow::settings {

namespace {

using control::Configuration;

// Adapters refer to base models by 16-bit numbers in the encoded configuration; a larger number would wrap to another model.
constexpr std::size_t maximumBaseModels = 65'536;

/** Reads one table of the bundle and reports what is wrong with it. */
struct TableReader
{
    const toml::table &table;
    std::string where;
    std::vector<SettingsProblem> &problems;

    void report(const toml::node *node, std::string_view key, std::string message) const
    {
        SettingsProblem problem{
            node != nullptr ? node->source().begin.line : table.source().begin.line, where + "." + std::string(key), "", std::move(message)};
        if (node != nullptr) {
            std::ostringstream text;
            node->visit([&text](const auto &value) {
                text << value;
            });
            problem.value = text.str();
        }
        problems.push_back(std::move(problem));
    }

    void allowOnly(std::initializer_list<std::string_view> keys) const
    {
        for (const auto &[key, node] : table) {
            if (std::find(keys.begin(), keys.end(), key.str()) == keys.end()) {
                report(&node, key.str(), "unknown key");
            }
        }
    }

    [[nodiscard]] std::string text(std::string_view key, bool required = true) const
    {
        const toml::node *node = table.get(key);
        const auto value = node != nullptr ? node->value_exact<std::string>() : std::nullopt;
        if ((node != nullptr && !value) || (required && (!value || value->empty()))) {
            report(node, key, "must be a non-empty string");
        }
        return value.value_or("");
    }

    [[nodiscard]] double number(std::string_view key, double minimum, double maximum, double fallback) const
    {
        const toml::node *node = table.get(key);
        if (node == nullptr) {
            return fallback;
        }
        const auto value = node->value<double>();
        if (!node->is_number() || !value || !(*value >= minimum && *value <= maximum)) {
            std::ostringstream message;
            message << "must be a number from " << minimum << " to " << maximum;
            report(node, key, message.str());
            return fallback;
        }
        return *value;
    }

    [[nodiscard]] bool flag(std::string_view key) const
    {
        const toml::node *node = table.get(key);
        if (node == nullptr) {
            return false;
        }
        const auto value = node->value_exact<bool>();
        if (!value) {
            report(node, key, "must be true or false");
        }
        return value.value_or(false);
    }

    [[nodiscard]] std::vector<std::string> list(std::string_view key) const
    {
        std::vector<std::string> result;
        const toml::node *node = table.get(key);
        if (node == nullptr) {
            return result;
        }
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            report(node, key, "must be a list of strings");
            return result;
        }
        for (const toml::node &element : *array) {
            if (auto value = element.value_exact<std::string>()) {
                result.push_back(std::move(*value));
            } else {
                report(&element, key, "must contain strings only");
            }
        }
        return result;
    }
};

constexpr double anyAmount = std::numeric_limits<double>::max();

/** Parses the bundle; the maps resolve names to ids. */
class BundleParser
{
public:
    explicit BundleParser(const toml::table &root) : m_root(root)
    {
    }

    BundleResult parse()
    {
        const TableReader top{m_root, "bundle", m_problems};
        top.allowOnly({"version", "base_models", "load_rate", "loads_in_flight", "domain", "organisation", "key", "adapter", "route", "server"});
        m_configuration.version = static_cast<Version>(top.number("version", 1, 1e15, 0));
        if (m_configuration.version == 0) {
            top.report(nullptr, "version", "is required");
        }
        m_configuration.baseModels = top.list("base_models");
        if (m_configuration.baseModels.size() > maximumBaseModels) {
            top.report(nullptr, "base_models", "must be at most " + std::to_string(maximumBaseModels) + " names");
        }
        m_configuration.loadRate = top.number("load_rate", 0.01, 100'000, m_configuration.loadRate);
        m_configuration.loadsInFlight = static_cast<std::uint32_t>(top.number("loads_in_flight", 1, 100'000, m_configuration.loadsInFlight));
        forEach("domain", &BundleParser::addDomain);
        forEach("organisation", &BundleParser::addOrganisation);
        forEach("key", &BundleParser::addKey);
        forEach("adapter", &BundleParser::addAdapter);
        forEach("route", &BundleParser::addRoute);
        forEach("server", &BundleParser::addServer);
        checkShares(top);
        if (!m_problems.empty()) {
            return std::move(m_problems);
        }
        return std::move(m_configuration);
    }

private:
    void forEach(std::string_view section, void (BundleParser::*add)(const TableReader &))
    {
        const toml::node *node = m_root.get(section);
        if (node == nullptr) {
            return;
        }
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            TableReader{m_root, "bundle", m_problems}.report(node, section, "must be an array of tables, [[" + std::string(section) + "]]");
            return;
        }
        std::size_t index = 0;
        for (const toml::node &element : *array) {
            const std::string where = std::string(section) + "[" + std::to_string(index++) + "]";
            if (const toml::table *table = element.as_table()) {
                (this->*add)(TableReader{*table, where, m_problems});
            } else {
                m_problems.push_back({element.source().begin.line, where, "", "must be a table"});
            }
        }
    }

    void addDomain(const TableReader &reader)
    {
        reader.allowOnly({"name", "share", "out"});
        control::FailureDomain domain;
        domain.id = static_cast<DomainId>(m_configuration.domains.size() + 1);
        domain.name = reader.text("name");
        domain.share = reader.number("share", 0, 1, 0);
        domain.outOfService = reader.flag("out");
        addName(m_domains, domain.name, domain.id, reader);
        m_configuration.domains.push_back(std::move(domain));
    }

    void addOrganisation(const TableReader &reader)
    {
        reader.allowOnly({"name", "rate", "burst", "weight"});
        control::Organisation organisation;
        organisation.id = static_cast<OrganisationId>(m_configuration.organisations.size() + 1);
        organisation.name = reader.text("name");
        organisation.rate = reader.number("rate", 0, anyAmount, 0);
        organisation.burst = reader.number("burst", 0, anyAmount, 0);
        organisation.weight = reader.number("weight", 0.001, 1'000'000, 1);
        addName(m_organisations, organisation.name, organisation.id, reader);
        m_configuration.organisations.push_back(std::move(organisation));
    }

    void addKey(const TableReader &reader)
    {
        reader.allowOnly({"name", "hash", "organisation"});
        control::ApiKey key;
        key.name = reader.text("name");
        key.organisation = lookUp(m_organisations, reader.text("organisation"), reader, "organisation");
        if (const auto hash = hashFromHex(reader.text("hash"))) {
            key.hash = *hash;
        } else {
            reader.report(reader.table.get("hash"), "hash", "must be 64 hexadecimal digits");
        }
        m_configuration.keys.push_back(std::move(key));
    }

    void addAdapter(const TableReader &reader)
    {
        reader.allowOnly({"base", "name", "version", "default", "organisations"});
        control::Adapter adapter;
        adapter.id = static_cast<AdapterId>(m_configuration.adapters.size() + 1);
        adapter.baseModel = reader.text("base");
        adapter.name = reader.text("name");
        adapter.version = reader.text("version");
        adapter.isDefault = reader.flag("default");
        adapter.organisations = organisations(reader);
        const auto &models = m_configuration.baseModels;
        if (std::find(models.begin(), models.end(), adapter.baseModel) == models.end()) {
            reader.report(reader.table.get("base"), "base", "is not among base_models");
        }
        if ((adapter.name + adapter.version).find_first_of(":@") != std::string::npos) {
            reader.report(nullptr, "name", "name and version must not contain ':' or '@'");
        }
        addName(m_adapters, adapter.baseModel + ":" + adapter.name + "@" + adapter.version, adapter.id, reader);
        m_configuration.adapters.push_back(std::move(adapter));
    }

    void addRoute(const TableReader &reader)
    {
        reader.allowOnly({"prefix", "service", "repeatable", "open", "deadline_ms", "organisations"});
        control::Route route;
        route.prefix = reader.text("prefix");
        route.service = reader.text("service");
        route.repeatable = reader.flag("repeatable");
        route.open = reader.flag("open");
        route.deadline = milliseconds(static_cast<std::int64_t>(reader.number("deadline_ms", 1, 600'000, 30'000)));
        route.organisations = organisations(reader);
        if (route.organisations.empty() && reader.table.contains("organisations")) {
            reader.report(reader.table.get("organisations"), "organisations", "must not be empty; a route without the field is for all organisations");
        }
        if (!route.prefix.starts_with('/')) {
            reader.report(reader.table.get("prefix"), "prefix", "must start with '/'");
        }
        addName(m_routes, route.prefix, true, reader);
        m_configuration.routes.push_back(std::move(route));
    }

    void addServer(const TableReader &reader)
    {
        reader.allowOnly({"name", "domain", "kind", "address", "out"});
        control::BackendServer server;
        server.id = static_cast<ServerId>(m_configuration.servers.size() + 1);
        server.name = reader.text("name");
        server.domain = lookUp(m_domains, reader.text("domain"), reader, "domain");
        server.kind = reader.text("kind");
        server.address = reader.text("address");
        server.outOfService = reader.flag("out");
        if (!parseEndpoint(server.address)) {
            reader.report(reader.table.get("address"), "address", "must be an IP number and a port");
        }
        addName(m_servers, server.name, server.id, reader);
        m_configuration.servers.push_back(std::move(server));
    }

    std::vector<OrganisationId> organisations(const TableReader &reader)
    {
        std::vector<OrganisationId> ids;
        for (const std::string &name : reader.list("organisations")) {
            ids.push_back(lookUp(m_organisations, name, reader, "organisations"));
        }
        return ids;
    }

    template<typename Id>
    void addName(std::map<std::string, Id> &names, const std::string &name, Id id, const TableReader &reader)
    {
        if (!names.emplace(name, id).second) {
            reader.report(nullptr, "name", "\"" + name + "\" is declared twice");
        }
    }

    template<typename Id>
    Id lookUp(const std::map<std::string, Id> &names, const std::string &name, const TableReader &reader, std::string_view key)
    {
        const auto found = names.find(name);
        if (found == names.end()) {
            reader.report(reader.table.get(key), key, "\"" + name + "\" is not declared");
            return Id{};
        }
        return found->second;
    }

    void checkShares(const TableReader &top) const
    {
        // Rounding of decimal shares such as three times 0.3333 must not be an error.
        constexpr double tolerance = 1e-9;
        double sum = 0;
        for (const control::FailureDomain &domain : m_configuration.domains) {
            sum += domain.share;
        }
        if (sum > 1 + tolerance) {
            top.report(nullptr, "domain.share", "the shares of all failure domains add up to more than 1");
        }
    }

    const toml::table &m_root;
    Configuration m_configuration;
    std::vector<SettingsProblem> m_problems;
    std::map<std::string, DomainId> m_domains;
    std::map<std::string, OrganisationId> m_organisations;
    std::map<std::string, AdapterId> m_adapters;
    std::map<std::string, bool> m_routes;
    std::map<std::string, ServerId> m_servers;
};

} // namespace

BundleResult parseBundle(std::string_view text)
{
    try {
        const toml::table root = toml::parse(text);
        return BundleParser(root).parse();
    } catch (const toml::parse_error &error) {
        return std::vector{SettingsProblem{error.source().begin.line, "", "", std::string(error.description())}};
    } catch (const TomlAssertion &) {
        return std::vector{SettingsProblem{0, "", "", "is not valid TOML: a key is malformed"}};
    }
}

} // namespace mimosahollow::settings
