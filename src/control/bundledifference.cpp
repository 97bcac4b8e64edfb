#include "mimosahollow/control/signedbundle.h"

#include <map>
#include <sstream>
#include <utility>

namespace mimosahollow::control {

namespace {

/** Names and values of the fields of one element, in display order. */
using Fields = std::vector<std::pair<std::string, std::string>>;
/** Elements by their display name. */
using Elements = std::map<std::string, Fields>;

std::string text(double number)
{
    std::ostringstream stream;
    stream << number;
    return stream.str();
}

std::string text(bool flag)
{
    return flag ? "yes" : "no";
}

/** Maps the ids of one configuration to names: a bundle and the configuration in force use different ids for the same element. */
struct Names
{
    std::map<OrganisationId, std::string> organisations;
    std::map<DomainId, std::string> domains;

    explicit Names(const Configuration &configuration)
    {
        for (const Organisation &organisation : configuration.organisations) {
            organisations[organisation.id] = organisation.name;
        }
        for (const FailureDomain &domain : configuration.domains) {
            domains[domain.id] = domain.name;
        }
    }

    [[nodiscard]] std::string organisation(OrganisationId id) const
    {
        const auto found = organisations.find(id);
        return found == organisations.end() ? "?" : found->second;
    }

    [[nodiscard]] std::string domain(DomainId id) const
    {
        const auto found = domains.find(id);
        return found == domains.end() ? "?" : found->second;
    }

    [[nodiscard]] std::string list(const std::vector<OrganisationId> &ids) const
    {
        std::map<std::string, bool> sorted;
        for (const OrganisationId id : ids) {
            sorted[organisation(id)] = true;
        }
        std::string result = "[";
        for (const auto &element : sorted) {
            result += (result.size() > 1 ? ", " : "") + element.first;
        }
        return result + "]";
    }
};

Elements describeElements(const Configuration &configuration)
{
    const Names names(configuration);
    Elements elements;
    elements["budget of loads"] = {{"load rate", text(configuration.loadRate)}, {"loads in flight", std::to_string(configuration.loadsInFlight)}};
    for (const std::string &model : configuration.baseModels) {
        elements["base model " + model] = {};
    }
    for (const FailureDomain &domain : configuration.domains) {
        elements["failure domain " + domain.name] = {{"share", text(domain.share)}, {"out", text(domain.outOfService)}};
    }
    for (const Organisation &organisation : configuration.organisations) {
        elements["organisation " + organisation.name] = {
            {"rate", text(organisation.rate)}, {"burst", text(organisation.burst)}, {"weight", text(organisation.weight)}};
    }
    for (const ApiKey &key : configuration.keys) {
        // Shows the whole hash, so that the approver sees every change of a key that keeps its name.
        std::ostringstream hash;
        for (const std::uint8_t byte : key.hash) {
            hash << std::hex << (byte >> 4) << (byte & 15);
        }
        elements["key " + key.name] = {{"organisation", names.organisation(key.organisation)}, {"hash", hash.str()}};
    }
    for (const Adapter &adapter : configuration.adapters) {
        elements["adapter " + adapter.baseModel + ":" + adapter.name + "@" + adapter.version] = {{"default", text(adapter.isDefault)},
                                                                                                 {"organisations", names.list(adapter.organisations)}};
    }
    for (const Route &route : configuration.routes) {
        elements["route " + route.prefix] = {{"service", route.service},
                                             {"repeatable", text(route.repeatable)},
                                             {"open", text(route.open)},
                                             {"deadline", text(toSeconds(route.deadline)) + " s"},
                                             {"organisations", names.list(route.organisations)}};
    }
    for (const BackendServer &server : configuration.servers) {
        elements["backend server " + server.name] = {
            {"domain", names.domain(server.domain)}, {"kind", server.kind}, {"address", server.address}, {"out", text(server.outOfService)}};
    }
    return elements;
}

/** For example "rate 10 -> 20, weight 1 -> 2"; empty when no field changed. Both lists must contain the same fields. */
std::string changedFields(const Fields &before, const Fields &after)
{
    std::string result;
    for (std::size_t i = 0; i < after.size() && i < before.size(); ++i) {
        if (before[i].second != after[i].second) {
            result += (result.empty() ? "" : ", ") + after[i].first + " " + before[i].second + " -> " + after[i].second;
        }
    }
    return result;
}

/** For example ": rate 10, burst 100". */
std::string allFields(const Fields &fields)
{
    std::string result;
    for (const auto &[name, value] : fields) {
        result.append(result.empty() ? ": " : ", ").append(name).append(" ").append(value);
    }
    return result;
}

} // namespace

std::vector<std::string> bundleDifference(const Configuration &before, const Configuration &after)
{
    const Elements old = describeElements(before);
    const Elements now = describeElements(after);
    std::vector<std::string> lines;
    for (const auto &[name, fields] : old) {
        if (!now.contains(name)) {
            lines.push_back("- " + name);
        }
    }
    for (const auto &[name, fields] : now) {
        const auto found = old.find(name);
        if (found == old.end()) {
            lines.push_back(std::string("+ ").append(name).append(allFields(fields)));
        } else if (const std::string changes = changedFields(found->second, fields); !changes.empty()) {
            lines.push_back(std::string("~ ").append(name).append(": ").append(changes));
        }
    }
    return lines;
}

} // namespace mimosahollow::control
