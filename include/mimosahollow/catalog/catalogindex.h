#pragma once

#include "mimosahollow/catalog/catalog.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mimosahollow::catalog {

/** Look-ups in a valid catalog, which it keeps alive. */
class CatalogIndex
{
public:
    explicit CatalogIndex(std::shared_ptr<const Catalog> catalog);

    [[nodiscard]] const Catalog &catalog() const noexcept;
    /** The route of @p host with the longest prefix that begins @p path; null when there is none. */
    [[nodiscard]] const CallRoute *findRoute(std::string_view host, std::string_view path) const;
    /** The organisation that holds @p key; null when no one does. */
    [[nodiscard]] const OrganisationSpec *findOrganisation(std::string_view key) const;
    [[nodiscard]] const ServiceSpec *findService(std::string_view name) const;

private:
    std::shared_ptr<const Catalog> m_catalog;
    std::unordered_map<std::string, std::vector<const CallRoute *>> m_routesByHost; // longest prefix first
    std::unordered_map<std::string_view, const OrganisationSpec *> m_organisationsByKey;
    std::unordered_map<std::string_view, const ServiceSpec *> m_servicesByName;
};

} // namespace mimosahollow::catalog
