#include "fleetstatus.h"

#include "admin/adminrequests.h"
#include "instance.h"
#include "mimosahollow/control/audit.h"
#include "mimosahollow/control/configuration.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace mimosahollow::app {

namespace json = boost::json;

namespace {

std::string domainName(const control::Configuration &configuration, DomainId id)
{
    for (const control::FailureDomain &domain : configuration.domains) {
        if (domain.id == id) {
            return domain.name;
        }
    }
    return {};
}

json::object describeControl(const ControlStatus &status)
{
    json::object object;
    object["leader"] = status.leader;
    object["configuration_version"] = status.configuration ? status.configuration->version : 0;
    object["log_index"] = status.appliedIndex;
    object["fresh"] = status.fresh;
    object["relay"] = status.relay;
    object["upstream"] = status.upstream;
    return object;
}

json::array describeDomains(const control::Configuration &configuration)
{
    json::array domains;
    for (const control::FailureDomain &domain : configuration.domains) {
        domains.push_back(json::object{{"name", domain.name}, {"share", domain.share}, {"out", domain.outOfService}});
    }
    return domains;
}

json::array describeInstances(const ControlStatus &status, const std::string &self)
{
    json::array instances;
    for (const control::Instance &instance : status.configuration->instances) {
        const bool alive =
            instance.name == self || std::find(status.aliveInstances.begin(), status.aliveInstances.end(), instance.name) != status.aliveInstances.end();
        instances.push_back(json::object{{"name", instance.name},
                                         {"failure_domain", domainName(*status.configuration, instance.domain)},
                                         {"id", number(instance.id)},
                                         {"alive", alive},
                                         {"leader", instance.name == status.leader}});
    }
    return instances;
}

json::array describeOrganisations(const control::Configuration &configuration)
{
    json::array organisations;
    for (const control::Organisation &organisation : configuration.organisations) {
        organisations.push_back(
            json::object{{"name", organisation.name}, {"rate", organisation.rate}, {"burst", organisation.burst}, {"weight", organisation.weight}});
    }
    return organisations;
}

} // namespace

std::string fleetStatusJson(Instance &instance)
{
    const ControlStatus status = instance.control().status();
    json::object object;
    object["instance"] = instance.settings().instanceName;
    object["control"] = describeControl(status);
    if (status.configuration) {
        object["domains"] = describeDomains(*status.configuration);
        object["instances"] = describeInstances(status, instance.settings().instanceName);
        object["organisations"] = describeOrganisations(*status.configuration);
    }
    json::error_code error;
    json::value serving = json::parse(instance.serving().statusJson(), error);
    object["serving"] = error ? json::value(json::object()) : std::move(serving);
    return json::serialize(object) + "\n";
}

std::string auditJson(const control::AuditLog &log)
{
    json::array records;
    for (const control::AuditRecord &record : log.records) {
        records.push_back(json::object{{"number", record.number},
                                       {"time", record.time},
                                       {"command_id", admin::toText(record.id)},
                                       {"sender", record.sender},
                                       {"action", record.action},
                                       {"result", record.result}});
    }
    const auto broken = control::firstBrokenRecord(log);
    json::object object;
    object["chain_intact"] = !broken.has_value();
    object["dropped"] = log.droppedRecords;
    object["records"] = std::move(records);
    return json::serialize(object) + "\n";
}

} // namespace mimosahollow::app
