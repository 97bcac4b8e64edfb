#include "mimosahollow/catalog/catalogindex.h"

#include <algorithm>

namespace mimosahollow::catalog {

CatalogIndex::CatalogIndex(std::shared_ptr<const Catalog> catalog) : m_catalog(std::move(catalog))
{
    for (const CallRoute &route : m_catalog->routes) {
        m_routesByHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::sort(routes.begin(), routes.end(), [](const CallRoute *left, const CallRoute *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const OrganisationSpec &organisation : m_catalog->organisations) {
        for (const std::string &key : organisation.keys) {
            m_organisationsByKey.emplace(key, &organisation);
        }
    }
    for (const ServiceSpec &service : m_catalog->services) {
        m_servicesByName.emplace(service.name, &service);
    }
}

const Catalog &CatalogIndex::catalog() const noexcept
{
    return *m_catalog;
}

const CallRoute *CatalogIndex::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(std::string(host));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [path](const CallRoute *route) {
        return path.starts_with(route->pathPrefix);
    });
    return found == routes->second.end() ? nullptr : *found;
}

const OrganisationSpec *CatalogIndex::findOrganisation(std::string_view key) const
{
    const auto found = m_organisationsByKey.find(key);
    return found == m_organisationsByKey.end() ? nullptr : found->second;
}

const ServiceSpec *CatalogIndex::findService(std::string_view name) const
{
    const auto found = m_servicesByName.find(name);
    return found == m_servicesByName.end() ? nullptr : found->second;
}

} // namespace mimosahollow::catalog
