#include "mimosahollow/catalog/catalog.h"

#include <set>
#include <utility>

namespace mimosahollow::catalog {

namespace {

/** Longer than any server boots. The bound keeps arithmetic on time points from overflowing. */
constexpr Duration maximumBootTime = std::chrono::hours(1);

std::string findScalingProblem(const ServiceSpec &service)
{
    if (!service.scaling) {
        return {};
    }
    if (service.scaling->maximum == 0 || service.scaling->minimum > service.scaling->maximum) {
        return "service " + service.name + ": the minimum number of servers must not be above the maximum, and the maximum not 0";
    }
    if (service.scaling->bootTime < Duration::zero() || service.scaling->bootTime > maximumBootTime) {
        return "service " + service.name + ": the boot time is out of range";
    }
    return {};
}

std::string findRouteProblem(const CallRoute &route, const std::set<std::string_view> &services)
{
    if (route.host.empty()) {
        return "route " + route.name + " has no host";
    }
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        return "route " + route.name + ": the path prefix must begin and end with a slash";
    }
    if (route.timeout <= Duration::zero()) {
        return "route " + route.name + ": the timeout must be above 0";
    }
    std::uint64_t weights = 0;
    for (const TrafficShare &share : route.split) {
        if (!services.contains(share.service)) {
            return "route " + route.name + " names unknown service " + share.service;
        }
        weights += share.weight;
    }
    if (weights == 0) {
        return "route " + route.name + ": the weights add up to 0";
    }
    return {};
}

} // namespace

std::string findProblem(const Catalog &catalog)
{
    std::set<std::string_view> services;
    for (const ServiceSpec &service : catalog.services) {
        if (service.name.empty() || !services.insert(service.name).second) {
            return "service " + service.name + " is declared twice or has no name";
        }
        if (auto problem = findScalingProblem(service); !problem.empty()) {
            return problem;
        }
    }
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const CallRoute &route : catalog.routes) {
        if (auto problem = findRouteProblem(route, services); !problem.empty()) {
            return problem;
        }
        if (!places.emplace(route.host, route.pathPrefix).second) {
            return "route " + route.name + " has the host and path prefix of another route";
        }
    }
    std::set<std::string_view> names;
    std::set<std::string_view> keys;
    for (const OrganisationSpec &organisation : catalog.organisations) {
        if (organisation.name.empty() || !names.insert(organisation.name).second) {
            return "organisation " + organisation.name + " is declared twice or has no name";
        }
        for (const std::string &key : organisation.keys) {
            if (!keys.insert(key).second) {
                return "organisation " + organisation.name + " has a key that is already in use";
            }
        }
    }
    return {};
}

} // namespace mimosahollow::catalog
